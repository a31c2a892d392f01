//! A bounded ring buffer of one process's events.

use crate::{Event, Record, Timestamp};
use std::collections::VecDeque;
use wasabiyard_model::InstanceId;

/// Capacity of a ring, in events. At about 200 bytes an event, a full ring takes less than 1 MB.
pub const RING_CAPACITY_EVENTS: usize = 4_096;
/// Refusals of one scope are added to an event that is younger than this. Without it, an organisation that sends
/// several times its rate would evict all other events from the ring within seconds.
const REFUSAL_COALESCING_WINDOW_MICROS: u64 = 1_000_000;
/// Number of newest events that are searched for an event of the same refusal scope.
const REFUSAL_SEARCH_LIMIT_EVENTS: usize = 64;

/// The newest events of one process, at most [`RING_CAPACITY_EVENTS`]; the oldest is evicted first.
#[derive(Debug)]
pub struct EventRing {
    instance: InstanceId,
    next_number: u64,
    records: VecDeque<Record>,
}

impl EventRing {
    /// Creates an empty ring for the events that `instance` records.
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            next_number: 0,
            records: VecDeque::new(),
        }
    }

    /// Adds an event. A refusal is added to the count of a recent event of the same scope instead, if there is one.
    ///
    /// # Panics
    ///
    /// When `stamp` is not higher than the timestamp of the newest record.
    pub fn push(&mut self, stamp: Timestamp, event: Event) {
        assert!(
            self.records.back().is_none_or(|last| last.stamp < stamp),
            "timestamps of one process must increase strictly"
        );
        if self.coalesce_refusal(stamp, &event) {
            return;
        }
        if self.records.len() == RING_CAPACITY_EVENTS {
            self.records.pop_front();
        }
        self.records.push_back(Record {
            stamp,
            instance: self.instance.clone(),
            number: self.next_number,
            event,
        });
        self.next_number += 1;
    }

    /// The records, oldest first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.iter()
    }

    /// Number of records in the ring.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the ring has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds the count of a refusal to a recent event of the same scope. Returns whether there was one.
    fn coalesce_refusal(&mut self, stamp: Timestamp, event: &Event) -> bool {
        let Event::RequestRefused { scope, count } = event else {
            return false;
        };
        let recent_records = self
            .records
            .iter_mut()
            .rev()
            .take(REFUSAL_SEARCH_LIMIT_EVENTS)
            .take_while(|r| stamp.0 - r.stamp.0 < REFUSAL_COALESCING_WINDOW_MICROS);
        for record in recent_records {
            if let Event::RequestRefused {
                scope: recorded_scope,
                count: recorded_count,
            } = &mut record.event
                && recorded_scope == scope
            {
                *recorded_count += count;
                return true;
            }
        }
        false
    }
}

//! The events of this process, shared by all its threads.

use crate::clock;
use std::sync::{Mutex, MutexGuard, PoisonError};
use wasabiyard_model::InstanceId;
use wasabiyard_timeline::{Event, EventRing, HybridClock, Timestamp, write_json_lines};

/// A ring of events with its clock. Events are rare next to statements, so a lock is enough.
#[derive(Debug)]
pub struct Recorder(Mutex<(HybridClock, EventRing)>);

impl Recorder {
    /// An empty recorder of one process.
    pub fn new(instance: InstanceId) -> Self {
        Self(Mutex::new((HybridClock::default(), EventRing::new(instance))))
    }

    /// Records an event.
    pub fn record(&self, event: Event) {
        let (clock, ring) = &mut *self.lock();
        ring.push(clock.next_timestamp(clock::wall_micros()), event);
    }

    /// A stamp for a message that leaves now.
    pub fn stamp(&self) -> Timestamp {
        self.lock().0.next_timestamp(clock::wall_micros())
    }

    /// Takes over the stamp of a received message.
    pub fn observe(&self, stamp: Timestamp) {
        self.lock().0.observe(stamp);
    }

    /// All events as JSON lines, oldest first.
    pub fn lines(&self) -> String {
        write_json_lines(self.lock().1.records())
    }

    fn lock(&self) -> MutexGuard<'_, (HybridClock, EventRing)> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Proof of the age of data, without synchronised clocks.

use std::collections::VecDeque;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Time};

/// Most samples kept for a database. At one sample every 100 ms this covers ages up to 25 s; an older age is served
/// by the oldest sample that is kept, which is newer than it has to be.
const MAX_SAMPLES: usize = 256;

/// A position that the primary had reached at a known time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PositionSample {
    /// When the home asked the primary. Every commit acknowledged before this time is at or below `point`.
    pub requested_at: Time,
    /// The last position of the primary, with the term that wrote it. Right after a promotion that term is lower than
    /// the term of the primary.
    pub point: LogPoint,
}

/// The samples of one database, oldest first.
#[derive(Debug, Clone, Default)]
pub struct PositionSamples {
    confirmed: VecDeque<PositionSample>,
}

impl PositionSamples {
    /// Adds a sample once it is confirmed: after `sample.requested_at`, `not_fenced` of `slots` slots answered that they are
    /// not fenced above the term in which the primary answered. Without a majority the sample is dropped, because the
    /// slot that answered may be a deposed primary. Returns whether the sample was kept.
    pub fn add_if_confirmed(&mut self, sample: PositionSample, not_fenced: usize, slots: usize) -> bool {
        assert!(not_fenced <= slots, "more answers than slots");
        let late = self
            .confirmed
            .back()
            .is_some_and(|last| last.requested_at > sample.requested_at);
        if not_fenced * 2 <= slots || late {
            return false;
        }
        // After a promotion the log may be shorter, when records that no majority held were dropped. A later sample
        // with a lower point proves more and asks for less, so it replaces those above it.
        while self
            .confirmed
            .back()
            .is_some_and(|last| last.point > sample.point)
        {
            self.confirmed.pop_back();
        }
        if self.confirmed.len() == MAX_SAMPLES {
            self.confirmed.pop_front();
        }
        self.confirmed.push_back(sample);
        true
    }

    /// The point that a slot must hold so that its data is at most `age` old at `now`. `None` when no sample proves it.
    /// The oldest sample that is young enough is taken, because more slots hold it.
    pub fn minimum_point(&self, age: Duration, now: Time) -> Option<LogPoint> {
        self.confirmed
            .iter()
            .find(|s| now.saturating_since(s.requested_at) <= age)
            .map(|s| s.point)
    }

    /// When the primary was first seen at or beyond `point`. `None` when no sample shows it.
    pub fn first_reached_at(&self, point: LogPoint) -> Option<Time> {
        let first = self.confirmed.partition_point(|s| s.point < point);
        self.confirmed.get(first).map(|s| s.requested_at)
    }

    /// The newest sample.
    pub fn newest(&self) -> Option<PositionSample> {
        self.confirmed.back().copied()
    }
}

//! Proof that data is within a staleness bound, without synchronised clocks.

use std::collections::VecDeque;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Time};

/// Maximum number of samples kept for a database. At one sample every 100 ms they cover staleness bounds up to 25 s.
/// For a larger bound the oldest sample is used, which is more recent than necessary.
const MAX_SAMPLES: usize = 256;

/// A log point that the primary had reached, with the time at which it was requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PositionSample {
    /// When the request was sent to the primary. Every commit acknowledged before this time is at or below `point`.
    pub requested_at: Time,
    /// The last position of the primary, with the term in which it was written. Until the first write after a promotion
    /// that term is lower than the term of the primary.
    pub point: LogPoint,
}

/// The confirmed position samples of one database.
#[derive(Debug, Clone, Default)]
pub struct PositionSamples {
    /// Oldest first; neither `requested_at` nor `point` ever decreases.
    confirmed: VecDeque<PositionSample>,
}

impl PositionSamples {
    /// Adds a sample if a majority of the slots confirms it, and returns whether it was added. `not_fenced` is the
    /// number of slots, out of `slots`, that reported after `sample.requested_at` that they are not fenced above the
    /// term in which the primary answered. Without a majority the slot that answered may be a deposed primary. A sample
    /// that was requested before the newest one is not added either.
    pub fn add_if_confirmed(&mut self, sample: PositionSample, not_fenced: usize, slots: usize) -> bool {
        assert!(not_fenced <= slots, "more slots reported than exist");
        let out_of_order = self
            .confirmed
            .back()
            .is_some_and(|last| last.requested_at > sample.requested_at);
        if not_fenced * 2 <= slots || out_of_order {
            return false;
        }
        // A promotion can shorten the log by discarding records that no majority held. A later sample with a lower
        // point proves freshness at a later time and is held by more slots, so it replaces the samples with higher
        // points.
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

    /// The point that a slot must hold for its data to be at most `age` old at `now`. It comes from the oldest sample
    /// within that age, because more slots hold an older point. `None` when no sample is recent enough.
    pub fn minimum_point(&self, age: Duration, now: Time) -> Option<LogPoint> {
        self.confirmed
            .iter()
            .find(|s| now.saturating_since(s.requested_at) <= age)
            .map(|s| s.point)
    }

    /// The samples that are at most `age` old at `now`, oldest first.
    pub fn within(&self, age: Duration, now: Time) -> impl DoubleEndedIterator<Item = &PositionSample> {
        let samples = self.confirmed.iter();
        samples.filter(move |s| now.saturating_since(s.requested_at) <= age)
    }

    /// The request time of the first sample in which the primary was at or beyond `point`. `None` when there is no such
    /// sample.
    pub fn first_reached_at(&self, point: LogPoint) -> Option<Time> {
        let first = self.confirmed.partition_point(|s| s.point < point);
        self.confirmed.get(first).map(|s| s.requested_at)
    }

    /// The most recent sample.
    pub fn newest(&self) -> Option<PositionSample> {
        self.confirmed.back().copied()
    }
}

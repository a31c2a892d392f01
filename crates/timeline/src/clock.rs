//! A hybrid logical clock.

use serde::{Deserialize, Serialize};

/// A timestamp of the hybrid logical clock, in microseconds since the Unix epoch.
///
/// It follows the fastest wall clock that this process has seen, its own or that of a message, and is raised where
/// needed so that all timestamps issued by one process differ.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Timestamp(pub u64);

/// The hybrid logical clock of one process.
///
/// The logical counter is folded into the microseconds: a timestamp is the wall clock time, or the highest timestamp
/// issued or observed plus one when the wall clock is not ahead of it. A single number keeps control messages small.
#[derive(Debug, Clone, Default)]
pub struct HybridClock {
    last: Timestamp,
}

impl HybridClock {
    /// Issues the timestamp of a local event or of an outgoing message. It is higher than every timestamp issued or
    /// observed before.
    pub fn next_timestamp(&mut self, wall_micros: u64) -> Timestamp {
        self.last = Timestamp(wall_micros.max(self.last.0.saturating_add(1)));
        self.last
    }

    /// Advances the clock to the timestamp of a received message, so that later local events are ordered after it.
    pub fn observe(&mut self, received: Timestamp) {
        self.last = self.last.max(received);
    }
}

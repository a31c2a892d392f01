//! Records the time line events of this process. All its threads share one recorder.

use crate::clock;
use std::sync::{Mutex, MutexGuard, PoisonError};
use wasabiyard_model::InstanceId;
use wasabiyard_timeline::{Event, EventRing, HybridClock, Timestamp, write_json_lines};

/// A ring buffer of events and the logical clock that stamps them. Events are rare compared with statements, so a mutex
/// suffices.
#[derive(Debug)]
pub struct Recorder(Mutex<(HybridClock, EventRing)>);

impl Recorder {
    /// Creates an empty recorder for the process of `instance`.
    pub fn new(instance: InstanceId) -> Self {
        Self(Mutex::new((HybridClock::default(), EventRing::new(instance))))
    }

    /// Records an event with the current stamp.
    pub fn record(&self, event: Event) {
        let (clock, ring) = &mut *self.lock();
        ring.push(clock.next_timestamp(clock::wall_micros()), event);
    }

    /// Returns the stamp for a message that is sent now.
    pub fn stamp(&self) -> Timestamp {
        self.lock().0.next_timestamp(clock::wall_micros())
    }

    /// Advances the clock past the stamp of a received message.
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

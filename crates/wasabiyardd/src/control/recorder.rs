//! Records the time line events of this process. All its threads share one recorder.

use crate::clock;
use std::sync::{Mutex, MutexGuard, PoisonError};
use wasabiyard_model::InstanceId;
use wasabiyard_timeline::{Clock, Event, Ring, Stamp, write_lines};

/// A ring buffer of events and the logical clock that stamps them. Events are rare compared with statements, so a mutex
/// suffices.
#[derive(Debug)]
pub struct Recorder(Mutex<(Clock, Ring)>);

impl Recorder {
    /// Creates an empty recorder for the process of `instance`.
    pub fn new(instance: InstanceId) -> Self {
        Self(Mutex::new((Clock::default(), Ring::new(instance))))
    }

    /// Records an event with the current stamp.
    pub fn record(&self, event: Event) {
        let (clock, ring) = &mut *self.lock();
        ring.push(clock.stamp(clock::wall_micros()), event);
    }

    /// Returns the stamp for a message that is sent now.
    pub fn stamp(&self) -> Stamp {
        self.lock().0.stamp(clock::wall_micros())
    }

    /// Advances the clock past the stamp of a received message.
    pub fn observe(&self, stamp: Stamp) {
        self.lock().0.observe(stamp);
    }

    /// All events as JSON lines, oldest first.
    pub fn lines(&self) -> String {
        write_lines(self.lock().1.records())
    }

    fn lock(&self) -> MutexGuard<'_, (Clock, Ring)> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

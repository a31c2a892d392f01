//! Fewer calls to a store that does not answer.
//!
//! Every instance reads the store in several loops. While it is away, one loop asks at a time, and the others go on once
//! that call succeeds: a large fleet must not meet a store that comes back with as many calls as it has loops.

use std::time::Duration;
use wasabiyard_model::Time;

/// Pause after a first failed call; grows with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between calls.
const MAX_PAUSE: Duration = Duration::from_millis(600);
/// Longest time for which a call under way keeps the other loops waiting.
const CALL_TIME: Duration = Duration::from_millis(1_300);

/// Decides which calls to the store are worth making.
#[derive(Debug, Clone, Default)]
pub struct StoreGate {
    failures: u32,
    next_call: Time,
}

impl StoreGate {
    /// Whether a loop may call the store at `now`.
    pub fn admits(&mut self, now: Time) -> bool {
        if self.failures == 0 {
            return true;
        }
        if now < self.next_call {
            return false;
        }
        self.next_call = now + CALL_TIME;
        true
    }

    /// A call has been answered.
    pub const fn on_answer(&mut self) {
        self.failures = 0;
    }

    /// A call has failed.
    pub fn on_failure(&mut self, now: Time) {
        self.failures += 1;
        self.next_call = now + (FIRST_PAUSE * self.failures).min(MAX_PAUSE);
    }
}

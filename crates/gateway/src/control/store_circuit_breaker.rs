//! Fewer calls to a store that does not answer.
//!
//! Every instance reads the store in several loops. While it is away, one loop asks at a time, and the others go on once
//! that call succeeds: a large fleet must not meet a store that comes back with as many calls as it has loops.

use std::time::Duration;
use wasabiyard_model::Time;

/// Pause after a first failed call; grows with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Longest pause between calls.
const MAX_BACKOFF: Duration = Duration::from_millis(600);
/// Longest time for which a call under way keeps the other loops waiting.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Decides which calls to the store are worth making.
#[derive(Debug, Clone, Default)]
pub struct StoreCircuitBreaker {
    failures: u32,
    next_probe_at: Time,
}

impl StoreCircuitBreaker {
    /// Whether a loop may call the store at `now`.
    pub fn allows_call(&mut self, now: Time) -> bool {
        if self.failures == 0 {
            return true;
        }
        if now < self.next_probe_at {
            return false;
        }
        self.next_probe_at = now + PROBE_TIMEOUT;
        true
    }

    /// A call has been answered.
    pub const fn on_success(&mut self) {
        self.failures = 0;
    }

    /// A call has failed.
    pub fn on_failure(&mut self, now: Time) {
        self.failures += 1;
        self.next_probe_at = now + (INITIAL_BACKOFF * self.failures).min(MAX_BACKOFF);
    }
}

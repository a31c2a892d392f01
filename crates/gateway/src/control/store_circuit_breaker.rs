//! A circuit breaker for calls to the store.
//!
//! Every instance polls the store in several loops. While the store fails, one loop at a time probes it, and the
//! others resume once a probe succeeds. Otherwise a store that recovers would face the calls of every loop of a large
//! fleet at once.

use std::time::Duration;
use wasabiyard_model::Time;

/// Backoff after the first failed call; grows linearly with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Upper bound of the backoff between probes, unless another one is set.
const DEFAULT_MAX_BACKOFF: Duration = Duration::from_millis(600);
/// Time without a result after which a probe no longer blocks the other loops.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Limits the calls of one instance to a failing store. Opens with the first failure and closes with the first
/// success.
#[derive(Debug, Clone)]
pub struct StoreCircuitBreaker {
    failures: u32,
    next_probe_at: Time,
    max_backoff: Duration,
}

impl Default for StoreCircuitBreaker {
    fn default() -> Self {
        Self {
            failures: 0,
            next_probe_at: Time::ZERO,
            max_backoff: DEFAULT_MAX_BACKOFF,
        }
    }
}

impl StoreCircuitBreaker {
    /// Whether a loop may call the store at `now`. While the breaker is open, `true` makes that call the probe and
    /// blocks the others until its result is recorded or the probe times out.
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

    /// Sets the upper bound of the backoff. Instances whose success would help few others probe rarely.
    pub const fn set_max_backoff(&mut self, max_backoff: Duration) {
        self.max_backoff = max_backoff;
    }

    /// Records a successful call.
    pub const fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failed call.
    pub fn on_failure(&mut self, now: Time) {
        self.failures += 1;
        self.next_probe_at = now + (INITIAL_BACKOFF * self.failures).min(self.max_backoff);
    }
}

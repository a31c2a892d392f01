//! Exponential backoff between attempts.

use rand::Rng;
use std::time::Duration;

/// Maximum of the delay after the first failure.
const INITIAL_MAX_DELAY: Duration = Duration::from_millis(50);
/// Limit of the maximum, which otherwise doubles with each failure.
const LONGEST_DELAY: Duration = Duration::from_secs(5);

/// Exponential backoff with full jitter: each delay is uniformly distributed between zero and a maximum that doubles
/// from 50 ms to 5 s. Full jitter spreads callers that failed at the same moment over the whole interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Upper bound of the next delay.
    pub fn max_delay(&self) -> Duration {
        INITIAL_MAX_DELAY
            .saturating_mul(1 << self.failures.min(16))
            .min(LONGEST_DELAY)
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn next_delay<R>(&mut self, rng: &mut R) -> Duration
    where
        R: Rng + ?Sized,
    {
        let max_delay = self.max_delay().as_micros() as u64;
        self.failures = self.failures.saturating_add(1);
        Duration::from_micros(rng.random_range(0..=max_delay))
    }

    /// Returns to the initial maximum after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

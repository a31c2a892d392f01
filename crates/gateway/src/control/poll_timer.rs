//! Timing of the loops that poll the store.

use crate::clock;
use async_io::Timer;
use std::time::Duration;
use wasabiyard_model::Time;
use wasabiyard_platform::PlatformError;

/// Backoff after the first failed call; grows linearly with each further failure.
pub(super) const RETRY_BACKOFF: Duration = Duration::from_millis(200);
/// Upper bound of the backoff after failed calls.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(800);

/// Paces one polling loop, and logs when its calls start to fail and when they succeed again.
#[derive(Debug)]
pub(super) struct PollTimer {
    period: Duration,
    resource: &'static str,
    failures: u32,
    cycle_started: Time,
}

impl PollTimer {
    pub(super) fn new(period: Duration, resource: &'static str) -> Self {
        Self {
            period,
            resource,
            failures: 0,
            cycle_started: clock::now(),
        }
    }

    /// Counts consecutive failures, logs changes between failure and success, and returns the value of a success.
    pub(super) fn observe<T>(&mut self, result: Result<T, PlatformError>) -> Option<T> {
        match result {
            Ok(value) => {
                if self.failures > 0 {
                    log::info!(resource = self.resource, failures = self.failures; "store calls succeed again");
                }
                self.failures = 0;
                Some(value)
            }
            Err(e) => {
                if self.failures == 0 {
                    log::info!(resource = self.resource, error:% = e; "store call failed; retrying with backoff");
                }
                self.failures += 1;
                None
            }
        }
    }

    /// Waits for the rest of the period plus up to 10 % jitter, or for the backoff after failures.
    pub(super) async fn wait_for_next(&mut self) {
        let delay = if self.failures == 0 {
            let elapsed = clock::now().saturating_since(self.cycle_started);
            let jitter = self.period.mul_f64(0.1 * rand::random::<f64>());
            (self.period + jitter).saturating_sub(elapsed)
        } else {
            (RETRY_BACKOFF * self.failures).min(MAX_RETRY_BACKOFF)
        };
        Timer::after(delay.max(Duration::from_millis(20))).await;
        self.cycle_started = clock::now();
    }
}

//! The time between the calls of one loop to the store.

use crate::clock;
use async_io::Timer;
use std::time::Duration;
use wasabiyard_model::Time;
use wasabiyard_platform::PlatformError;

/// Pause after a first failed call.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failed calls.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Time between the calls of one loop, and the log of a lost and regained dependency.
#[derive(Debug)]
pub(super) struct Pace {
    period: Duration,
    what: &'static str,
    failures: u32,
    started: Time,
}

impl Pace {
    pub(super) fn new(period: Duration, what: &'static str) -> Self {
        Self {
            period,
            what,
            failures: 0,
            started: clock::now(),
        }
    }

    pub(super) fn settle<T>(&mut self, result: Result<T, PlatformError>) -> Option<T> {
        match result {
            Ok(value) => {
                if self.failures > 0 {
                    log::info!(what = self.what, failures = self.failures; "store answers again");
                }
                self.failures = 0;
                Some(value)
            }
            Err(e) => {
                if self.failures == 0 {
                    log::info!(what = self.what, error:% = e; "store does not answer");
                }
                self.failures += 1;
                None
            }
        }
    }

    pub(super) async fn wait(&mut self) {
        let pause = if self.failures == 0 {
            let spent = clock::now().saturating_since(self.started);
            let jitter = self.period.mul_f64(0.1 * rand::random::<f64>());
            (self.period + jitter).saturating_sub(spent)
        } else {
            (RETRY_PAUSE * self.failures).min(MAX_RETRY_PAUSE)
        };
        Timer::after(pause.max(Duration::from_millis(20))).await;
        self.started = clock::now();
    }
}

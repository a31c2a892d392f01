//! Logs when a resource starts to fail and when it works again.

use std::time::Duration;
use wasabiyard_platform::PlatformError;

/// Backoff after a failed call outside the polling loop.
pub(super) const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Consecutive failures of one resource. Failures in between are not logged, so an outage costs two lines.
#[derive(Debug)]
pub(super) struct PollHealth {
    resource: &'static str,
    failures: u32,
}

impl PollHealth {
    pub(super) const fn new(resource: &'static str) -> Self {
        Self {
            resource,
            failures: 0,
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
}

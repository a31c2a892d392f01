//! The least of the recent samples.

use std::time::Duration;
use wasabiyard_model::Time;

/// Length of a window. A sample counts for one to two windows, so a server that has become slower for good is
/// compared with its new self after that time.
const WINDOW: Duration = Duration::from_secs(2);

/// Minimum over the present and the previous window.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentMinimum {
    window_start: Option<Time>,
    present: Option<Duration>,
    previous: Option<Duration>,
}

impl RecentMinimum {
    /// Adds a sample and returns the minimum with it.
    pub(super) fn record(&mut self, sample: Duration, now: Time) -> Duration {
        let start = *self.window_start.get_or_insert(now);
        let elapsed = now.saturating_since(start);
        if elapsed >= WINDOW {
            self.previous = self.present.filter(|_| elapsed < WINDOW * 2);
            self.present = None;
            self.window_start = Some(now);
        }
        let present = self.present.map_or(sample, |p| p.min(sample));
        self.present = Some(present);
        self.previous.map_or(present, |p| p.min(present))
    }
}

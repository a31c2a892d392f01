//! The least of the recent samples.

use std::time::Duration;
use wasabiyard_model::Time;

/// Minimum over the present and the previous window, so that a sample counts for one to two windows.
#[derive(Debug, Clone, Copy)]
pub(super) struct RecentMinimum {
    window: Duration,
    window_start: Time,
    present: Option<Duration>,
    previous: Option<Duration>,
}

impl RecentMinimum {
    /// Without samples, for windows of this length.
    pub(super) const fn over(window: Duration) -> Self {
        Self {
            window,
            window_start: Time::ZERO,
            present: None,
            previous: None,
        }
    }

    /// Adds a sample and returns the minimum with it.
    pub(super) fn record(&mut self, sample: Duration, now: Time) -> Duration {
        let elapsed = now.saturating_since(self.window_start);
        if elapsed >= self.window {
            self.previous = self.present.filter(|_| elapsed < self.window * 2);
            self.present = None;
            self.window_start = now;
        }
        let present = self.present.map_or(sample, |p| p.min(sample));
        self.present = Some(present);
        self.previous.map_or(present, |p| p.min(present))
    }

    /// The minimum at `now`; `None` without a sample of late.
    pub(super) fn current(&self, now: Time) -> Option<Duration> {
        match now.saturating_since(self.window_start) {
            elapsed if elapsed >= self.window * 2 => None,
            elapsed if elapsed >= self.window => self.present,
            _ => self.present.into_iter().chain(self.previous).min(),
        }
    }
}

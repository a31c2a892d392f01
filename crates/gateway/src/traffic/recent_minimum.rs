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
    /// Samples of the present and the previous window.
    counts: [u32; 2],
}

impl RecentMinimum {
    /// Without samples, for windows of this length.
    pub(super) const fn over(window: Duration) -> Self {
        Self {
            window,
            window_start: Time::ZERO,
            present: None,
            previous: None,
            counts: [0; 2],
        }
    }

    /// Adds a sample and returns the minimum with it.
    pub(super) fn record(&mut self, sample: Duration, now: Time) -> Duration {
        let elapsed = now.saturating_since(self.window_start);
        if elapsed >= self.window {
            let is_adjacent = elapsed < self.window * 2;
            self.previous = self.present.filter(|_| is_adjacent);
            self.counts = [0, if is_adjacent { self.counts[0] } else { 0 }];
            self.present = None;
            self.window_start = now;
        }
        self.counts[0] += 1;
        let present = self.present.map_or(sample, |p| p.min(sample));
        self.present = Some(present);
        self.previous.map_or(present, |p| p.min(present))
    }

    /// Number of samples that the minimum at `now` is taken over.
    pub(super) fn count(&self, now: Time) -> u32 {
        match now.saturating_since(self.window_start) {
            elapsed if elapsed >= self.window * 2 => 0,
            elapsed if elapsed >= self.window => self.counts[0],
            _ => self.counts.iter().sum(),
        }
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

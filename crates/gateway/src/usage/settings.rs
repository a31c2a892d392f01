//! Settings of usage reports.

use super::{UnixTime, WindowId};
use std::time::Duration;

/// Time before a report is due that is left for recording and sending it.
const REPORT_LEAD: Duration = Duration::from_secs(3);
/// Time before the latest report of a window in which the holder finds counts that are left in the store. It reads the records about
/// once a second.
const STORED_COUNTS_LEAD: Duration = Duration::from_millis(1_500);
/// Shortest interval between two interim counts of an open window.
const MIN_INTERIM_INTERVAL: Duration = Duration::from_millis(500);

/// Settings of usage reports, which are sent only where the operator's settings contain them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageSettings {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window at which its report is due.
    pub delay: Duration,
    /// Part of its true value by which a count may deviate.
    pub tolerance: f64,
    /// Time within which no two instances may act in the order A, B, A.
    pub lease: Duration,
}

impl UsageSettings {
    /// The window that contains `time`.
    pub const fn window_of(&self, time: UnixTime) -> WindowId {
        WindowId(time.as_micros() / self.window_micros())
    }

    /// The end of a window.
    pub const fn end_of(&self, window: WindowId) -> UnixTime {
        UnixTime::from_micros(window.0.saturating_add(1).saturating_mul(self.window_micros()))
    }

    /// When a window is reported even if counts are missing.
    pub fn latest_report(&self, window: WindowId) -> UnixTime {
        self.end_of(window) + self.delay.saturating_sub(REPORT_LEAD).max(self.delay / 2)
    }

    /// When an instance leaves its counts of a window in the store, if the holder has not acknowledged them.
    pub fn store_counts(&self, window: WindowId) -> UnixTime {
        self.latest_report(window) - STORED_COUNTS_LEAD
    }

    /// When the report of a window is due.
    pub fn due(&self, window: WindowId) -> UnixTime {
        self.end_of(window) + self.delay
    }

    /// Interval between interim counts of an open window. What an instance has counted since its last message is missing if it
    /// is lost; in a larger fleet this is a smaller part of the whole.
    pub fn interim_interval(&self, fleet_size: usize) -> Duration {
        let tolerated = self
            .window
            .mul_f64(self.tolerance * 0.5 * fleet_size.max(1) as f64);
        let longest = self.window / 2;
        tolerated.clamp(MIN_INTERIM_INTERVAL.min(longest), longest)
    }

    const fn window_micros(&self) -> u64 {
        let micros = self.window.as_micros() as u64;
        if micros == 0 { 1 } else { micros }
    }
}

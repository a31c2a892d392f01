//! Detection that this process was suspended, so that requests which arrived meanwhile are not served.

use std::cell::Cell;
use std::time::Duration;
use wasabiyard_model::Time;

/// Gap between two ticks, on a clock that counts suspension, from which on the process counts as suspended. The age of each
/// request is checked as well, so shorter gaps, which a small machine may have under load, need not end transactions.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// Watches the gaps between the ticks of the process.
#[derive(Debug)]
pub struct SuspensionDetector {
    last_tick: Cell<Time>,
}

impl SuspensionDetector {
    /// A detector whose first tick is at `now`.
    pub const fn new(now: Time) -> Self {
        Self {
            last_tick: Cell::new(now),
        }
    }

    /// Whether the next tick is so late that the process was suspended.
    pub fn is_overdue(&self, now: Time) -> bool {
        now.saturating_since(self.last_tick.get()) > MAX_TICK_GAP
    }

    /// Records a tick. Returns whether the process was suspended since the one before.
    pub fn on_tick(&self, now: Time) -> bool {
        let suspended = self.is_overdue(now);
        self.last_tick.set(now);
        suspended
    }
}

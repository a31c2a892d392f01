//! Times at which refused callers are told to come back.
//!
//! Load: a server pauses for a class, and an instance refuses each of its statements until the pause ends. With the same
//! time for all of them, the callers return together, and most are refused again. Later refusals within a pause therefore
//! get later times, up to a bound.

use std::time::Duration;
use wasabiyard_model::{PriorityClass, Time};

/// Bound of the spread after the end of a pause, for each rank: a less urgent class can wait for longer.
const SPREAD_PER_RANK: Duration = Duration::from_millis(120);
/// Refusals after which half of the spread is used.
const HALF_SPREAD_REFUSALS: u32 = 12;

/// Refusals within one pause of a class.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    ends: Time,
    refusals: u32,
}

/// The times given out for one queue, by class.
#[derive(Debug, Clone, Default)]
pub struct RetryTimes {
    windows: [Window; PriorityClass::COUNT],
}

impl RetryTimes {
    /// Time after which a caller refused at `now` should come back, when its class is served again at `pause_until`. Each
    /// call within a pause returns a time that ends later than the one before, at most the spread of the class after the
    /// end of the pause.
    pub fn next(&mut self, class: PriorityClass, pause_until: Time, now: Time) -> Duration {
        let window = &mut self.windows[class.rank()];
        if now >= window.ends {
            *window = Window {
                ends: pause_until,
                refusals: 0,
            };
        }
        let spread = SPREAD_PER_RANK * (class.rank() as u32 + 1);
        let offset = spread * window.refusals / (window.refusals + HALF_SPREAD_REFUSALS);
        window.refusals = window.refusals.saturating_add(1).min(u32::from(u16::MAX));
        pause_until.saturating_since(now) + offset
    }
}

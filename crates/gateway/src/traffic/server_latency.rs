//! Smoothed latency of a backend server, by which reads are placed.

use std::time::Duration;

/// Latency assumed for a server that has not answered yet.
const INITIAL_LATENCY: Duration = Duration::from_millis(20);
/// Upper bound of the estimate. An overloaded server may refuse any number of statements in a row.
const MAX_LATENCY: Duration = Duration::from_secs(10);
/// Weight of a new sample, as a right shift: 3 stands for one eighth.
const WEIGHT_SHIFT: u32 = 3;

/// Exponential average of the time from a command to its answer.
#[derive(Debug, Clone, Copy)]
pub struct ServerLatency {
    estimate: Duration,
}

impl Default for ServerLatency {
    fn default() -> Self {
        Self {
            estimate: INITIAL_LATENCY,
        }
    }
}

impl ServerLatency {
    /// The current estimate.
    pub const fn estimate(&self) -> Duration {
        self.estimate
    }

    /// Records an answer that took `took`.
    pub fn on_answer(&mut self, took: Duration) {
        let others = (1 << WEIGHT_SHIFT) - 1;
        self.estimate = (self.estimate * others + took.min(MAX_LATENCY)) / (1 << WEIGHT_SHIFT);
    }

    /// Raises the estimate after a refusal as overloaded, so that other servers are preferred until answers lower it.
    pub fn on_overloaded(&mut self) {
        self.estimate = (self.estimate * 3 / 2).min(MAX_LATENCY);
    }
}

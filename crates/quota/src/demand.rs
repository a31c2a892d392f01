//! Estimates the rate of statements that callers of one organisation send to this instance.

use std::time::Duration;

/// Time constants of the exponential averages.
const SHORT_AVERAGE_SECONDS: f64 = 0.5;
const PEAK_RISE_SECONDS: f64 = 1.0;
const PEAK_DECAY_SECONDS: f64 = 2.5;
/// Period for which tokens are requested in advance: several control ticks and a round trip between failure domains.
const COVER_SECONDS: f64 = 0.5;

/// A short moving average detects a rise. A slowly decaying peak keeps units from being transferred away during a
/// short pause.
#[derive(Debug, Clone, Default)]
pub(crate) struct DemandEstimate {
    short_average: f64,
    decaying_peak: f64,
}

impl DemandEstimate {
    /// Updates the averages with the number of statements that arrived in the last `elapsed`.
    pub(crate) fn on_tick(&mut self, attempts: u64, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().clamp(0.001, 60.0);
        let weight = 1.0 - (-seconds / SHORT_AVERAGE_SECONDS).exp();
        self.short_average += (attempts as f64 / seconds - self.short_average) * weight;
        let time_constant = if self.short_average > self.decaying_peak {
            PEAK_RISE_SECONDS
        } else {
            PEAK_DECAY_SECONDS
        };
        self.decaying_peak +=
            (self.short_average - self.decaying_peak) * (1.0 - (-seconds / time_constant).exp());
    }

    /// Moving average over a short time, in statements a second.
    pub(crate) fn short_average(&self) -> f64 {
        self.short_average
    }

    /// Slowly decaying peak, in statements a second. Stays close to the recent peak.
    pub(crate) fn decaying_peak(&self) -> f64 {
        self.decaying_peak
    }

    /// Tokens that cover the demand of the next [`COVER_SECONDS`], with three standard deviations of random arrivals.
    pub(crate) fn tokens_to_cover(&self) -> f64 {
        let mean = self.short_average.max(self.decaying_peak) * COVER_SECONDS;
        if mean < 0.01 {
            1.0
        } else {
            mean + 3.0 * mean.sqrt() + 1.0
        }
    }
}

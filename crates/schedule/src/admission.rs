//! Admission control: requests that would miss their deadline are refused before they are queued.

use std::time::Duration;
use wasabiyard_model::{NotRun, Time};

/// Weight of a new sample in the moving average of the service time, 1/8, as in TCP's round-trip time estimator.
const MEAN_WEIGHT_SHIFT: u32 = 3;
/// Weight of a new sample in the moving average of the deviation: 1/4, as in the same estimator.
const DEVIATION_WEIGHT_SHIFT: u32 = 2;
/// Time after which an estimate without new samples is halved. Without this decay, one stall could raise the estimate
/// above the timeout of every route; all requests would then be refused, and no new sample could lower it.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Estimates queueing delays from the measured service time of a database, which is the time for which one transaction
/// holds one connection.
#[derive(Debug, Clone, Default)]
pub struct AdmissionControl {
    mean_micros: u64,
    deviation_micros: u64,
    last_sample_at: Option<Time>,
}

impl AdmissionControl {
    /// Adds the sample of a finished transaction that held its connection for `service`.
    pub fn record_service_time(&mut self, service: Duration, now: Time) {
        let sample = service.as_micros() as u64;
        if self.last_sample_at.is_none() {
            self.mean_micros = sample;
            self.deviation_micros = sample / 2;
        } else {
            let half_lives = self.elapsed_half_lives(now);
            let mean = self.mean_micros >> half_lives;
            let deviation = self.deviation_micros >> half_lives;
            self.mean_micros = exponential_average(mean, sample, MEAN_WEIGHT_SHIFT);
            self.deviation_micros =
                exponential_average(deviation, sample.abs_diff(mean), DEVIATION_WEIGHT_SHIFT);
        }
        self.last_sample_at = Some(now);
    }

    /// Moving average of the service time, decayed since the last sample; zero before the first sample.
    pub fn mean_service_time(&self, now: Time) -> Duration {
        Duration::from_micros(self.mean_micros >> self.elapsed_half_lives(now))
    }

    /// Expected queueing delay of a request behind `ahead` others that are served by `connections` connections.
    pub fn estimated_wait(&self, ahead: usize, connections: usize, now: Time) -> Duration {
        let micros = self.mean_micros >> self.elapsed_half_lives(now);
        Duration::from_micros(micros.saturating_mul(ahead as u64) / connections.max(1) as u64)
    }

    /// Checks that a request behind `ahead` others can probably finish by its deadline.
    ///
    /// # Errors
    ///
    /// [`NotRun::Deadline`] when the deadline has passed, and [`NotRun::Overload`] when the estimated wait plus service
    /// time would exceed it. A request with none ahead is never refused as overload.
    pub fn admit(&self, ahead: usize, connections: usize, deadline: Time, now: Time) -> Result<(), NotRun> {
        if deadline <= now {
            return Err(NotRun::Deadline);
        }
        let start = now + self.estimated_wait(ahead, connections, now);
        if ahead > 0 && !self.ends_before(deadline, start, now) {
            return Err(NotRun::Overload);
        }
        Ok(())
    }

    /// Whether a request that starts now is expected to finish before its deadline. Otherwise it would occupy a
    /// connection and then end as *outcome unknown*, so the caller refuses it with [`NotRun::Overload`] instead.
    pub fn can_meet_deadline(&self, deadline: Time, now: Time) -> bool {
        self.ends_before(deadline, now, now)
    }

    /// Whether `start` plus the mean service time and two deviations is before `deadline`.
    fn ends_before(&self, deadline: Time, start: Time, now: Time) -> bool {
        let micros = (self.mean_micros + 2 * self.deviation_micros) >> self.elapsed_half_lives(now);
        start + Duration::from_micros(micros) < deadline
    }

    /// Whole half-lives since the last sample. Limited to 63, the largest valid shift of a `u64`.
    fn elapsed_half_lives(&self, now: Time) -> u32 {
        let age = self
            .last_sample_at
            .map_or(Duration::ZERO, |at| now.saturating_since(at));
        (age.as_micros() / ESTIMATE_HALF_LIFE.as_micros()).min(63) as u32
    }
}

/// Exponentially weighted moving average in which a new sample has the weight 2^-`shift`.
fn exponential_average(old: u64, sample: u64, shift: u32) -> u64 {
    old - (old >> shift) + (sample >> shift)
}

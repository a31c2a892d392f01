//! Early refusal of requests that would miss their deadline.

use std::time::Duration;
use wasabiyard_model::{NotRun, Time};

/// Weight of a new sample in the smoothed mean, as a power of two; the usual choice for round-trip estimators.
const MEAN_SHIFT: u32 = 3;
const DEVIATION_SHIFT: u32 = 2;
/// An estimate without new samples halves in this time. Without it, one stall that raised the estimate above every
/// route's timeout would refuse all requests, and no sample could ever lower it again.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Estimates waits from the measured service time of a database: the time for which one transaction holds one
/// connection.
#[derive(Debug, Clone, Default)]
pub struct AdmissionControl {
    mean_micros: u64,
    deviation_micros: u64,
    sampled_at: Option<Time>,
}

impl AdmissionControl {
    /// Counts a transaction that held a connection for `service`.
    pub fn record_service_time(&mut self, service: Duration, now: Time) {
        let sample = service.as_micros() as u64;
        if self.sampled_at.is_none() {
            self.mean_micros = sample;
            self.deviation_micros = sample / 2;
        } else {
            let decayed = self.decay(now);
            let mean = self.mean_micros >> decayed;
            let deviation = self.deviation_micros >> decayed;
            self.mean_micros = smooth(mean, sample, MEAN_SHIFT);
            self.deviation_micros = smooth(deviation, sample.abs_diff(mean), DEVIATION_SHIFT);
        }
        self.sampled_at = Some(now);
    }

    /// Mean service time of one transaction.
    pub fn mean_service_time(&self, now: Time) -> Duration {
        Duration::from_micros(self.mean_micros >> self.decay(now))
    }

    /// Time until a request starts that has `ahead` requests before it, all served by `connections` connections.
    pub fn estimated_wait(&self, ahead: usize, connections: usize, now: Time) -> Duration {
        let micros = self.mean_micros >> self.decay(now);
        Duration::from_micros(micros.saturating_mul(ahead as u64) / connections.max(1) as u64)
    }

    /// Whether a request that has `ahead` requests before it is worth queueing.
    ///
    /// # Errors
    ///
    /// [`NotRun::Deadline`] when the deadline has passed, [`NotRun::Overload`] when the estimated wait and the usual
    /// service time pass it. A request that would start at once is not refused.
    pub fn admit(&self, ahead: usize, connections: usize, deadline: Time, now: Time) -> Result<(), NotRun> {
        if deadline <= now {
            return Err(NotRun::Deadline);
        }
        let start = now + self.estimated_wait(ahead, connections, now);
        if ahead > 0 && !self.can_finish(deadline, start, now) {
            return Err(NotRun::Overload);
        }
        Ok(())
    }

    /// Whether a request that starts now usually ends by its deadline. One that does not would occupy a connection and
    /// then end as *outcome unknown*; it is better refused with [`NotRun::Overload`].
    pub fn can_meet_deadline(&self, deadline: Time, now: Time) -> bool {
        self.can_finish(deadline, now, now)
    }

    fn can_finish(&self, deadline: Time, start: Time, now: Time) -> bool {
        let micros = (self.mean_micros + 2 * self.deviation_micros) >> self.decay(now);
        start + Duration::from_micros(micros) < deadline
    }

    /// How often the estimate halved since the last sample.
    fn decay(&self, now: Time) -> u32 {
        let age = self
            .sampled_at
            .map_or(Duration::ZERO, |at| now.saturating_since(at));
        (age.as_micros() / HALF_LIFE.as_micros()).min(63) as u32
    }
}

fn smooth(old: u64, sample: u64, shift: u32) -> u64 {
    old - (old >> shift) + (sample >> shift)
}

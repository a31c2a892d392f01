//! Gradual opening of connections to one slot.

use crate::Backoff;
use rand::Rng;
use std::time::Duration;
use wasabiyard_model::Time;

const MAX_CONCURRENT_CONNECTS: u32 = 2;
/// Longest pause between a finished connect and the next one. About the time that a connect takes, so that the homes
/// of a failure domain that comes back do not connect in step.
const MAX_PAUSE: Duration = Duration::from_millis(20);

/// Limits the connects to one slot to 2 at a time with a random pause in between, and backs off after a failure, so
/// that a slot that comes back does not meet a stampede.
#[derive(Debug, Clone, Default)]
pub struct ConnectLimiter {
    running: u32,
    not_before: Time,
    backoff: Backoff,
}

impl ConnectLimiter {
    /// Starts a connect when one is allowed now. Each `true` is followed by one call of `succeeded`, `failed` or
    /// `abandoned`.
    pub fn try_start(&mut self, now: Time) -> bool {
        let allowed = self.running < MAX_CONCURRENT_CONNECTS && now >= self.not_before;
        if allowed {
            self.running += 1;
        }
        allowed
    }

    /// The connect finished.
    pub fn succeeded<R>(&mut self, now: Time, rng: &mut R)
    where
        R: Rng + ?Sized,
    {
        self.finish();
        self.backoff.reset();
        let pause = Duration::from_micros(rng.random_range(0..=MAX_PAUSE.as_micros() as u64));
        self.not_before = self.not_before.max(now + pause);
    }

    /// The connect was refused or timed out.
    pub fn failed<R>(&mut self, now: Time, rng: &mut R)
    where
        R: Rng + ?Sized,
    {
        self.finish();
        let wait = self.backoff.next_delay(rng);
        self.not_before = self.not_before.max(now + wait);
    }

    /// The connect was given up for a reason that says nothing about the slot.
    pub fn abandoned(&mut self) {
        self.finish();
    }

    /// When a connect may start, if one is not running already at the limit.
    pub fn next_start(&self) -> Option<Time> {
        (self.running < MAX_CONCURRENT_CONNECTS).then_some(self.not_before)
    }

    /// Connects that run now.
    pub fn running(&self) -> u32 {
        self.running
    }

    fn finish(&mut self) {
        assert!(self.running > 0, "a connect finished that was not started");
        self.running -= 1;
    }
}

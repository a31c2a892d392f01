//! Limits on new connections to one slot, which is one server of a replication group.

use crate::Backoff;
use rand::Rng;
use std::time::Duration;
use wasabiyard_model::Time;

const MAX_CONCURRENT_CONNECTS: u32 = 2;
/// Maximum of the random pause after a successful connect. It is about the duration of a connect, so that homes which
/// reconnect after an outage of a failure domain do not connect in lockstep.
const MAX_PAUSE: Duration = Duration::from_millis(20);

/// Allows 2 concurrent connects to one slot, with a random pause after each, and backs off after a failure, so that a
/// slot which recovers is not overloaded by a thundering herd of connects.
#[derive(Debug, Clone, Default)]
pub struct ConnectLimiter {
    running: u32,
    /// Earliest time of the next connect, after a pause or a backoff.
    not_before: Time,
    backoff: Backoff,
}

impl ConnectLimiter {
    /// Reserves one connect if it is allowed now. After `true`, the caller must call exactly one of `succeeded`,
    /// `failed` and `abandoned`.
    pub fn try_start(&mut self, now: Time) -> bool {
        let allowed = self.running < MAX_CONCURRENT_CONNECTS && now >= self.not_before;
        if allowed {
            self.running += 1;
        }
        allowed
    }

    /// Records an established connection and resets the backoff.
    pub fn succeeded<R>(&mut self, now: Time, rng: &mut R)
    where
        R: Rng + ?Sized,
    {
        self.release();
        self.backoff.reset();
        let pause = Duration::from_micros(rng.random_range(0..=MAX_PAUSE.as_micros() as u64));
        self.not_before = self.not_before.max(now + pause);
    }

    /// Records a connect that was refused or timed out, and backs off.
    pub fn failed<R>(&mut self, now: Time, rng: &mut R)
    where
        R: Rng + ?Sized,
    {
        self.release();
        let wait = self.backoff.next_delay(rng);
        self.not_before = self.not_before.max(now + wait);
    }

    /// Records a connect that was cancelled for a reason unrelated to the slot; the backoff does not change.
    pub fn abandoned(&mut self) {
        self.release();
    }

    /// Earliest time of the next connect; `None` while the limit of concurrent connects is reached.
    pub fn next_start(&self) -> Option<Time> {
        (self.running < MAX_CONCURRENT_CONNECTS).then_some(self.not_before)
    }

    /// Number of connects in progress.
    pub fn running(&self) -> u32 {
        self.running
    }

    fn release(&mut self) {
        assert!(self.running > 0, "a connect ended that was never started");
        self.running -= 1;
    }
}

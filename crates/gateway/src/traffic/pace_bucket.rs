//! The token bucket of a limited pace.

use rand::Rng;
use std::time::Duration;
use wasabiyard_model::Time;

/// Most statements that may be sent at once after a time without any; what is unused beyond this is lost.
const MAX_TOKENS: f64 = 2.0;

/// Tokens that come back at a rate which changes over time; each statement takes one.
#[derive(Debug, Clone)]
pub(super) struct PaceBucket {
    /// Tokens a second, above 0.
    rate: f64,
    /// Tokens at `as_of`.
    tokens: f64,
    as_of: Time,
}

impl PaceBucket {
    /// A bucket with a random part of the first token, so that the first statements of a fleet are spread over the time
    /// in which each instance gets one.
    pub(super) fn new<R>(rate: f64, now: Time, rng: &mut R) -> Self
    where
        R: Rng,
    {
        assert!(rate > 0.0, "a pace without statements never ends");
        Self {
            rate,
            tokens: rng.random::<f64>(),
            as_of: now,
        }
    }

    pub(super) const fn rate(&self) -> f64 {
        self.rate
    }

    /// Sets the rate from `now` on.
    pub(super) fn set_rate(&mut self, rate: f64, now: Time) {
        assert!(rate > 0.0, "a pace without statements never ends");
        self.refill(now);
        self.rate = rate;
    }

    /// Takes a token. The bucket owes one that it does not have, for statements that were not asked for.
    pub(super) fn take(&mut self, now: Time) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// When the token after `ahead` others is there.
    pub(super) fn turn(&self, ahead: usize, now: Time) -> Time {
        let missing = ahead as f64 + 1.0 - self.tokens_at(now);
        if missing <= 0.0 {
            return now;
        }
        now + Duration::from_secs_f64(missing / self.rate)
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let earned = now.saturating_since(self.as_of).as_secs_f64() * self.rate;
        (self.tokens + earned).min(MAX_TOKENS)
    }

    fn refill(&mut self, now: Time) {
        self.tokens = self.tokens_at(now);
        self.as_of = self.as_of.max(now);
    }
}

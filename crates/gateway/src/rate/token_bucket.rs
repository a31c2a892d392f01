//! A token bucket that grants tokens ahead of time: the balance may go below zero, and the requester waits until the
//! token has accrued.

use super::RateDecision;
use std::time::Duration;
use wasabiyard_model::Time;

/// Upper bound of the `retry_after` that a refused caller receives.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
pub(super) struct TokenBucket {
    tokens: f64,
    last_refill: Time,
}

impl TokenBucket {
    pub(super) const fn open(tokens: f64, now: Time) -> Self {
        Self {
            tokens,
            last_refill: now,
        }
    }

    /// Adds the tokens accrued since the last refill at `rate` tokens a second, up to `capacity`.
    pub(super) fn refill(&mut self, rate: f64, capacity: f64, now: Time) {
        let elapsed_s = now.saturating_since(self.last_refill).as_secs_f64();
        self.last_refill = self.last_refill.max(now);
        self.tokens = (self.tokens + rate * elapsed_s).min(capacity);
    }

    /// Takes one token if it accrues within `max_wait`, in addition to `headroom` tokens that stay for others. `rate`
    /// is in tokens a second.
    pub(super) fn take(&mut self, rate: f64, headroom: f64, max_wait: Duration) -> RateDecision {
        let missing = 1.0 + headroom - self.tokens;
        let wait = if missing <= 0.0 {
            Duration::ZERO
        } else if rate > 0.0 {
            Duration::from_secs_f64((missing / rate).min(MAX_RETRY_AFTER.as_secs_f64()))
        } else {
            MAX_RETRY_AFTER
        };
        if wait > max_wait {
            return RateDecision::Refused { retry_after: wait };
        }
        self.tokens -= 1.0;
        RateDecision::GrantedAfter(wait)
    }
}

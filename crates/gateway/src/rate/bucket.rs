//! A token bucket from which tokens can be taken shortly before they are there.

use super::RateDecision;
use std::time::Duration;
use wasabiyard_model::Time;

/// Longest wait that is told to a caller that has to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    tokens: f64,
    updated: Time,
}

impl Bucket {
    pub(super) const fn open(tokens: f64, now: Time) -> Self {
        Self { tokens, updated: now }
    }

    /// Adds what has come in at `rate` tokens a second, up to `cap`.
    pub(super) fn refill(&mut self, rate: f64, cap: f64, now: Time) {
        let span = now.saturating_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + rate * span).min(cap);
    }

    /// Takes one token, which is there after the wait of the decision, and leaves `headroom` tokens for others.
    pub(super) fn take(&mut self, rate: f64, headroom: f64, patience: Duration) -> RateDecision {
        let missing = 1.0 + headroom - self.tokens;
        let wait = if missing <= 0.0 {
            Duration::ZERO
        } else if rate > 0.0 {
            Duration::from_secs_f64((missing / rate).min(MAX_RETRY_AFTER.as_secs_f64()))
        } else {
            MAX_RETRY_AFTER
        };
        if wait > patience {
            return RateDecision::Refused { retry_after: wait };
        }
        self.tokens -= 1.0;
        RateDecision::After(wait)
    }
}

//! Rate limits that all clients of the platform share.

use wasabiyard_model::Time;

/// A token bucket whose capacity is the number of calls of one second.
#[derive(Debug, Clone, Copy)]
pub struct RateLimiter {
    per_second: u32,
    tokens: f64,
    refilled_at: Time,
}

impl RateLimiter {
    /// A full bucket that refills with `per_second` tokens a second.
    pub const fn new(per_second: u32) -> Self {
        Self {
            per_second,
            tokens: per_second as f64,
            refilled_at: Time::ZERO,
        }
    }

    /// Takes the token of one call; false when no token is left.
    pub fn admit(&mut self, now: Time) -> bool {
        let rate = f64::from(self.per_second);
        let elapsed = now.saturating_since(self.refilled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * rate).min(rate);
        self.refilled_at = now;
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}

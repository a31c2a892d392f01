//! Tokens of one organisation that the traffic threads may take.

use crate::rates::TokenAttempt;
use std::sync::atomic::{AtomicU64, Ordering};
use wasabiyard_model::Time;
use wasabiyard_quota::{MICROTOKENS_PER_TOKEN, Settlement};

/// Available tokens, borrowed tokens and the number of attempts. Traffic threads only remove tokens; only the rate
/// limiter thread adds them.
#[derive(Debug, Default)]
pub(super) struct TokenPool {
    micro_tokens: AtomicU64,
    loan_micro_tokens: AtomicU64,
    loan_expires_at_micros: AtomicU64,
    attempts: AtomicU64,
}

impl TokenPool {
    /// Takes one token. Borrowed tokens are taken first because they expire.
    pub(super) fn try_take(&self, attempt: TokenAttempt, now: Time) -> bool {
        if attempt == TokenAttempt::First {
            self.attempts.fetch_add(1, Ordering::Relaxed);
        }
        let loan_is_valid = now.as_micros() < self.loan_expires_at_micros.load(Ordering::Acquire);
        (loan_is_valid && take_token(&self.loan_micro_tokens)) || take_token(&self.micro_tokens)
    }

    /// Withdraws the tokens above `reserve`, in millionths, and reports what remains. Reads and resets the number of
    /// attempts if `count_attempts` is set.
    pub(super) fn settle(&self, reserve: u64, count_attempts: bool) -> Settlement {
        let down_to_reserve = |level: u64| (level > reserve).then_some(reserve);
        let (still_published, withdrawn) =
            match self
                .micro_tokens
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, down_to_reserve)
            {
                Ok(before) => (reserve, before - reserve),
                Err(level) => (level, 0),
            };
        Settlement {
            still_published,
            withdrawn,
            loan_remaining: self.loan_micro_tokens.load(Ordering::Acquire),
            attempts: if count_attempts {
                self.attempts.swap(0, Ordering::Relaxed)
            } else {
                0
            },
        }
    }

    /// Adds tokens that the state machine releases to the traffic threads.
    pub(super) fn add_tokens(&self, micro_tokens: u64) {
        if micro_tokens > 0 {
            self.micro_tokens.fetch_add(micro_tokens, Ordering::AcqRel);
        }
    }

    /// Adds borrowed tokens. The rest of an earlier loan is kept unless it has expired. The loan is empty while its
    /// expiry changes, so no thread can take expired tokens under the later expiry.
    pub(super) fn add_loan(&self, micro_tokens: u64, expires: Time, now: Time) {
        let left = self.loan_micro_tokens.swap(0, Ordering::AcqRel);
        let valid = now.as_micros()
            < self
                .loan_expires_at_micros
                .swap(expires.as_micros(), Ordering::AcqRel);
        let kept = if valid { left } else { 0 };
        self.loan_micro_tokens
            .store(kept + micro_tokens, Ordering::Release);
    }
}

fn take_token(level: &AtomicU64) -> bool {
    let taken = level.fetch_update(Ordering::AcqRel, Ordering::Acquire, |l| {
        l.checked_sub(MICROTOKENS_PER_TOKEN)
    });
    taken.is_ok()
}

//! Tokens of one organisation that the traffic threads may spend.

use crate::rates::Try;
use std::sync::atomic::{AtomicU64, Ordering};
use wasabiyard_model::Time;
use wasabiyard_quota::{MICROTOKENS_PER_TOKEN, Settlement};

/// Published tokens, borrowed tokens and a count of attempts. Traffic threads only subtract tokens, and only the thread
/// that runs the state machine adds them.
#[derive(Debug, Default)]
pub(super) struct Level {
    micro_tokens: AtomicU64,
    loan: AtomicU64,
    loan_expires_micros: AtomicU64,
    attempts: AtomicU64,
}

impl Level {
    /// Takes one token, a borrowed one first because it expires.
    pub(super) fn try_take(&self, attempt: Try, now: Time) -> bool {
        if attempt == Try::First {
            self.attempts.fetch_add(1, Ordering::Relaxed);
        }
        let loan_is_valid = now.as_micros() < self.loan_expires_micros.load(Ordering::Acquire);
        (loan_is_valid && take(&self.loan)) || take(&self.micro_tokens)
    }

    /// Takes back what exceeds `reserve`. `attempts` are counted only when `count` is set.
    pub(super) fn settle(&self, reserve: u64, count: bool) -> Settlement {
        let cut = |level: u64| (level > reserve).then_some(reserve);
        let (still_published, withdrawn) =
            match self
                .micro_tokens
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, cut)
            {
                Ok(before) => (reserve, before - reserve),
                Err(level) => (level, 0),
            };
        Settlement {
            still_published,
            withdrawn,
            loan_remaining: self.loan.load(Ordering::Acquire),
            attempts: if count {
                self.attempts.swap(0, Ordering::Relaxed)
            } else {
                0
            },
        }
    }

    /// Adds tokens.
    pub(super) fn publish(&self, micro_tokens: u64) {
        if micro_tokens > 0 {
            self.micro_tokens.fetch_add(micro_tokens, Ordering::AcqRel);
        }
    }

    /// Adds borrowed tokens. What remains of an earlier loan is kept when it has not expired. The level is empty while
    /// the expiry changes, so no thread sees old tokens with a later expiry.
    pub(super) fn lend(&self, micro_tokens: u64, expires: Time, now: Time) {
        let left = self.loan.swap(0, Ordering::AcqRel);
        let valid = now.as_micros()
            < self
                .loan_expires_micros
                .swap(expires.as_micros(), Ordering::AcqRel);
        let kept = if valid { left } else { 0 };
        self.loan.store(kept + micro_tokens, Ordering::Release);
    }
}

fn take(level: &AtomicU64) -> bool {
    let taken = level.fetch_update(Ordering::AcqRel, Ordering::Acquire, |l| {
        l.checked_sub(MICROTOKENS_PER_TOKEN)
    });
    taken.is_ok()
}

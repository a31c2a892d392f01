//! Token pools of all organisations, shared by all threads.

use crate::rates::token_pool::TokenPool;
use arc_swap::ArcSwap;
use std::collections::HashMap;
use std::sync::Arc;
use wasabiyard_model::{NotRun, Time};

/// Whether a statement tries for the first time to take its token. Only first attempts count as demand, because a
/// waiting statement makes many.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenAttempt {
    /// The statement has just arrived.
    First,
    /// The statement has already been refused a token and has waited.
    Retry,
}

/// Limits the rate of statements of each organisation.
#[derive(Debug, Default)]
pub struct RateLimiter {
    pools: ArcSwap<HashMap<Arc<str>, Arc<TokenPool>>>,
}

impl RateLimiter {
    /// Takes one token for a statement, without a lock.
    ///
    /// # Errors
    ///
    /// [`NotRun::Rate`] when the organisation has no token at this instance, or is not in the manifest in force here.
    pub fn try_take(&self, organisation: &str, attempt: TokenAttempt, now: Time) -> Result<(), NotRun> {
        let pools = self.pools.load();
        let taken = pools
            .get(organisation)
            .is_some_and(|pool| pool.try_take(attempt, now));
        taken.then_some(()).ok_or(NotRun::Rate)
    }

    /// The pool of an organisation, created if missing. Only the rate limiter thread may call this, because concurrent
    /// calls could lose a new pool.
    pub(super) fn pool(&self, organisation: &Arc<str>) -> Arc<TokenPool> {
        if let Some(pool) = self.pools.load().get(organisation) {
            return Arc::clone(pool);
        }
        let pool = Arc::new(TokenPool::default());
        let mut pools = HashMap::clone(&self.pools.load());
        pools.insert(Arc::clone(organisation), Arc::clone(&pool));
        self.pools.store(Arc::new(pools));
        pool
    }
}

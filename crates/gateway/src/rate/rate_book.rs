//! What one instance knows of the rates: the buckets that it keeps, and its reserves at other keepers.

use super::keeper::{Limits, LocalReserve, RESERVE_LIFE};
use super::{RateAnswer, RateDecision, RateKeeper, RateWish, keeper_of};
use crate::OrganisationRule;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};

/// Part of the rate that all instances together may spend without any answer of the keeper, within the tolerance that
/// operators allow.
const UNANSWERED_PART: f64 = 0.06;
/// After this many missed answers in a row the keeper is asked less often.
const MISSES_BEFORE_PAUSE: u32 = 2;
/// Pause between questions to a keeper that does not answer.
const PAUSE: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct Account {
    rule: Arc<OrganisationRule>,
    keeper: Option<InstanceId>,
    /// The bucket, when this instance is the keeper.
    kept: Option<RateKeeper>,
    local: LocalReserve,
    misses: u32,
    ask_after: Time,
}

/// Accounts by organisation.
#[derive(Debug)]
pub struct RateBook {
    me: InstanceId,
    /// Operations beyond the burst that operators tolerate, for the whole fleet.
    tolerance: f64,
    fleet: usize,
    accounts: HashMap<Arc<str>, Account>,
}

impl RateBook {
    /// An empty book.
    pub fn new(me: InstanceId, tolerance: f64) -> Self {
        Self {
            me,
            tolerance,
            fleet: 1,
            accounts: HashMap::new(),
        }
    }

    /// Takes over the rules of a configuration and the registered instances.
    pub fn configure<'a, R>(&mut self, rules: R, members: &[InstanceId], now: Time)
    where
        R: Iterator<Item = &'a Arc<OrganisationRule>>,
    {
        self.fleet = members.len().max(1);
        let mut old = std::mem::take(&mut self.accounts);
        for rule in rules {
            let mut account = old.remove(&rule.name).unwrap_or_else(|| Account {
                rule: Arc::clone(rule),
                keeper: None,
                kept: None,
                local: LocalReserve::open(now),
                misses: 0,
                ask_after: now,
            });
            account.rule = Arc::clone(rule);
            let keeper = keeper_of(&rule.name, members.iter()).cloned();
            if keeper != account.keeper {
                account.misses = 0;
                account.ask_after = now;
                account.keeper = keeper;
            }
            let limits = limits_of(rule, self.tolerance);
            if account.keeper.as_ref() == Some(&self.me) {
                account
                    .kept
                    .get_or_insert_with(|| RateKeeper::open(limits.rate, limits.cap, now))
                    .set_limits(limits);
            } else {
                account.kept = None;
            }
            self.accounts.insert(Arc::clone(&rule.name), account);
        }
    }

    /// Changes the operations beyond the burst that operators tolerate.
    pub fn set_tolerance(&mut self, tolerance: f64) {
        self.tolerance = tolerance;
        for account in self.accounts.values_mut() {
            let limits = limits_of(&account.rule, tolerance);
            if let Some(kept) = &mut account.kept {
                kept.set_limits(limits);
            }
        }
    }

    /// The keeper to ask for an operation; `None` when this instance decides on its own.
    pub fn keeper(&self, organisation: &str, now: Time) -> Option<InstanceId> {
        let account = self.accounts.get(organisation)?;
        if account.kept.is_some() || now < account.ask_after {
            return None;
        }
        account.keeper.clone()
    }

    /// Decides on an operation of the asker `from`, when this instance is the keeper.
    pub fn on_ask(
        &mut self,
        organisation: &str,
        from: &InstanceId,
        wish: RateWish,
        now: Time,
    ) -> Option<RateAnswer> {
        let kept = self.accounts.get_mut(organisation)?.kept.as_mut()?;
        Some(kept.ask(from, wish, now))
    }

    /// Takes over the reserve of an answer to a question sent at `asked`.
    pub fn on_answer(&mut self, organisation: &str, reserve: f64, asked: Time) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.misses = 0;
            account.local.rate = reserve;
            account.local.until = asked + RESERVE_LIFE;
        }
    }

    /// A question was not answered.
    pub fn on_no_answer(&mut self, organisation: &str, now: Time) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.misses += 1;
            if account.misses >= MISSES_BEFORE_PAUSE {
                account.ask_after = now + PAUSE;
            }
        }
    }

    /// Decides on an operation at this instance: from the bucket that it keeps, or from its reserve.
    pub fn decide(&mut self, organisation: &str, wish: RateWish, now: Time) -> RateDecision {
        let Some(account) = self.accounts.get_mut(organisation) else {
            return RateDecision::Refused {
                retry_after: Duration::from_secs(1),
            };
        };
        if let Some(kept) = &mut account.kept {
            return kept.ask(&self.me, wish, now).decision;
        }
        let least = account.rule.rate * UNANSWERED_PART / self.fleet as f64;
        account.local.take(least, wish.patience, now)
    }
}

fn limits_of(rule: &OrganisationRule, tolerance: f64) -> Limits {
    Limits {
        rate: rule.rate,
        cap: rule.burst + tolerance,
    }
}

//! The bucket of one organisation at its keeper.

use super::bucket::Bucket;
use super::{RateAnswer, RateDecision, RateWish};
use std::collections::HashMap;
use std::time::Duration;
use wasabiyard_model::{InstanceId, PriorityClass, Time};

/// How long an asker may spend its reserve after an answer.
pub(super) const RESERVE_LIFE: Duration = Duration::from_secs(6);
/// Silence after which an asker may be spending its reserve.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time over which an asker's demand is smoothed, in seconds.
const DEMAND_SPAN_S: f64 = 2.0;
/// Askers below this many operations a second get no reserve: their silence would mean nothing.
const LEAST_DEMAND: f64 = 2.0;
/// Part of the rate that askers share even when they ask for less.
const LEAST_SHARED_PART: f64 = 0.5;

/// Time of the rate that a new keeper has at once, in seconds. What the fleet passes above rate and burst because of it
/// is within what operators tolerate.
const FIRST_TOKENS_S: f64 = 0.3;
/// Time of the rate that is kept for each more urgent class, in seconds.
const HEADROOM_S: f64 = 0.1;

/// Limits of an organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Limits {
    pub(super) rate: f64,
    /// Most tokens that the bucket holds.
    pub(super) cap: f64,
}

#[derive(Debug, Clone, Copy)]
struct Asker {
    demand: f64,
    asked: Time,
    reserve: f64,
}

/// Keeps one bucket.
#[derive(Debug)]
pub struct RateKeeper {
    limits: Limits,
    bucket: Bucket,
    askers: HashMap<InstanceId, Asker>,
}

impl RateKeeper {
    /// A keeper that starts with few tokens: an earlier keeper may just have given out all that there was.
    pub fn open(rate: f64, cap: f64, now: Time) -> Self {
        Self {
            limits: Limits { rate, cap },
            bucket: Bucket::open((rate * FIRST_TOKENS_S).min(cap), now),
            askers: HashMap::new(),
        }
    }

    pub(super) const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Decides on one operation of the asker `from`.
    pub fn ask(&mut self, from: &InstanceId, wish: RateWish, now: Time) -> RateAnswer {
        self.on_demand(from, now);
        let free = self.free_rate(now);
        self.bucket.refill(free, self.limits.cap, now);
        let decision = self.bucket.take(free, self.headroom(wish.class), wish.patience);
        let reserve = self.reserve(from, now);
        if let Some(asker) = self.askers.get_mut(from) {
            asker.reserve = reserve;
        }
        RateAnswer { decision, reserve }
    }

    fn on_demand(&mut self, from: &InstanceId, now: Time) {
        let asker = self.askers.entry(from.clone()).or_insert(Asker {
            demand: 0.0,
            asked: now,
            reserve: 0.0,
        });
        asker.demand = faded(asker, now) + 1.0 / DEMAND_SPAN_S;
        asker.asked = now;
        self.askers
            .retain(|_, a| now.saturating_since(a.asked) < RESERVE_LIFE);
    }

    /// The rate without the reserves of askers that may be spending them.
    fn free_rate(&self, now: Time) -> f64 {
        let silent = self
            .askers
            .values()
            .filter(|a| now.saturating_since(a.asked) >= SILENCE);
        let reserved: f64 = silent.map(|a| a.reserve).sum();
        (self.limits.rate - reserved).max(0.0)
    }

    /// Tokens that an operation of a class leaves to more urgent ones, so that an organisation at its limit is refused
    /// what can wait and not what is urgent.
    fn headroom(&self, class: PriorityClass) -> f64 {
        let span_s = match class {
            PriorityClass::Critical => 0.0,
            PriorityClass::Normal => HEADROOM_S,
            PriorityClass::Background => 2.0 * HEADROOM_S,
        };
        (self.limits.rate * span_s).min(self.limits.cap / 2.0)
    }

    fn reserve(&self, from: &InstanceId, now: Time) -> f64 {
        let total: f64 = self.askers.values().map(|a| faded(a, now)).sum();
        let own = self.askers.get(from).map_or(0.0, |a| a.demand);
        if own < LEAST_DEMAND {
            return 0.0;
        }
        self.limits.rate * own / total.max(self.limits.rate * LEAST_SHARED_PART)
    }
}

fn faded(asker: &Asker, now: Time) -> f64 {
    let span = now.saturating_since(asker.asked).as_secs_f64();
    asker.demand * (-span / DEMAND_SPAN_S).exp()
}

/// Decisions of an asker that has no answer.
#[derive(Debug)]
pub(super) struct LocalReserve {
    pub(super) rate: f64,
    pub(super) until: Time,
    bucket: Bucket,
}

impl LocalReserve {
    pub(super) const fn open(now: Time) -> Self {
        Self {
            rate: 0.0,
            until: Time::ZERO,
            bucket: Bucket::open(0.0, now),
        }
    }

    pub(super) fn take(&mut self, least: f64, patience: Duration, now: Time) -> RateDecision {
        let rate = if now < self.until {
            self.rate.max(least)
        } else {
            least
        };
        self.bucket.refill(rate, 1.0, now);
        self.bucket.take(rate, 0.0, patience)
    }
}

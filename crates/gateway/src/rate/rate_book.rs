//! Token buckets of this instance, one for each organisation.

use super::{Demand, PeerDemand, ShareInputs, share_of};
use crate::OrganisationRule;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, Time};

/// Weight of the newest interval in the smoothed demand.
const DEMAND_WEIGHT: f64 = 0.3;
/// Demand below this many operations a second is not told to peers.
const QUIET_DEMAND: f64 = 0.05;

/// Whether an operation may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateDecision {
    /// It may run after this wait.
    After(Duration),
    /// The organisation is above its rate. A token is free after this time.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Bucket {
    rule: Arc<OrganisationRule>,
    share: f64,
    tokens: f64,
    updated: Time,
    asked: u32,
    demand: Demand,
    peers: HashMap<InstanceId, (Incarnation, Demand)>,
}

/// The buckets.
#[derive(Debug)]
pub struct RateBook {
    buckets: HashMap<Arc<str>, Bucket>,
    /// Operations beyond the burst that the operators tolerate, for the whole fleet.
    tolerance: f64,
    members: Vec<(InstanceId, Incarnation)>,
    ticked: Time,
}

impl RateBook {
    /// An empty book. `tolerance` is the number of operations above rate and burst that the fleet may let pass.
    pub fn new(tolerance: f64, now: Time) -> Self {
        Self {
            buckets: HashMap::new(),
            tolerance,
            members: Vec::new(),
            ticked: now,
        }
    }

    /// Takes over the rules of a configuration and the other registered instances.
    pub fn configure<'a, R>(&mut self, rules: R, peers: Vec<(InstanceId, Incarnation)>, now: Time)
    where
        R: Iterator<Item = &'a Arc<OrganisationRule>>,
    {
        self.members = peers;
        let mut old = std::mem::take(&mut self.buckets);
        for rule in rules {
            let bucket = match old.remove(&rule.name) {
                Some(mut bucket) => {
                    bucket.rule = Arc::clone(rule);
                    bucket.peers.retain(|id, (incarnation, _)| {
                        self.members.iter().any(|(m, i)| m == id && i == incarnation)
                    });
                    bucket
                }
                None => Bucket {
                    rule: Arc::clone(rule),
                    share: 0.0,
                    tokens: 0.0,
                    updated: now,
                    asked: 0,
                    demand: Demand::default(),
                    peers: HashMap::new(),
                },
            };
            self.buckets.insert(Arc::clone(&rule.name), bucket);
        }
        self.reshare(now);
    }

    /// Takes one operation of an organisation. An operation whose token comes within `patience` is let in, to start
    /// when the token is there.
    pub fn take(&mut self, organisation: &str, patience: Duration, now: Time) -> RateDecision {
        let tolerance = self.tolerance / (self.members.len() as f64 + 1.0);
        let Some(bucket) = self.buckets.get_mut(organisation) else {
            return RateDecision::Refused {
                retry_after: Duration::from_secs(1),
            };
        };
        bucket.asked += 1;
        bucket.refill(tolerance, now);
        let wait = bucket.wait_for_next();
        if wait > patience {
            return RateDecision::Refused { retry_after: wait };
        }
        bucket.tokens -= 1.0;
        RateDecision::After(wait)
    }

    /// Records what a peer says of its demand. Organisations that it does not name have none.
    pub fn hear(&mut self, peer: &InstanceId, incarnation: Incarnation, demands: &[(Arc<str>, f64)]) {
        if !self.members.iter().any(|(m, i)| m == peer && *i == incarnation) {
            return;
        }
        for bucket in self.buckets.values_mut() {
            let told = demands.iter().find(|(name, _)| *name == bucket.rule.name);
            let demand = Demand(told.map_or(0.0, |(_, d)| d.max(0.0)));
            bucket.peers.insert(peer.clone(), (incarnation, demand));
        }
    }

    /// Smooths the demand since the last tick and computes the shares anew. Returns the demands to tell to peers.
    pub fn tick(&mut self, now: Time) -> Vec<(Arc<str>, f64)> {
        let span = now.saturating_since(self.ticked).as_secs_f64().max(0.001);
        self.ticked = now;
        for bucket in self.buckets.values_mut() {
            let rate = f64::from(std::mem::take(&mut bucket.asked)) / span;
            bucket.demand.0 += DEMAND_WEIGHT * (rate - bucket.demand.0);
        }
        self.reshare(now);
        let demanded = self.buckets.values().filter(|b| b.demand.0 >= QUIET_DEMAND);
        demanded.map(|b| (Arc::clone(&b.rule.name), b.demand.0)).collect()
    }

    fn reshare(&mut self, now: Time) {
        let tolerance = self.tolerance / (self.members.len() as f64 + 1.0);
        for bucket in self.buckets.values_mut() {
            bucket.refill(tolerance, now);
            let peers: Vec<_> = self
                .members
                .iter()
                .map(|(id, _)| match bucket.peers.get(id) {
                    Some(&(incarnation, demand)) => PeerDemand::Heard { incarnation, demand },
                    None => PeerDemand::Unheard,
                })
                .collect();
            bucket.share = share_of(ShareInputs {
                own: bucket.demand,
                peers: &peers,
                rate: bucket.rule.rate,
            });
            bucket.tokens = bucket.tokens.min(bucket.cap(tolerance));
        }
    }
}

impl Bucket {
    fn cap(&self, tolerance: f64) -> f64 {
        self.rule.burst * self.share + tolerance
    }

    fn refill(&mut self, tolerance: f64, now: Time) {
        let span = now.saturating_since(self.updated).as_secs_f64();
        self.updated = now;
        let filled = self.tokens + self.rule.rate * self.share * span;
        self.tokens = filled.min(self.cap(tolerance));
    }

    fn wait_for_next(&self) -> Duration {
        let missing = 1.0 - self.tokens;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let rate = self.rule.rate * self.share;
        if rate <= 0.0 {
            return Duration::from_secs(1);
        }
        Duration::from_secs_f64((missing / rate).min(10.0))
    }
}

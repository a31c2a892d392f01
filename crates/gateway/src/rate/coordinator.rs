//! The token bucket of one organisation at its rate coordinator, and the reservation of a requester.

use super::token_bucket::TokenBucket;
use super::{RateDecision, TokenRequest, TokenResponse};
use std::collections::HashMap;
use std::time::Duration;
use wasabiyard_model::{InstanceId, PriorityClass, Time};

/// How long a requester may spend its reserved rate, counted from the request that the coordinator answered.
pub(super) const RESERVATION_LIFETIME: Duration = Duration::from_secs(6);
/// Time without a request after which the coordinator assumes that a requester is spending its reserved rate.
const SILENCE_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Time constant of the exponential average of a requester's demand, in seconds.
const DEMAND_TIME_CONSTANT_S: f64 = 2.0;
/// Requesters with a demand below this many operations a second get no reserved rate: they are often silent because
/// they have nothing to run, not because the link to them failed.
const MIN_RESERVED_DEMAND_PER_S: f64 = 2.0;
/// Lower bound, as a part of the rate, of the total demand among which the rate is divided. It keeps a single requester
/// with little demand from reserving the whole rate.
const MIN_TOTAL_DEMAND_FRACTION: f64 = 0.5;

/// Upper bound of a reservation, as a multiple of the requester's demand. What is reserved for requesters that fell silent
/// is missing for the others.
const MAX_RESERVED_DEMAND_FACTOR: f64 = 1.25;

/// Initial fill of a new coordinator's bucket, in seconds of the rate. The operations that it lets pass above rate and
/// burst are within the tolerance that operators configure.
const INITIAL_TOKENS_S: f64 = 0.3;
/// Tokens that an operation leaves in the bucket for each more urgent priority class, in seconds of the rate.
const PRIORITY_HEADROOM_S: f64 = 0.1;

/// Parameters of an organisation's token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RateLimits {
    /// Refill rate in operations a second.
    pub(super) rate: f64,
    /// Most tokens that the bucket holds: the configured burst and the tolerance.
    pub(super) capacity: f64,
}

/// What the coordinator knows of one instance that requests tokens.
#[derive(Debug, Clone, Copy)]
struct Requester {
    /// Exponential average of its operations a second, as of `last_request`.
    demand: f64,
    last_request: Time,
    /// Operations a second that the last response reserved for this requester.
    reserved_rate: f64,
}

/// The authoritative token bucket of one organisation, with the demand and reservations of the instances that request
/// tokens from it.
#[derive(Debug)]
pub struct RateCoordinator {
    limits: RateLimits,
    /// Part of the rate that this coordinator grants; the rest is left to another one.
    part: f64,
    /// Part of the rate that is reserved for requesters.
    reservable_part: f64,
    bucket: TokenBucket,
    requesters: HashMap<InstanceId, Requester>,
}

impl RateCoordinator {
    /// Creates a coordinator with few tokens: the previous coordinator may just have granted a full bucket.
    pub fn open(rate: f64, capacity: f64, now: Time) -> Self {
        Self {
            limits: RateLimits { rate, capacity },
            part: 1.0,
            reservable_part: 1.0,
            bucket: TokenBucket::open((rate * INITIAL_TOKENS_S).min(capacity), now),
            requesters: HashMap::new(),
        }
    }

    /// Creates the substitute of a coordinator that cannot be reached, which grants `part` of the rate. It starts without
    /// tokens, because the coordinator may have granted all of them.
    pub(super) fn open_substitute(limits: RateLimits, part: f64, now: Time) -> Self {
        Self {
            limits,
            part,
            reservable_part: 0.0,
            bucket: TokenBucket::open(0.0, now),
            requesters: HashMap::new(),
        }
    }

    /// Sets the part of the rate that is reserved for requesters. What a substitute may grant is not reserved.
    pub(super) const fn set_reservable_part(&mut self, part: f64) {
        self.reservable_part = part;
    }

    /// Changes the part of the rate that this coordinator grants from `now` on.
    pub(super) fn set_part(&mut self, part: f64, now: Time) {
        if (self.part - part).abs() > f64::EPSILON {
            self.bucket
                .refill(self.unreserved_rate(now), self.limits.capacity, now);
            self.part = part;
        }
    }

    pub(super) const fn set_limits(&mut self, limits: RateLimits) {
        self.limits = limits;
    }

    /// Decides on one operation at the instance `from`, and renews the rate that is reserved for that instance.
    pub fn request_token(&mut self, from: &InstanceId, request: TokenRequest, now: Time) -> TokenResponse {
        self.record_demand(from, now);
        let unreserved = self.unreserved_rate(now);
        self.bucket.refill(unreserved, self.limits.capacity, now);
        let decision = self
            .bucket
            .take(unreserved, self.headroom(request.class), request.max_wait);
        let reserved_rate = self.reserved_rate(from, now);
        if let Some(requester) = self.requesters.get_mut(from) {
            requester.reserved_rate = reserved_rate;
        }
        TokenResponse {
            decision,
            reserved_rate,
        }
    }

    fn record_demand(&mut self, from: &InstanceId, now: Time) {
        let requester = self.requesters.entry(from.clone()).or_insert(Requester {
            demand: 0.0,
            last_request: now,
            reserved_rate: 0.0,
        });
        requester.demand = decayed_demand(requester, now) + 1.0 / DEMAND_TIME_CONSTANT_S;
        requester.last_request = now;
        self.requesters
            .retain(|_, r| now.saturating_since(r.last_request) < RESERVATION_LIFETIME);
    }

    /// The granted part of the rate without the reservations of requesters that may be spending them.
    fn unreserved_rate(&self, now: Time) -> f64 {
        let silent = self
            .requesters
            .values()
            .filter(|r| now.saturating_since(r.last_request) >= SILENCE_THRESHOLD);
        let reserved: f64 = silent.map(|r| r.reserved_rate).sum();
        (self.limits.rate * self.part - reserved).max(0.0)
    }

    /// Tokens that an operation of a priority class leaves for more urgent ones, so that an organisation at its limit
    /// is refused operations that can wait rather than urgent ones.
    fn headroom(&self, class: PriorityClass) -> f64 {
        let headroom_s = PRIORITY_HEADROOM_S * class.rank() as f64;
        (self.limits.rate * headroom_s).min(self.limits.capacity / 2.0)
    }

    fn reserved_rate(&self, from: &InstanceId, now: Time) -> f64 {
        let total_demand: f64 = self.requesters.values().map(|r| decayed_demand(r, now)).sum();
        let requester_demand = self.requesters.get(from).map_or(0.0, |r| r.demand);
        if requester_demand < MIN_RESERVED_DEMAND_PER_S {
            return 0.0;
        }
        let reservable = self.limits.rate * self.reservable_part;
        let share =
            reservable * requester_demand / total_demand.max(self.limits.rate * MIN_TOTAL_DEMAND_FRACTION);
        share.min(requester_demand * MAX_RESERVED_DEMAND_FACTOR)
    }
}

fn decayed_demand(requester: &Requester, now: Time) -> f64 {
    let elapsed_s = now.saturating_since(requester.last_request).as_secs_f64();
    requester.demand * (-elapsed_s / DEMAND_TIME_CONSTANT_S).exp()
}

/// The rate that a coordinator has reserved for this instance, spent while the coordinator does not answer.
#[derive(Debug)]
pub(super) struct LocalReservation {
    /// Operations a second.
    pub(super) rate: f64,
    pub(super) expires_at: Time,
    bucket: TokenBucket,
}

impl LocalReservation {
    pub(super) const fn open(now: Time) -> Self {
        Self {
            rate: 0.0,
            expires_at: Time::ZERO,
            bucket: TokenBucket::open(0.0, now),
        }
    }

    /// Decides on one operation at the reserved rate, or at `min_rate` when that is higher or the reservation has
    /// expired.
    pub(super) fn take(&mut self, min_rate: f64, max_wait: Duration, now: Time) -> RateDecision {
        let rate = if now < self.expires_at {
            self.rate.max(min_rate)
        } else {
            min_rate
        };
        self.bucket.refill(rate, 1.0, now);
        self.bucket.take(rate, 0.0, max_wait)
    }
}

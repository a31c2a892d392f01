//! The rate limiting state of one instance: the buckets that it coordinates, and its reservations at other
//! coordinators.

use super::coordinator::{LocalReservation, RESERVATION_LIFETIME, RateLimits};
use super::{RateCoordinator, RateDecision, TokenRequest, TokenResponse, coordinator_of};
use crate::OrganisationRule;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};

/// Part of the rate that all instances together may spend without any response of the coordinator. It is within the
/// tolerance that operators configure.
const UNCOORDINATED_FRACTION: f64 = 0.06;
/// Consecutive timeouts after which requests to a coordinator back off.
const TIMEOUTS_BEFORE_BACKOFF: u32 = 2;
/// Interval between requests to a coordinator that does not answer.
const COORDINATOR_BACKOFF: Duration = Duration::from_millis(300);

/// State of one organisation at this instance.
#[derive(Debug)]
struct OrganisationState {
    rule: Arc<OrganisationRule>,
    /// `None` while no instance is registered.
    coordinator: Option<InstanceId>,
    /// Present when this instance is the coordinator.
    local_coordinator: Option<RateCoordinator>,
    reservation: LocalReservation,
    consecutive_timeouts: u32,
    /// Earliest time of the next request to the coordinator.
    next_request: Time,
}

/// Decides on the operations of all organisations at one instance, without input or output.
#[derive(Debug)]
pub struct RateLimiterState {
    own_id: InstanceId,
    /// Operations above rate and burst that operators tolerate over the whole fleet.
    tolerance_tokens: f64,
    /// Registered instances, at least 1.
    fleet_size: usize,
    organisations: HashMap<Arc<str>, OrganisationState>,
}

impl RateLimiterState {
    /// Creates a state that refuses every operation until [`Self::configure`] names the organisations.
    pub fn new(own_id: InstanceId, tolerance_tokens: f64) -> Self {
        Self {
            own_id,
            tolerance_tokens,
            fleet_size: 1,
            organisations: HashMap::new(),
        }
    }

    /// Applies the organisations of a configuration and the registered instances, from which the coordinators follow.
    /// Organisations that stay keep their state; a bucket is dropped when its organisation gets another coordinator.
    pub fn configure<'a, R>(&mut self, rules: R, members: &[InstanceId], now: Time)
    where
        R: Iterator<Item = &'a Arc<OrganisationRule>>,
    {
        self.fleet_size = members.len().max(1);
        let mut previous = std::mem::take(&mut self.organisations);
        for rule in rules {
            let mut state = previous.remove(&rule.name).unwrap_or_else(|| OrganisationState {
                rule: Arc::clone(rule),
                coordinator: None,
                local_coordinator: None,
                reservation: LocalReservation::open(now),
                consecutive_timeouts: 0,
                next_request: now,
            });
            state.rule = Arc::clone(rule);
            let coordinator = coordinator_of(&rule.name, members.iter()).cloned();
            if coordinator != state.coordinator {
                state.consecutive_timeouts = 0;
                state.next_request = now;
                state.coordinator = coordinator;
            }
            let limits = limits_of(rule, self.tolerance_tokens);
            if state.coordinator.as_ref() == Some(&self.own_id) {
                state
                    .local_coordinator
                    .get_or_insert_with(|| RateCoordinator::open(limits.rate, limits.capacity, now))
                    .set_limits(limits);
            } else {
                state.local_coordinator = None;
            }
            self.organisations.insert(Arc::clone(&rule.name), state);
        }
    }

    /// Changes the operations above rate and burst that operators tolerate over the whole fleet.
    pub fn set_tolerance(&mut self, tolerance_tokens: f64) {
        self.tolerance_tokens = tolerance_tokens;
        for state in self.organisations.values_mut() {
            let limits = limits_of(&state.rule, tolerance_tokens);
            if let Some(local_coordinator) = &mut state.local_coordinator {
                local_coordinator.set_limits(limits);
            }
        }
    }

    /// The instance to request a token from. `None` when this instance has to decide by [`Self::decide`]: it is the
    /// coordinator itself, requests to the coordinator back off, or the organisation or its coordinator is unknown.
    pub fn coordinator(&self, organisation: &str, now: Time) -> Option<InstanceId> {
        let state = self.organisations.get(organisation)?;
        if state.local_coordinator.is_some() || now < state.next_request {
            return None;
        }
        state.coordinator.clone()
    }

    /// Decides on an operation at the instance `from`. `None` when this instance is not the coordinator.
    pub fn on_request(
        &mut self,
        organisation: &str,
        from: &InstanceId,
        request: TokenRequest,
        now: Time,
    ) -> Option<TokenResponse> {
        let local_coordinator = self
            .organisations
            .get_mut(organisation)?
            .local_coordinator
            .as_mut()?;
        Some(local_coordinator.request_token(from, request, now))
    }

    /// Stores the reserved rate of a response to a request that was sent at `sent_at`.
    pub fn on_response(&mut self, organisation: &str, reserved_rate: f64, sent_at: Time) {
        if let Some(state) = self.organisations.get_mut(organisation) {
            state.consecutive_timeouts = 0;
            state.reservation.rate = reserved_rate;
            state.reservation.expires_at = sent_at + RESERVATION_LIFETIME;
        }
    }

    /// Records that a request to the coordinator timed out.
    pub fn on_timeout(&mut self, organisation: &str, now: Time) {
        if let Some(state) = self.organisations.get_mut(organisation) {
            state.consecutive_timeouts += 1;
            if state.consecutive_timeouts >= TIMEOUTS_BEFORE_BACKOFF {
                state.next_request = now + COORDINATOR_BACKOFF;
            }
        }
    }

    /// Decides on an operation without another instance: from the bucket when this instance is the coordinator, else
    /// from the reserved rate.
    pub fn decide(&mut self, organisation: &str, request: TokenRequest, now: Time) -> RateDecision {
        let Some(state) = self.organisations.get_mut(organisation) else {
            return RateDecision::Refused {
                retry_after: Duration::from_secs(1),
            };
        };
        if let Some(local_coordinator) = &mut state.local_coordinator {
            return local_coordinator
                .request_token(&self.own_id, request, now)
                .decision;
        }
        let min_rate = state.rule.rate * UNCOORDINATED_FRACTION / self.fleet_size as f64;
        state.reservation.take(min_rate, request.max_wait, now)
    }
}

fn limits_of(rule: &OrganisationRule, tolerance_tokens: f64) -> RateLimits {
    RateLimits {
        rate: rule.rate,
        capacity: rule.burst + tolerance_tokens,
    }
}

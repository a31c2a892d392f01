//! The rate of one organisation at one instance, which is its coordinator, its substitute or one of the requesters.
//!
//! The role changes with the registered instances, and with it who decides on an operation when the coordinator does not
//! answer.

use super::coordinator::{LocalReservation, RESERVATION_LIFETIME, RateLimits};
use super::peer_links::PeerLinks;
use super::{RateCoordinator, RateDecision, TokenRequest, TokenResponse, coordinator_of, substitute_of};
use crate::OrganisationRule;
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

/// Smallest fleet in which coordinators have substitutes. In smaller ones the reservations cover the demand.
const SUBSTITUTE_FLEET_INSTANCES: usize = 15;
/// Part of the rate that a substitute grants while it is cut off from the coordinator.
const SUBSTITUTE_PART: f64 = 0.35;
/// Tokens that a substitute collects at most, in seconds of the rate.
const SUBSTITUTE_CAPACITY_S: f64 = 0.2;

/// State of one organisation at this instance.
#[derive(Debug)]
pub(super) struct OrganisationState {
    rule: Arc<OrganisationRule>,
    /// `None` while no instance is registered.
    coordinator: Option<InstanceId>,
    /// `None` in a small fleet.
    substitute: Option<InstanceId>,
    /// Present while this instance stands in for the coordinator.
    stand_in: Option<RateCoordinator>,
    /// Earliest time of the next request to the substitute.
    next_substitute_request: Time,
    /// Present when this instance is the coordinator.
    local_coordinator: Option<RateCoordinator>,
    reservation: LocalReservation,
    consecutive_timeouts: u32,
    /// Earliest time of the next request to the coordinator.
    next_request: Time,
}

impl OrganisationState {
    /// Creates the state of an organisation that has no coordinator yet.
    pub(super) const fn open(rule: Arc<OrganisationRule>, now: Time) -> Self {
        Self {
            rule,
            coordinator: None,
            substitute: None,
            stand_in: None,
            next_substitute_request: now,
            local_coordinator: None,
            reservation: LocalReservation::open(now),
            consecutive_timeouts: 0,
            next_request: now,
        }
    }

    /// Applies the rule of a configuration and the registered instances. A bucket is dropped when another instance becomes
    /// the coordinator.
    pub(super) fn configure(
        &mut self,
        rule: &Arc<OrganisationRule>,
        members: &[InstanceId],
        own_id: &InstanceId,
        tolerance_tokens: f64,
        now: Time,
    ) {
        self.rule = Arc::clone(rule);
        self.appoint(members, now);
        if self.coordinator.as_ref() != Some(own_id) {
            self.local_coordinator = None;
            return;
        }
        let limits = limits_of(rule, tolerance_tokens);
        let local_coordinator = self
            .local_coordinator
            .get_or_insert_with(|| RateCoordinator::open(limits.rate, limits.capacity, now));
        local_coordinator.set_limits(limits);
        local_coordinator.set_reservable_part(match self.substitute {
            Some(_) => 1.0 - SUBSTITUTE_PART,
            None => 1.0,
        });
    }

    /// Chooses coordinator and substitute among the registered instances.
    fn appoint(&mut self, members: &[InstanceId], now: Time) {
        let coordinator = coordinator_of(&self.rule.name, members.iter()).cloned();
        if coordinator != self.coordinator {
            self.consecutive_timeouts = 0;
            self.next_request = now;
            self.coordinator = coordinator;
        }
        let substitute = substitute_of(&self.rule.name, members.iter());
        let substitute = substitute
            .filter(|_| members.len() >= SUBSTITUTE_FLEET_INSTANCES)
            .cloned();
        if substitute != self.substitute {
            self.next_substitute_request = now;
            self.stand_in = None;
            self.substitute = substitute;
        }
    }

    /// Changes the operations above rate and burst that operators tolerate over the whole fleet.
    pub(super) fn set_tolerance(&mut self, tolerance_tokens: f64) {
        let limits = limits_of(&self.rule, tolerance_tokens);
        if let Some(local_coordinator) = &mut self.local_coordinator {
            local_coordinator.set_limits(limits);
        }
    }

    /// The instance with which this one shares the organisation as coordinator or substitute.
    pub(super) fn linked_peer(&self, own_id: &InstanceId) -> Option<&InstanceId> {
        let (coordinator, substitute) = (self.coordinator.as_ref()?, self.substitute.as_ref()?);
        match own_id {
            id if id == coordinator => Some(substitute),
            id if id == substitute => Some(coordinator),
            _ => None,
        }
    }

    /// The coordinator, if this instance is its substitute.
    pub(super) fn substituted_coordinator(&self, own_id: &InstanceId) -> Option<&InstanceId> {
        let coordinator = self.coordinator.as_ref();
        coordinator.filter(|_| self.substitute.as_ref() == Some(own_id))
    }

    /// The instance to request a token from; `None` if this instance is the coordinator, requests to the coordinator back
    /// off, or it is unknown.
    pub(super) fn coordinator_to_ask(&self, now: Time) -> Option<InstanceId> {
        if self.local_coordinator.is_some() || now < self.next_request {
            return None;
        }
        self.coordinator.clone()
    }

    /// The substitute to request a token from; `None` while requests to it back off, or if it is this instance.
    pub(super) fn substitute_to_ask(&self, own_id: &InstanceId, now: Time) -> Option<InstanceId> {
        let due = now >= self.next_substitute_request && self.local_coordinator.is_none();
        self.substitute.clone().filter(|id| due && id != own_id)
    }

    /// Records that a request to the substitute timed out.
    pub(super) fn on_substitute_timeout(&mut self, now: Time) {
        self.next_substitute_request = now + COORDINATOR_BACKOFF;
    }

    /// Stores the reserved rate of a response to a request that was sent at `sent_at`.
    pub(super) fn on_response(&mut self, reserved_rate: f64, sent_at: Time) {
        self.consecutive_timeouts = 0;
        self.reservation.rate = reserved_rate;
        self.reservation.expires_at = sent_at + RESERVATION_LIFETIME;
    }

    /// Records that a request to the coordinator timed out.
    pub(super) fn on_timeout(&mut self, now: Time) {
        self.consecutive_timeouts += 1;
        if self.consecutive_timeouts >= TIMEOUTS_BEFORE_BACKOFF {
            self.next_request = now + COORDINATOR_BACKOFF;
        }
    }

    /// Decides on an operation at the instance `from`. `None` when this instance neither is the coordinator nor stands in.
    pub(super) fn on_request(
        &mut self,
        from: &InstanceId,
        request: TokenRequest,
        now: Time,
    ) -> Option<TokenResponse> {
        if let Some(local_coordinator) = &mut self.local_coordinator {
            return Some(local_coordinator.request_token(from, request, now));
        }
        let decision = self.stand_in.as_mut()?.request_token(from, request, now).decision;
        Some(TokenResponse {
            decision,
            reserved_rate: 0.0,
        })
    }

    /// Decides on an operation of this instance: as the coordinator, from the reserved rate, or as the substitute.
    pub(super) fn decide(
        &mut self,
        own_id: &InstanceId,
        fleet_size: usize,
        request: TokenRequest,
        now: Time,
    ) -> RateDecision {
        if let Some(local_coordinator) = &mut self.local_coordinator {
            return local_coordinator.request_token(own_id, request, now).decision;
        }
        let min_rate = self.rule.rate * UNCOORDINATED_FRACTION / fleet_size as f64;
        let decision = self.reservation.take(min_rate, request.max_wait, now);
        match (decision, &mut self.stand_in) {
            (RateDecision::Refused { .. }, Some(stand_in)) => {
                stand_in.request_token(own_id, request, now).decision
            }
            // The coordinator is asked again after its backoff, and may answer then.
            (RateDecision::Refused { retry_after }, None) => RateDecision::Refused {
                retry_after: retry_after.min(COORDINATOR_BACKOFF),
            },
            (RateDecision::GrantedAfter(_), _) => decision,
        }
    }

    /// Adjusts what this instance grants of the rate to its contact with the substitute or coordinator.
    pub(super) fn update_parts(&mut self, own_id: &InstanceId, links: &PeerLinks, now: Time) {
        if let (Some(coordinator), Some(substitute)) = (&mut self.local_coordinator, &self.substitute) {
            let alone = links.get(substitute).is_none_or(|l| l.must_give_up_part(now));
            coordinator.set_part(if alone { 1.0 - SUBSTITUTE_PART } else { 1.0 }, now);
        } else if self.substitute.as_ref() == Some(own_id) {
            let link = self.coordinator.as_ref().and_then(|id| links.get(id));
            if !link.is_some_and(|l| l.may_stand_in(now)) {
                self.stand_in = None;
            } else if self.stand_in.is_none() {
                let limits = RateLimits {
                    rate: self.rule.rate,
                    capacity: (self.rule.rate * SUBSTITUTE_CAPACITY_S).max(1.0),
                };
                self.stand_in = Some(RateCoordinator::open_substitute(limits, SUBSTITUTE_PART, now));
            }
        }
    }
}

fn limits_of(rule: &OrganisationRule, tolerance_tokens: f64) -> RateLimits {
    RateLimits {
        rate: rule.rate,
        capacity: rule.burst + tolerance_tokens,
    }
}

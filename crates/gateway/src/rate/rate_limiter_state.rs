//! The rate limiting state of one instance: the buckets that it coordinates, and its reservations at other
//! coordinators.

use super::coordinator::{LocalReservation, RESERVATION_LIFETIME, RateLimits};
use super::{
    CoordinatorLink, LinkEcho, LinkMessage, RateCoordinator, RateDecision, TokenRequest, TokenResponse,
    coordinator_of, substitute_of,
};
use crate::OrganisationRule;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, Time};

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
/// Interval between the messages of a substitute to the coordinator.
const LINK_PERIOD: Duration = Duration::from_millis(400);

/// State of one organisation at this instance.
#[derive(Debug)]
struct OrganisationState {
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

/// Decides on the operations of all organisations at one instance, without input or output.
#[derive(Debug)]
pub struct RateLimiterState {
    own_id: InstanceId,
    /// Operations above rate and burst that operators tolerate over the whole fleet.
    tolerance_tokens: f64,
    /// Registered instances, at least 1.
    fleet_size: usize,
    organisations: HashMap<Arc<str>, OrganisationState>,
    /// Contact with each instance that is the coordinator of an organisation whose substitute is this instance, or the
    /// other way round.
    links: HashMap<InstanceId, PeerLink>,
    next_link_round: Time,
}

/// Contact with one instance, and its last message, which the next one to it echoes.
#[derive(Debug)]
struct PeerLink {
    link: CoordinatorLink,
    received: Option<LinkEcho>,
}

impl RateLimiterState {
    /// Creates a state that refuses every operation until [`Self::configure`] names the organisations.
    pub fn new(own_id: InstanceId, tolerance_tokens: f64) -> Self {
        Self {
            own_id,
            tolerance_tokens,
            fleet_size: 1,
            organisations: HashMap::new(),
            links: HashMap::new(),
            next_link_round: Time::ZERO,
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
                substitute: None,
                stand_in: None,
                next_substitute_request: now,
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
            let substitute = substitute_of(&rule.name, members.iter());
            let substitute = substitute
                .filter(|_| members.len() >= SUBSTITUTE_FLEET_INSTANCES)
                .cloned();
            if substitute != state.substitute {
                state.next_substitute_request = now;
                state.stand_in = None;
                state.substitute = substitute;
            }
            let limits = limits_of(rule, self.tolerance_tokens);
            if state.coordinator.as_ref() == Some(&self.own_id) {
                let local_coordinator = state
                    .local_coordinator
                    .get_or_insert_with(|| RateCoordinator::open(limits.rate, limits.capacity, now));
                local_coordinator.set_limits(limits);
                local_coordinator.set_reservable_part(match state.substitute {
                    Some(_) => 1.0 - SUBSTITUTE_PART,
                    None => 1.0,
                });
            } else {
                state.local_coordinator = None;
            }
            self.organisations.insert(Arc::clone(&rule.name), state);
        }
        self.open_links(now);
    }

    /// Opens links to the instances that this one shares an organisation with as coordinator or substitute, and drops
    /// the others.
    fn open_links(&mut self, now: Time) {
        let own_id = &self.own_id;
        let pairs = self
            .organisations
            .values()
            .filter_map(|o| Some((o.coordinator.as_ref()?, o.substitute.as_ref()?)));
        let peers = pairs.filter_map(|(coordinator, substitute)| match own_id {
            id if id == coordinator => Some(substitute.clone()),
            id if id == substitute => Some(coordinator.clone()),
            _ => None,
        });
        let peers: HashSet<_> = peers.collect();
        self.links.retain(|id, _| peers.contains(id));
        for id in peers {
            self.links.entry(id).or_insert_with(|| PeerLink {
                link: CoordinatorLink::open(now),
                received: None,
            });
        }
    }

    /// The messages that are due to the coordinators whose substitute this instance is.
    pub fn due_link_messages(&mut self, now: Time) -> Vec<(InstanceId, LinkMessage)> {
        if now < self.next_link_round {
            return Vec::new();
        }
        self.next_link_round = now + LINK_PERIOD;
        let own_id = Some(&self.own_id);
        let organisations = self.organisations.values();
        let substituted = organisations.filter(|o| o.substitute.as_ref() == own_id);
        let coordinators: HashSet<_> = substituted.filter_map(|o| o.coordinator.as_ref()).collect();
        let messages = coordinators.into_iter().filter_map(|id| {
            let message = LinkMessage {
                sent_at: now,
                echo: self.links.get(id)?.received,
                reply: false,
            };
            Some((id.clone(), message))
        });
        messages.collect()
    }

    /// Handles a message on a link, and returns the reply to it. `own_incarnation` is that of this process.
    pub fn on_link_message(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        message: LinkMessage,
        own_incarnation: Incarnation,
        now: Time,
    ) -> Option<LinkMessage> {
        let peer = self.links.get_mut(from)?;
        let echo = message.echo.filter(|e| e.incarnation == own_incarnation);
        peer.link.on_message(echo.map(|e| e.sent_at), now);
        peer.received = Some(LinkEcho {
            incarnation,
            sent_at: message.sent_at,
        });
        (!message.reply).then_some(LinkMessage {
            sent_at: now,
            echo: peer.received,
            reply: true,
        })
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
        self.update_parts(organisation, now);
        let state = self.organisations.get_mut(organisation)?;
        if let Some(local_coordinator) = &mut state.local_coordinator {
            return Some(local_coordinator.request_token(from, request, now));
        }
        let decision = state
            .stand_in
            .as_mut()?
            .request_token(from, request, now)
            .decision;
        Some(TokenResponse {
            decision,
            reserved_rate: 0.0,
        })
    }

    /// Adjusts what this instance grants of an organisation's rate to its contact with the substitute or coordinator.
    fn update_parts(&mut self, organisation: &str, now: Time) {
        let Some(state) = self.organisations.get_mut(organisation) else {
            return;
        };
        if let (Some(coordinator), Some(substitute)) = (&mut state.local_coordinator, &state.substitute) {
            let alone = self
                .links
                .get(substitute)
                .is_none_or(|p| p.link.must_give_up_part(now));
            coordinator.set_part(if alone { 1.0 - SUBSTITUTE_PART } else { 1.0 }, now);
        } else if state.substitute.as_ref() == Some(&self.own_id) {
            let link = state.coordinator.as_ref().and_then(|id| self.links.get(id));
            if !link.is_some_and(|p| p.link.may_stand_in(now)) {
                state.stand_in = None;
            } else if state.stand_in.is_none() {
                let limits = RateLimits {
                    rate: state.rule.rate,
                    capacity: (state.rule.rate * SUBSTITUTE_CAPACITY_S).max(1.0),
                };
                state.stand_in = Some(RateCoordinator::open_substitute(limits, SUBSTITUTE_PART, now));
            }
        }
    }

    /// The substitute to request a token from when the coordinator does not answer. `None` while requests to it back
    /// off, or when this instance is the substitute itself.
    pub fn substitute(&self, organisation: &str, now: Time) -> Option<InstanceId> {
        let state = self.organisations.get(organisation)?;
        let due = now >= state.next_substitute_request && state.local_coordinator.is_none();
        state.substitute.clone().filter(|id| due && *id != self.own_id)
    }

    /// Records that a request to the substitute timed out, because it cannot be reached or does not stand in.
    pub fn on_substitute_timeout(&mut self, organisation: &str, now: Time) {
        if let Some(state) = self.organisations.get_mut(organisation) {
            state.next_substitute_request = now + COORDINATOR_BACKOFF;
        }
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

    /// Decides on an operation without another instance: as the coordinator, from the reserved rate, or as the substitute.
    pub fn decide(&mut self, organisation: &str, request: TokenRequest, now: Time) -> RateDecision {
        self.update_parts(organisation, now);
        let fleet_size = self.fleet_size as f64;
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
        let min_rate = state.rule.rate * UNCOORDINATED_FRACTION / fleet_size;
        let decision = state.reservation.take(min_rate, request.max_wait, now);
        match (decision, &mut state.stand_in) {
            (RateDecision::Refused { .. }, Some(stand_in)) => {
                stand_in.request_token(&self.own_id, request, now).decision
            }
            // The coordinator is asked again after its backoff, and may answer then.
            (RateDecision::Refused { retry_after }, None) => RateDecision::Refused {
                retry_after: retry_after.min(COORDINATOR_BACKOFF),
            },
            (RateDecision::GrantedAfter(_), _) => decision,
        }
    }
}

fn limits_of(rule: &OrganisationRule, tolerance_tokens: f64) -> RateLimits {
    RateLimits {
        rate: rule.rate,
        capacity: rule.burst + tolerance_tokens,
    }
}

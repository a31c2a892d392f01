//! The rate limiting state of one instance: its part in the rates of all organisations, and its contact with the instances
//! that share a part with it.

use super::organisation_state::OrganisationState;
use super::peer_links::PeerLinks;
use super::{LinkMessage, RateDecision, TokenRequest, TokenResponse};
use crate::OrganisationRule;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, Time};

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
    links: PeerLinks,
}

impl RateLimiterState {
    /// Creates a state that refuses every operation until [`Self::configure`] names the organisations.
    pub fn new(own_id: InstanceId, tolerance_tokens: f64) -> Self {
        Self {
            own_id,
            tolerance_tokens,
            fleet_size: 1,
            organisations: HashMap::new(),
            links: PeerLinks::default(),
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
            let known = previous.remove(&rule.name);
            let mut state = known.unwrap_or_else(|| OrganisationState::open(Arc::clone(rule), now));
            state.configure(rule, members, &self.own_id, self.tolerance_tokens, now);
            self.organisations.insert(Arc::clone(&rule.name), state);
        }
        let organisations = self.organisations.values();
        let peers: HashSet<_> = organisations
            .filter_map(|o| o.linked_peer(&self.own_id).cloned())
            .collect();
        self.links.open(peers, now);
    }

    /// The messages that are due to the coordinators whose substitute this instance is.
    pub fn due_link_messages(&mut self, now: Time) -> Vec<(InstanceId, LinkMessage)> {
        if !self.links.start_round(now) {
            return Vec::new();
        }
        let organisations = self.organisations.values();
        let coordinators: HashSet<_> = organisations
            .filter_map(|o| o.substituted_coordinator(&self.own_id))
            .collect();
        let messages = coordinators
            .into_iter()
            .filter_map(|id| Some((id.clone(), self.links.message_to(id, now)?)));
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
        self.links
            .on_message(from, incarnation, message, own_incarnation, now)
    }

    /// Changes the operations above rate and burst that operators tolerate over the whole fleet.
    pub fn set_tolerance(&mut self, tolerance_tokens: f64) {
        self.tolerance_tokens = tolerance_tokens;
        for state in self.organisations.values_mut() {
            state.set_tolerance(tolerance_tokens);
        }
    }

    /// The instance to request a token from. `None` when this instance has to decide by [`Self::decide`]: it is the
    /// coordinator itself, requests to the coordinator back off, or the organisation or its coordinator is unknown.
    pub fn coordinator(&self, organisation: &str, now: Time) -> Option<InstanceId> {
        self.organisations.get(organisation)?.coordinator_to_ask(now)
    }

    /// Decides on an operation at the instance `from`. `None` when this instance neither is the coordinator nor stands in
    /// for it.
    pub fn on_request(
        &mut self,
        organisation: &str,
        from: &InstanceId,
        request: TokenRequest,
        now: Time,
    ) -> Option<TokenResponse> {
        let state = self.organisations.get_mut(organisation)?;
        state.update_parts(&self.own_id, &self.links, now);
        state.on_request(from, request, now)
    }

    /// The substitute to request a token from when the coordinator does not answer. `None` while requests to it back
    /// off, or when this instance is the substitute itself.
    pub fn substitute(&self, organisation: &str, now: Time) -> Option<InstanceId> {
        let state = self.organisations.get(organisation)?;
        state.substitute_to_ask(&self.own_id, now)
    }

    /// Records that a request to the substitute timed out, because it cannot be reached or does not stand in.
    pub fn on_substitute_timeout(&mut self, organisation: &str, now: Time) {
        if let Some(state) = self.organisations.get_mut(organisation) {
            state.on_substitute_timeout(now);
        }
    }

    /// Stores the reserved rate of a response to a request that was sent at `sent_at`.
    pub fn on_response(&mut self, organisation: &str, reserved_rate: f64, sent_at: Time) {
        if let Some(state) = self.organisations.get_mut(organisation) {
            state.on_response(reserved_rate, sent_at);
        }
    }

    /// Records that a request to the coordinator timed out.
    pub fn on_timeout(&mut self, organisation: &str, now: Time) {
        if let Some(state) = self.organisations.get_mut(organisation) {
            state.on_timeout(now);
        }
    }

    /// Decides on an operation without another instance: as the coordinator, from the reserved rate, or as the substitute.
    pub fn decide(&mut self, organisation: &str, request: TokenRequest, now: Time) -> RateDecision {
        let Some(state) = self.organisations.get_mut(organisation) else {
            return RateDecision::Refused {
                retry_after: Duration::from_secs(1),
            };
        };
        state.update_parts(&self.own_id, &self.links, now);
        state.decide(&self.own_id, self.fleet_size, request, now)
    }
}

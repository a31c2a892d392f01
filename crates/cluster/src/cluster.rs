//! All decisions of one instance, behind one type.

use crate::command::Command;
use crate::manifest_store::{AdoptError, ManifestStore};
use crate::members::Members;
use crate::membership::Membership;
use crate::placement::{Move, Placement};
use crate::service_state::ServiceState;
use crate::spread::Spread;
use crate::weight::{seed, weight};
use rand::Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use wasabiyard_model::{Incarnation, InstanceId, Time};
use wasabiyard_wire::{ControlMessage, MemberDigest, MemberState, SectionEntry};

/// Who this instance is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name.
    pub instance: InstanceId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Peer listener.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
}

/// The state of all decisions.
#[derive(Debug)]
pub struct Cluster {
    membership: Membership,
    spread: Spread,
    placement: Placement,
    placement_stale: bool,
}

impl Cluster {
    /// The state of an instance that knows nobody yet. `seeds` are peer listeners to ask first.
    pub fn new(identity: &Identity, seeds: Vec<SocketAddr>, now: Time) -> Self {
        let own = MemberDigest {
            instance: identity.instance.clone(),
            incarnation: identity.incarnation,
            refutation: 0,
            state: MemberState::Alive,
            address: identity.address.to_string(),
            failure_domain: identity.failure_domain.clone(),
        };
        Self {
            membership: Membership::new(&own, seeds.clone(), now),
            spread: Spread::new(seeds),
            placement: Placement::default(),
            placement_stale: true,
        }
    }

    /// Runs the periodic work. To be called every 100 ms.
    pub fn tick<R>(&mut self, now: Time, rng: &mut R, out: &mut Vec<Command>)
    where
        R: Rng,
    {
        let start = out.len();
        let own = self.members().get(self.members().own()).address;
        self.spread.update_ready(own);
        let urgent = !self
            .spread
            .confirmed_lately(now, self.membership.members().living());
        let gossip = self.spread.gossip(now);
        self.membership.tick(now, rng, urgent, &gossip, out);
        self.note_changes_from(start, out);
    }

    /// Handles a message of a peer. Messages of rate shares are not for this crate and are ignored.
    pub fn on_control<R>(
        &mut self,
        (from, address): (&InstanceId, SocketAddr),
        control: ControlMessage,
        now: Time,
        rng: &mut R,
        out: &mut Vec<Command>,
    ) where
        R: Rng,
    {
        let start = out.len();
        let reply = self.membership.address_of(from).unwrap_or(address);
        match control {
            ControlMessage::Probe { number, gossip } => {
                self.membership.on_gossip(&gossip, reply, now, rng, out);
                let reply = self.membership.address_of(from).unwrap_or(address);
                self.spread.on_gossip(&gossip, reply, now, out);
                let answer = self.spread.gossip(now);
                self.membership.answer(number, &answer, from, reply, out);
            }
            ControlMessage::ProbeAck { number, gossip } => {
                let sent = self.membership.on_ack(number, from, out);
                self.membership.on_gossip(&gossip, reply, now, rng, out);
                self.spread.on_gossip(&gossip, reply, now, out);
                if let Some(sent) = sent {
                    self.spread.on_answer(&gossip, sent);
                }
            }
            ControlMessage::IndirectProbe { number, target } => {
                let gossip = self.spread.gossip(now);
                self.membership
                    .on_indirect_probe(number, &target, reply, now, &gossip, out);
            }
            ControlMessage::IndirectAck { number, target } => {
                self.membership.on_ack(number, &target, out);
            }
            ControlMessage::PullMembers => self.membership.on_pull(reply, out),
            ControlMessage::Members(digests) => self.membership.on_members(&digests, now, out),
            other => {
                let peers = self.membership.random_peers(crate::spread::FANOUT, rng);
                self.spread.on_control(other, reply, now, &peers, out);
            }
        }
        self.note_changes_from(start, out);
    }

    /// Takes over the platform's list of instances.
    pub fn on_listed(&mut self, listed: &[MemberDigest], now: Time, out: &mut Vec<Command>) {
        let start = out.len();
        self.membership.on_listed(listed, now, out);
        self.note_changes_from(start, out);
    }

    /// The platform answered about a document of the configuration: what is known here is its newest version. `manifest`
    /// tells the manifest from the out-of-service document.
    pub fn on_confirmed(&mut self, manifest: bool, now: Time) {
        self.spread.on_confirmed(manifest, now);
    }

    /// Adopts a version of the manifest that was read from the platform.
    ///
    /// # Errors
    ///
    /// When the version is damaged or invalid; the one in force stays.
    pub fn adopt_manifest<R>(
        &mut self,
        version: u64,
        sections: Vec<(SectionEntry, Arc<str>)>,
        rng: &mut R,
        out: &mut Vec<Command>,
    ) -> Result<(), AdoptError>
    where
        R: Rng,
    {
        let start = out.len();
        let peers = self.membership.random_peers(crate::spread::FANOUT, rng);
        self.spread.adopt_manifest(version, sections, &peers, out)?;
        self.note_changes_from(start, out);
        Ok(())
    }

    /// Adopts a version of the out-of-service document that was read from the platform.
    pub fn adopt_service<R>(
        &mut self,
        version: u64,
        failure_domains: Vec<String>,
        instances: Vec<InstanceId>,
        rng: &mut R,
        out: &mut Vec<Command>,
    ) where
        R: Rng,
    {
        let start = out.len();
        let peers = self.membership.random_peers(crate::spread::FANOUT, rng);
        self.spread
            .adopt_service(version, failure_domains, instances, &peers, out);
        self.note_changes_from(start, out);
    }

    /// Announces that this instance stops gracefully.
    pub fn leave(&mut self, now: Time) {
        self.membership.leave(now);
        self.placement_stale = true;
    }

    /// Brings the placement up to date and returns the homes that moved since the last call.
    pub fn place(&mut self) -> Vec<Move> {
        if !std::mem::take(&mut self.placement_stale) {
            return Vec::new();
        }
        let candidates = self.membership.members().candidates(self.spread.service());
        self.placement
            .update(&self.spread.manifest().databases(), &candidates)
    }

    /// Where homes are, by the last [`Self::place`].
    pub const fn placement(&self) -> &Placement {
        &self.placement
    }

    /// The members.
    pub const fn members(&self) -> &Members {
        self.membership.members()
    }

    /// The manifest.
    pub const fn manifest(&self) -> &ManifestStore {
        self.spread.manifest()
    }

    /// What is out of service.
    pub const fn service(&self) -> &ServiceState {
        self.spread.service()
    }

    /// Whether this instance watches the platform for its failure domain. An instance that reaches no majority of the
    /// members watches too, because the platform is then its only way to a newer configuration.
    pub fn is_relay(&self, now: Time) -> bool {
        let members = self.members();
        let own = members.get(members.own());
        let seed = seed(members.domain_name(own));
        let best = members
            .iter()
            .filter(|(_, m)| m.failure_domain == own.failure_domain)
            .filter(|(_, m)| matches!(m.state, MemberState::Alive | MemberState::Suspect))
            .max_by_key(|(_, m)| (weight(seed, m.id.as_str()), &m.id));
        best.is_none_or(|(i, _)| i == members.own()) || !self.membership.reaches_majority(now)
    }

    /// Whether this instance is cut off: neither the platform nor a majority of the members was reached for a while, so
    /// a key may have been withdrawn without its knowledge.
    pub fn is_cut_off(&self, now: Time) -> bool {
        !self.spread.confirmed_recently(now) && !self.membership.reaches_majority(now)
    }

    /// Whether the configuration is complete enough to take work: it was confirmed with the platform since the start, or
    /// a majority of the seeds told their versions and none has a newer one.
    pub const fn is_ready(&self) -> bool {
        self.spread.is_ready()
    }

    /// Whether this instance or its failure domain was taken out of service.
    pub fn is_out_of_service(&self) -> bool {
        let members = self.members();
        let own = members.get(members.own());
        !self.service().in_service(&own.id, members.domain_name(own))
    }

    fn note_changes_from(&mut self, start: usize, out: &[Command]) {
        self.placement_stale |= out[start..].iter().any(|c| !matches!(c, Command::Send { .. }));
    }
}

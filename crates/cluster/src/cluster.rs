//! The entry point of this crate, which combines membership, configuration and placement.

use crate::command::Command;
use crate::configuration_gossip::ConfigurationGossip;
use crate::manifest_store::{AdoptError, ManifestStore};
use crate::members::Members;
use crate::membership::Membership;
use crate::out_of_service::OutOfServiceState;
use crate::placement::{Move, Placement};
use crate::weight::{seed, weight};
use rand::Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use wasabiyard_model::{Incarnation, InstanceId, Time};
use wasabiyard_wire::{ControlMessage, MemberDigest, MemberState, SectionEntry};

/// What an instance announces about itself.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Number of this run of the instance; higher than that of every earlier run.
    pub incarnation: Incarnation,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Name of its failure domain.
    pub failure_domain: String,
}

/// The view that one instance has of the fleet.
#[derive(Debug)]
pub struct Cluster {
    membership: Membership,
    configuration: ConfigurationGossip,
    placement: Placement,
    placement_stale: bool,
}

impl Cluster {
    /// Creates the view of an instance that knows only itself. `seeds` are peer listeners to contact first.
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
            configuration: ConfigurationGossip::new(seeds),
            placement: Placement::default(),
            placement_stale: true,
        }
    }

    /// Runs the periodic work. The caller calls this every 100 ms.
    pub fn tick<R>(&mut self, now: Time, rng: &mut R, out: &mut Vec<Command>)
    where
        R: Rng,
    {
        let start = out.len();
        let own = self.members().get(self.members().own()).address;
        self.configuration.update_ready(own);
        let extra_probes = !self
            .configuration
            .confirmations_on_schedule(now, self.membership.members().live_count());
        let gossip = self.configuration.gossip(now);
        self.membership.tick(now, rng, extra_probes, &gossip, out);
        self.mark_placement_stale(start, out);
    }

    /// Handles a control message of a peer. Messages about rate shares, which this crate does not handle, are ignored.
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
                self.configuration.on_gossip(&gossip, reply, now, out);
                let answer = self.configuration.gossip(now);
                self.membership.send_ack(number, &answer, from, reply, out);
            }
            ControlMessage::ProbeAck { number, gossip } => {
                let sent = self.membership.on_ack(number, from, out);
                self.membership.on_gossip(&gossip, reply, now, rng, out);
                self.configuration.on_gossip(&gossip, reply, now, out);
                if let Some(sent) = sent {
                    self.configuration.on_probe_answer(&gossip, sent);
                }
            }
            ControlMessage::IndirectProbe { number, target } => {
                let gossip = self.configuration.gossip(now);
                self.membership
                    .on_indirect_probe(number, &target, reply, now, &gossip, out);
            }
            ControlMessage::IndirectAck { number, target } => {
                self.membership.on_ack(number, &target, out);
            }
            ControlMessage::PullMembers => self.membership.on_pull(reply, out),
            ControlMessage::Members(digests) => self.membership.on_members(&digests, now, out),
            other => {
                let peers = self
                    .membership
                    .random_peers(crate::configuration_gossip::PUSH_FANOUT, rng);
                self.configuration.on_control(other, reply, now, &peers, out);
            }
        }
        self.mark_placement_stale(start, out);
    }

    /// Applies the platform's list of instances.
    pub fn on_listed(&mut self, listed: &[MemberDigest], now: Time, out: &mut Vec<Command>) {
        let start = out.len();
        self.membership.on_listed(listed, now, out);
        self.mark_placement_stale(start, out);
    }

    /// Records that the platform confirmed the known version of a configuration document as the newest: the manifest if
    /// `manifest` is true, otherwise the out-of-service document.
    pub fn on_confirmed(&mut self, manifest: bool, now: Time) {
        self.configuration.on_confirmed(manifest, now);
    }

    /// Adopts a version of the manifest that was read from the platform.
    ///
    /// # Errors
    ///
    /// If the version is damaged or invalid. The version in force does not change.
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
        let peers = self
            .membership
            .random_peers(crate::configuration_gossip::PUSH_FANOUT, rng);
        self.configuration
            .adopt_manifest(version, sections, &peers, out)?;
        self.mark_placement_stale(start, out);
        Ok(())
    }

    /// Adopts a version of the out-of-service document that was read from the platform.
    pub fn adopt_out_of_service<R>(
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
        let peers = self
            .membership
            .random_peers(crate::configuration_gossip::PUSH_FANOUT, rng);
        self.configuration
            .adopt_out_of_service(version, failure_domains, instances, &peers, out);
        self.mark_placement_stale(start, out);
    }

    /// Announces that this instance is about to stop gracefully.
    pub fn leave(&mut self, now: Time) {
        self.membership.leave(now);
        self.placement_stale = true;
    }

    /// Updates the placement after changes and returns the homes that moved since the last call.
    pub fn update_placement(&mut self) -> Vec<Move> {
        if !std::mem::take(&mut self.placement_stale) {
            return Vec::new();
        }
        let candidates = self
            .membership
            .members()
            .candidates(self.configuration.out_of_service_state());
        self.placement
            .update(&self.configuration.manifest().databases(), &candidates)
    }

    /// The homes of all databases as of the last [`Self::update_placement`].
    pub const fn placement(&self) -> &Placement {
        &self.placement
    }

    /// The members that this instance knows, including dead ones.
    pub const fn members(&self) -> &Members {
        self.membership.members()
    }

    /// The manifest in force with its sections.
    pub const fn manifest(&self) -> &ManifestStore {
        self.configuration.manifest()
    }

    /// The failure domains and instances that are out of service.
    pub const fn out_of_service_state(&self) -> &OutOfServiceState {
        self.configuration.out_of_service_state()
    }

    /// Whether this instance is a relay, which watches the platform on behalf of its failure domain. An instance that
    /// does not reach a majority of the members is one too, because only the platform can then give it a newer
    /// configuration.
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

    /// Whether this instance is cut off: it has reached neither the platform nor a majority of the members for a while,
    /// so a key may have been withdrawn without its knowledge.
    pub fn is_cut_off(&self, now: Time) -> bool {
        !self.configuration.confirmed_recently(now) && !self.membership.reaches_majority(now)
    }

    /// Whether the configuration is recent enough to take work: the platform has confirmed it since the start, or a
    /// majority of the seeds reported their versions and none is newer.
    pub const fn is_ready(&self) -> bool {
        self.configuration.is_ready()
    }

    /// Whether this instance or its failure domain was taken out of service.
    pub fn is_out_of_service(&self) -> bool {
        let members = self.members();
        let own = members.get(members.own());
        !self
            .out_of_service_state()
            .in_service(&own.id, members.domain_name(own))
    }

    /// Marks the placement as stale if `out` has commands from `start` on that report a change.
    fn mark_placement_stale(&mut self, start: usize, out: &[Command]) {
        self.placement_stale |= out[start..].iter().any(|c| !matches!(c, Command::Send { .. }));
    }
}

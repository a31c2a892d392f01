//! Spreads the configuration: a new version is pushed to random peers at once, and members that missed it notice by the
//! versions in probes and pull it.

use crate::command::Command;
use crate::manifest_store::{AdoptError, ManifestStore};
use crate::service_state::ServiceState;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};
use wasabiyard_wire::{ControlMessage, Gossip, ManifestDelta, SectionEntry};

/// Peers to which a new version is pushed at once.
pub const FANOUT: usize = 4;
/// Larger changes are not pushed but pulled, because every member would receive about four copies.
const MAX_PUSH_BYTES: usize = 64 * 1024;
/// A pull is not repeated sooner, because the answer may be large.
const PULL_PERIOD: Duration = Duration::from_millis(500);
/// Requests are refused when the configuration was confirmed longer ago and no majority is reached. Half a second
/// remains of the 5 s for the next tick and the snapshot.
const CONFIRMED_FOR: Duration = Duration::from_millis(4_500);
/// A confirmation reaches all members within about this time, plus a second for each doubling of the fleet.
const CONFIRMATION_BASE: Duration = Duration::from_secs(2);

/// Versions of the configuration on this instance.
#[derive(Debug)]
pub struct Spread {
    manifest: ManifestStore,
    service: ServiceState,
    /// When the platform confirmed the manifest and the out-of-service document to this instance.
    own_confirmed: [Option<Time>; 2],
    /// When any relay got a confirmation for versions that are in force here.
    confirmed: Option<Time>,
    seeds: Vec<SocketAddr>,
    seed_versions: BTreeMap<SocketAddr, [u64; 2]>,
    next_pull: [Time; 2],
    ready: bool,
}

impl Spread {
    /// Nothing is in force. `seeds` are asked for their versions when the platform is down at the start.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            manifest: ManifestStore::default(),
            service: ServiceState::default(),
            own_confirmed: [None; 2],
            confirmed: None,
            seeds,
            seed_versions: BTreeMap::new(),
            next_pull: [Time::ZERO; 2],
            ready: false,
        }
    }

    /// The manifest.
    pub const fn manifest(&self) -> &ManifestStore {
        &self.manifest
    }

    /// What is out of service.
    pub const fn service(&self) -> &ServiceState {
        &self.service
    }

    /// What a message to a peer says about the configuration.
    pub fn gossip(&self, now: Time) -> Gossip {
        Gossip {
            versions: self.versions(),
            confirmed_millis_ago: self
                .confirmed
                .map(|at| now.saturating_since(at).as_millis() as u64),
            table: 0,
            members: Vec::new(),
        }
    }

    /// Compares versions with a peer. The one that is behind pulls.
    pub fn on_gossip(&mut self, gossip: &Gossip, from: SocketAddr, now: Time, out: &mut Vec<Command>) {
        let own = self.versions();
        let behind = |i: usize, next: &mut Time| {
            let pull = gossip.versions[i] > own[i] && now >= *next;
            if pull {
                *next = now + PULL_PERIOD;
            }
            pull
        };
        if behind(0, &mut self.next_pull[0]) {
            out.push(Command::Send {
                to: from,
                control: ControlMessage::PullDelta { have: own[0] },
            });
        }
        if behind(1, &mut self.next_pull[1]) {
            out.push(Command::Send {
                to: from,
                control: ControlMessage::PullOutOfService { have: own[1] },
            });
        }
        if self.seeds.contains(&from) {
            self.seed_versions.insert(from, gossip.versions);
        }
    }

    /// Takes over the confirmation in the answer to a probe that was sent at `sent`. Answers only: a message that waited
    /// in a buffer while this process was paused would make an old confirmation look new.
    pub fn on_answer(&mut self, gossip: &Gossip, sent: Time) {
        let own = self.versions();
        let covered = gossip.versions[0] <= own[0] && gossip.versions[1] <= own[1];
        if let (true, Some(millis)) = (covered, gossip.confirmed_millis_ago) {
            let at = Time::from_micros(sent.as_micros().saturating_sub(millis.saturating_mul(1_000)));
            self.confirmed = self.confirmed.max(Some(at));
        }
    }

    /// The platform confirmed to this instance that a document is the newest.
    pub fn on_confirmed(&mut self, manifest: bool, now: Time) {
        self.own_confirmed[usize::from(!manifest)] = Some(now);
        if let [Some(a), Some(b)] = self.own_confirmed {
            self.confirmed = self.confirmed.max(Some(a.min(b)));
        }
    }

    /// Adopts a manifest that was read from the platform and pushes it.
    pub fn adopt_manifest(
        &mut self,
        version: u64,
        sections: Vec<(SectionEntry, Arc<str>)>,
        peers: &[SocketAddr],
        out: &mut Vec<Command>,
    ) -> Result<(), AdoptError> {
        let before = self.manifest.version();
        if self.manifest.adopt(version, sections)? {
            self.manifest_changed(before, peers, out);
        }
        Ok(())
    }

    /// Adopts an out-of-service document and pushes it.
    pub fn adopt_service(
        &mut self,
        version: u64,
        failure_domains: Vec<String>,
        instances: Vec<InstanceId>,
        peers: &[SocketAddr],
        out: &mut Vec<Command>,
    ) {
        if self.service.adopt(version, failure_domains, instances) {
            out.push(Command::ServiceChanged);
            out.extend(peers.iter().map(|to| Command::Send {
                to: *to,
                control: self.service_message(),
            }));
        }
    }

    /// Handles a message about the configuration. `peers` get what is new.
    pub fn on_control(
        &mut self,
        control: ControlMessage,
        from: SocketAddr,
        now: Time,
        peers: &[SocketAddr],
        out: &mut Vec<Command>,
    ) {
        match control {
            ControlMessage::PushDelta(delta) => self.on_delta(&delta, from, now, peers, out),
            ControlMessage::PullDelta { have } if have < self.manifest.version() => {
                let control = ControlMessage::PushDelta(self.manifest.delta_from(have));
                out.push(Command::Send { to: from, control });
            }
            ControlMessage::OutOfService {
                version,
                failure_domains,
                instances,
            } => {
                self.adopt_service(version, failure_domains, instances, peers, out);
            }
            ControlMessage::PullOutOfService { have } if have < self.service.version() => {
                out.push(Command::Send {
                    to: from,
                    control: self.service_message(),
                });
            }
            _ => {}
        }
    }

    /// Whether the versions in force were confirmed so lately that a withdrawn key cannot be missing for long.
    pub fn confirmed_recently(&self, now: Time) -> bool {
        self.confirmed
            .is_some_and(|at| now.saturating_since(at) <= CONFIRMED_FOR)
    }

    /// Whether confirmations arrive as they should in a fleet of that size.
    pub fn confirmed_lately(&self, now: Time, living: usize) -> bool {
        let limit = CONFIRMATION_BASE + Duration::from_secs(u64::from(living.max(1).ilog2()));
        self.confirmed.is_some_and(|at| now.saturating_since(at) <= limit)
    }

    /// Whether the configuration is complete enough to take work.
    pub const fn is_ready(&self) -> bool {
        self.ready
    }

    /// Decides anew whether this instance is ready. It stays ready once it was.
    pub fn update_ready(&mut self, own: SocketAddr) {
        let versions = self.versions();
        let told = self
            .seed_versions
            .values()
            .filter(|v| v[0] <= versions[0] && v[1] <= versions[1])
            .count();
        let newer = self.seed_versions.len() - told;
        let told = told + usize::from(self.seeds.contains(&own));
        let by_seeds = newer == 0 && told * 2 > self.seeds.len() && !self.seeds.is_empty();
        self.ready |= versions[0] > 0 && (self.confirmed.is_some() || by_seeds);
    }

    const fn versions(&self) -> [u64; 2] {
        [self.manifest.version(), self.service.version()]
    }

    fn on_delta(
        &mut self,
        delta: &ManifestDelta,
        from: SocketAddr,
        now: Time,
        peers: &[SocketAddr],
        out: &mut Vec<Command>,
    ) {
        let before = self.manifest.version();
        let have = match self.manifest.apply(delta) {
            Ok(true) => return self.manifest_changed(before, peers, out),
            Ok(false) => return,
            Err(AdoptError::OtherBase { .. }) => before,
            // The announced result cannot be reached from here; a full copy can.
            Err(AdoptError::WrongDigest { .. }) if delta.from > 0 => 0,
            Err(e) => return log::error!("a manifest from {from} was not adopted: {e}"),
        };
        if now >= self.next_pull[0] {
            self.next_pull[0] = now + PULL_PERIOD;
            out.push(Command::Send {
                to: from,
                control: ControlMessage::PullDelta { have },
            });
        }
    }

    fn manifest_changed(&self, before: u64, peers: &[SocketAddr], out: &mut Vec<Command>) {
        out.push(Command::ManifestInForce {
            version: self.manifest.version(),
        });
        let delta = self.manifest.delta_from(before);
        let bytes: usize = delta
            .changed
            .iter()
            .map(|(entry, text)| entry.heading.len() + text.len())
            .sum();
        if bytes <= MAX_PUSH_BYTES {
            let push = |to: &SocketAddr| Command::Send {
                to: *to,
                control: ControlMessage::PushDelta(delta.clone()),
            };
            out.extend(peers.iter().map(push));
        }
    }

    fn service_message(&self) -> ControlMessage {
        ControlMessage::OutOfService {
            version: self.service.version(),
            failure_domains: self.service.failure_domains().iter().cloned().collect(),
            instances: self.service.instances().iter().cloned().collect(),
        }
    }
}

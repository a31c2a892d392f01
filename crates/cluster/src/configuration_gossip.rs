//! Dissemination of the configuration. A new version is pushed to random peers at once. Members that missed it learn of
//! it from the versions that probes carry, and pull it.

use crate::command::Command;
use crate::manifest_store::{AdoptError, ManifestStore};
use crate::out_of_service::OutOfServiceState;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};
use wasabiyard_wire::{ControlMessage, Gossip, ManifestDelta, SectionEntry};

/// Number of random peers to which a new version is pushed.
pub const PUSH_FANOUT: usize = 4;
/// Larger changes are pulled instead of pushed, because every member would receive about four pushed copies.
const MAX_PUSH_BYTES: usize = 64 * 1024;
/// Minimum interval between two pulls of a document, because the answer may be large.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(500);
/// Requests are refused when the last confirmation of the configuration is older and no majority is reachable. Of the
/// limit of 5 s this leaves half a second for the next tick and the snapshot.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(4_500);
/// A confirmation reaches all members within about this time, plus one second for each doubling of the fleet.
const CONFIRMATION_SPREAD_BASE: Duration = Duration::from_secs(2);

/// The configuration in force on this instance, and what is known about newer versions.
#[derive(Debug)]
pub struct ConfigurationGossip {
    manifest: ManifestStore,
    out_of_service: OutOfServiceState,
    /// When the platform last confirmed the manifest and the out-of-service document to this instance.
    confirmed_by_platform: [Option<Time>; 2],
    /// When the platform last confirmed the versions in force here, to this instance or to any other.
    confirmed: Option<Time>,
    seeds: Vec<SocketAddr>,
    /// The versions that each seed last reported: of the manifest and of the out-of-service document.
    seed_versions: BTreeMap<SocketAddr, [u64; 2]>,
    /// Earliest time of the next pull of the manifest and of the out-of-service document.
    next_pull: [Time; 2],
    ready: bool,
}

impl ConfigurationGossip {
    /// Creates the state without a configuration in force. The versions of the `seeds` decide whether this instance is
    /// ready if the platform is unavailable at the start.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            manifest: ManifestStore::default(),
            out_of_service: OutOfServiceState::default(),
            confirmed_by_platform: [None; 2],
            confirmed: None,
            seeds,
            seed_versions: BTreeMap::new(),
            next_pull: [Time::ZERO; 2],
            ready: false,
        }
    }

    /// The manifest in force with its sections.
    pub const fn manifest(&self) -> &ManifestStore {
        &self.manifest
    }

    /// The failure domains and instances that are out of service.
    pub const fn out_of_service_state(&self) -> &OutOfServiceState {
        &self.out_of_service
    }

    /// The part of a message to a peer that describes the configuration. It has no members yet.
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

    /// Compares the versions of a peer with those in force here, and pulls documents that are newer there.
    pub fn on_gossip(&mut self, gossip: &Gossip, from: SocketAddr, now: Time, out: &mut Vec<Command>) {
        let own = self.versions();
        let behind = |i: usize, next: &mut Time| {
            let pull = gossip.versions[i] > own[i] && now >= *next;
            if pull {
                *next = now + MIN_PULL_INTERVAL;
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

    /// Applies the confirmation in the answer to a probe sent at `sent`. Other messages do not confirm anything: one
    /// that waited in a buffer while this process was paused would make an old confirmation look recent.
    pub fn on_probe_answer(&mut self, gossip: &Gossip, sent: Time) {
        let own = self.versions();
        let covered = gossip.versions[0] <= own[0] && gossip.versions[1] <= own[1];
        if let (true, Some(millis)) = (covered, gossip.confirmed_millis_ago) {
            let at = Time::from_micros(sent.as_micros().saturating_sub(millis.saturating_mul(1_000)));
            self.confirmed = self.confirmed.max(Some(at));
        }
    }

    /// Records that the platform confirmed a document to this instance as the newest: the manifest if `manifest` is
    /// true, otherwise the out-of-service document.
    pub fn on_confirmed(&mut self, manifest: bool, now: Time) {
        self.confirmed_by_platform[usize::from(!manifest)] = Some(now);
        if let [Some(a), Some(b)] = self.confirmed_by_platform {
            self.confirmed = self.confirmed.max(Some(a.min(b)));
        }
    }

    /// Adopts a manifest that was read from the platform, and pushes it to `peers` if it is newer.
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

    /// Adopts an out-of-service document, and pushes it to `peers` if it is newer.
    pub fn adopt_out_of_service(
        &mut self,
        version: u64,
        failure_domains: Vec<String>,
        instances: Vec<InstanceId>,
        peers: &[SocketAddr],
        out: &mut Vec<Command>,
    ) {
        if self.out_of_service.adopt(version, failure_domains, instances) {
            out.push(Command::OutOfServiceChanged);
            out.extend(peers.iter().map(|to| Command::Send {
                to: *to,
                control: self.out_of_service_message(),
            }));
        }
    }

    /// Handles a message about the configuration, and pushes what is new to `peers`.
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
                self.adopt_out_of_service(version, failure_domains, instances, peers, out);
            }
            ControlMessage::PullOutOfService { have } if have < self.out_of_service.version() => {
                out.push(Command::Send {
                    to: from,
                    control: self.out_of_service_message(),
                });
            }
            _ => {}
        }
    }

    /// Whether the versions in force were confirmed so recently that the withdrawal of a key cannot be missed for long.
    pub fn confirmed_recently(&self, now: Time) -> bool {
        self.confirmed
            .is_some_and(|at| now.saturating_since(at) <= MAX_CONFIRMATION_AGE)
    }

    /// Whether the last confirmation is as recent as expected in a fleet of `live_members` members.
    pub fn confirmations_on_schedule(&self, now: Time, live_members: usize) -> bool {
        let limit = CONFIRMATION_SPREAD_BASE + Duration::from_secs(u64::from(live_members.max(1).ilog2()));
        self.confirmed.is_some_and(|at| now.saturating_since(at) <= limit)
    }

    /// Whether the configuration is recent enough to take work, see [`Self::update_ready`].
    pub const fn is_ready(&self) -> bool {
        self.ready
    }

    /// Updates whether this instance is ready: it has a manifest, and the platform has confirmed the configuration or a
    /// majority of the seeds reported their versions and none is newer. `own` is the peer listener of this instance,
    /// which may be a seed itself. An instance that is ready stays so.
    pub fn update_ready(&mut self, own: SocketAddr) {
        let versions = self.versions();
        let up_to_date = self
            .seed_versions
            .values()
            .filter(|v| v[0] <= versions[0] && v[1] <= versions[1])
            .count();
        let newer = self.seed_versions.len() - up_to_date;
        let up_to_date = up_to_date + usize::from(self.seeds.contains(&own));
        let by_seeds = newer == 0 && up_to_date * 2 > self.seeds.len() && !self.seeds.is_empty();
        self.ready |= versions[0] > 0 && (self.confirmed.is_some() || by_seeds);
    }

    const fn versions(&self) -> [u64; 2] {
        [self.manifest.version(), self.out_of_service.version()]
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
            Err(AdoptError::BaseMismatch { .. }) => before,
            // The delta does not lead to its announced result from the version in force here; a full copy does.
            Err(AdoptError::DigestMismatch { .. }) if delta.from > 0 => 0,
            Err(e) => return log::error!("rejected a manifest version from peer {from}: {e}"),
        };
        if now >= self.next_pull[0] {
            self.next_pull[0] = now + MIN_PULL_INTERVAL;
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

    fn out_of_service_message(&self) -> ControlMessage {
        ControlMessage::OutOfService {
            version: self.out_of_service.version(),
            failure_domains: self.out_of_service.failure_domains().iter().cloned().collect(),
            instances: self.out_of_service.instances().iter().cloned().collect(),
        }
    }
}

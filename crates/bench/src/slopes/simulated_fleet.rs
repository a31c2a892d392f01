//! A fleet simulated in this process: the cluster logic of each member, and an in-memory network of constant delay.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use wasabiyard_cluster::{Cluster, Command, Identity};
use wasabiyard_model::{Incarnation, InstanceId, Time};
use wasabiyard_wire::{ControlMessage, MemberDigest, MemberState, Message, encode};

const NETWORK_DELAY: Duration = Duration::from_millis(2);
const TICK_INTERVAL: Duration = Duration::from_millis(100);
const FAILURE_DOMAIN_COUNT: usize = 5;
const RNG_SEED: u64 = 71;
/// Protocol overhead of one message, in bytes: WebSocket header with mask, TCP and IP headers.
const FRAMING_BYTES: u64 = 8 + 40;

/// One member of the simulated fleet.
struct Member {
    id: InstanceId,
    address: SocketAddr,
    cluster: Cluster,
}

/// The simulated fleet, driven in virtual time.
pub struct SimulatedFleet {
    members: Vec<Member>,
    index_by_address: HashMap<SocketAddr, usize>,
    in_flight: BTreeMap<(Time, u64), (usize, usize, ControlMessage)>,
    sequence: u64,
    now: Time,
    rng: Pcg64Mcg,
    /// Bytes sent by all members since the counters were reset, with protocol overhead.
    pub sent_bytes: u64,
    /// Messages sent by all members since the counters were reset.
    pub sent_messages: u64,
    /// Real time spent in the cluster logic and in encoding since the counters were reset, without the simulated network.
    pub busy_time: Duration,
}

impl SimulatedFleet {
    /// Creates a fleet whose members know each other from the platform's instance list.
    pub fn new(size: usize) -> Self {
        let digests: Vec<MemberDigest> = (0..size).map(member_digest).collect();
        let now = Time::from_millis(1);
        let members: Vec<Member> = digests
            .iter()
            .map(|own| Member::new(own, &digests, now))
            .collect();
        Self {
            index_by_address: members.iter().enumerate().map(|(i, m)| (m.address, i)).collect(),
            members,
            in_flight: BTreeMap::new(),
            sequence: 0,
            now,
            rng: Pcg64Mcg::seed_from_u64(RNG_SEED),
            sent_bytes: 0,
            sent_messages: 0,
            busy_time: Duration::ZERO,
        }
    }

    /// Advances the fleet by a duration of virtual time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.tick();
        }
    }

    /// Hands a manifest version to the first member, as if it had read it from the platform.
    pub fn publish_manifest(&mut self, version: u64, text: &str) {
        let sections = super::manifest_slope::digest_sections(text);
        let mut out = Vec::new();
        let adopted = self.members[0]
            .cluster
            .adopt_manifest(version, sections, &mut self.rng, &mut out);
        adopted.expect("the generated manifest is valid");
        self.dispatch(0, out);
    }

    /// Whether the manifest version, or a later one, is in force on all members.
    pub fn is_in_force(&self, version: u64) -> bool {
        self.members
            .iter()
            .all(|m| m.cluster.manifest().version() >= version)
    }

    /// Resets the counters of bytes, messages and time to zero.
    pub fn reset_counters(&mut self) {
        (self.sent_bytes, self.sent_messages, self.busy_time) = (0, 0, Duration::ZERO);
    }

    /// Current virtual time.
    pub const fn now(&self) -> Time {
        self.now
    }

    fn tick(&mut self) {
        let next = self.now + TICK_INTERVAL;
        self.deliver_until(next);
        self.now = next;
        for i in 0..self.members.len() {
            let mut out = Vec::new();
            let start = Instant::now();
            let cluster = &mut self.members[i].cluster;
            // The simulated platform is always available: relays confirm the configuration at each tick.
            if cluster.is_relay(self.now) {
                cluster.on_confirmed(true, self.now);
                cluster.on_confirmed(false, self.now);
            }
            cluster.tick(self.now, &mut self.rng, &mut out);
            cluster.update_placement();
            self.busy_time += start.elapsed();
            self.dispatch(i, out);
        }
    }

    fn deliver_until(&mut self, end: Time) {
        while let Some(entry) = self.in_flight.first_entry()
            && entry.key().0 <= end
        {
            let ((at, _), (from, to, control)) = entry.remove_entry();
            let (id, address) = (self.members[from].id.clone(), self.members[from].address);
            let mut out = Vec::new();
            let start = Instant::now();
            let cluster = &mut self.members[to].cluster;
            cluster.on_control((&id, address), control, at, &mut self.rng, &mut out);
            self.busy_time += start.elapsed();
            self.now = at;
            self.dispatch(to, out);
        }
    }

    fn dispatch(&mut self, from: usize, commands: Vec<Command>) {
        for command in commands {
            let Command::Send { to, control } = command else {
                continue;
            };
            let Some(to) = self.index_by_address.get(&to).copied() else {
                continue;
            };
            let start = Instant::now();
            let message = Message::Control(control);
            self.sent_bytes += encode(&message).len() as u64 + FRAMING_BYTES;
            self.busy_time += start.elapsed();
            let Message::Control(control) = message else {
                continue;
            };
            self.sent_messages += 1;
            self.sequence += 1;
            self.in_flight
                .insert((self.now + NETWORK_DELAY, self.sequence), (from, to, control));
        }
    }
}

impl Member {
    fn new(own: &MemberDigest, all: &[MemberDigest], now: Time) -> Self {
        let address = own.address.parse().expect("a generated address");
        let identity = Identity {
            instance: own.instance.clone(),
            incarnation: own.incarnation,
            address,
            failure_domain: own.failure_domain.clone(),
        };
        let mut cluster = Cluster::new(&identity, Vec::new(), now);
        cluster.on_listed(all, now, &mut Vec::new());
        Self {
            id: own.instance.clone(),
            address,
            cluster,
        }
    }
}

fn member_digest(i: usize) -> MemberDigest {
    let address = SocketAddr::from((Ipv4Addr::new(10, 0, (i / 250) as u8, (i % 250) as u8 + 1), 7001));
    MemberDigest {
        instance: InstanceId::from(format!("instance-{i}").as_str()),
        incarnation: Incarnation(1),
        refutation: 0,
        state: MemberState::Alive,
        address: address.to_string(),
        failure_domain: format!("domain-{}", i % FAILURE_DOMAIN_COUNT),
    }
}

//! Simulation of a fleet in virtual time, on a network with loss, delay and partitions, with crashes and pauses.
#![allow(dead_code, reason = "each test file uses a part of the support code")]

use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_cluster::{Cluster, Command, Identity, section_digest};
use wasabiyard_model::{Incarnation, InstanceId, Manifest, Time};
use wasabiyard_wire::{ControlMessage, MemberDigest, MemberState, Message, SectionEntry, encode};

const TICK_MICROS: u64 = 100_000;

pub struct Node {
    pub cluster: Cluster,
    pub id: InstanceId,
    pub address: SocketAddr,
    pub alive: bool,
    pub paused: bool,
    /// Side of a network partition. Messages arrive only between nodes of the same side.
    pub side: u8,
    /// Number of bytes sent.
    pub bytes: u64,
    /// When each version of the manifest came into force.
    pub in_force: BTreeMap<u64, Time>,
    /// Messages that arrived during a pause, with their senders.
    buffered: Vec<(usize, ControlMessage)>,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub now: Time,
    pub loss: f64,
    pub platform_up: bool,
    /// The side of a partition that reaches the platform.
    pub platform_side: u8,
    pub version: u64,
    pub out_of_service: (u64, Vec<String>),
    pub rng: Pcg64Mcg,
    by_address: HashMap<SocketAddr, usize>,
    /// Arrival time in microseconds, sequence number and receiver of each message in flight.
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    in_flight: HashMap<u64, (usize, ControlMessage)>,
    sequence: u64,
}

pub fn manifest(version: u64) -> Vec<(SectionEntry, Arc<str>)> {
    let databases: Vec<_> = (0..60).map(|i| format!("db-{i}")).collect();
    let mut text = format!(
        "[service s]\ndatabases = {}\n[route r]\nservice = s\n",
        databases.join(", ")
    );
    for i in 0..20 {
        let rate = if i == 0 { version } else { 500 };
        write!(
            text,
            "[organisation org-{i}]\nrate = {rate}\nburst = 100\nservices = s\n"
        )
        .unwrap();
    }
    let sections = Manifest::split_sections(&text).unwrap().into_iter();
    sections
        .map(|(heading, text)| {
            (
                SectionEntry {
                    heading,
                    digest: section_digest(&text),
                },
                text.into(),
            )
        })
        .collect()
}

fn identity(n: usize, incarnation: u64) -> Identity {
    Identity {
        instance: InstanceId::from(format!("instance-{n:04}").as_str()),
        incarnation: Incarnation(incarnation),
        address: SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000)),
        failure_domain: format!("domain-{}", n % 5),
    }
}

pub fn digest(n: usize) -> MemberDigest {
    let identity = identity(n, 1);
    MemberDigest {
        instance: identity.instance,
        incarnation: identity.incarnation,
        refutation: 0,
        state: MemberState::Alive,
        address: identity.address.to_string(),
        failure_domain: identity.failure_domain,
    }
}

impl Fleet {
    /// Creates `n` nodes that have read the platform's list and version 1 of the manifest.
    pub fn new(n: usize, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now: Time::from_millis(1),
            loss: 0.0,
            platform_up: true,
            platform_side: 0,
            version: 1,
            out_of_service: (0, Vec::new()),
            rng: Pcg64Mcg::seed_from_u64(seed),
            by_address: HashMap::new(),
            queue: BinaryHeap::new(),
            in_flight: HashMap::new(),
            sequence: 0,
        };
        let listed: Vec<_> = (0..n).map(digest).collect();
        for i in 0..n {
            fleet.start(i, 1, Vec::new());
            let mut out = Vec::new();
            let now = fleet.now;
            fleet.nodes[i].cluster.on_listed(&listed, now, &mut out);
            fleet.execute(i, out);
            fleet.read_platform(i);
        }
        fleet
    }

    /// Starts node `i`, which is new or restarts, without any knowledge of the fleet.
    pub fn start(&mut self, i: usize, incarnation: u64, seeds: Vec<SocketAddr>) {
        let identity = identity(i, incarnation);
        let node = Node {
            cluster: Cluster::new(&identity, seeds, self.now),
            id: identity.instance,
            address: identity.address,
            alive: true,
            paused: false,
            side: 0,
            bytes: 0,
            in_force: BTreeMap::new(),
            buffered: Vec::new(),
        };
        self.by_address.insert(identity.address, i);
        if i < self.nodes.len() {
            self.nodes[i] = node;
        } else {
            self.nodes.push(node);
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            let tick = Time::from_micros((self.now.as_micros() / TICK_MICROS + 1) * TICK_MICROS);
            self.deliver_until(tick);
            self.now = tick;
            for i in 0..self.nodes.len() {
                if self.nodes[i].alive && !self.nodes[i].paused {
                    self.tick(i);
                }
            }
        }
    }

    pub fn resume(&mut self, i: usize) {
        self.nodes[i].paused = false;
        for (from, control) in std::mem::take(&mut self.nodes[i].buffered) {
            self.receive(from, i, control);
        }
    }

    pub fn total_bytes(&self) -> u64 {
        self.nodes.iter().map(|n| n.bytes).sum()
    }

    /// Whether on every live node the members that are not dead are exactly the live nodes, and the placements are
    /// equal.
    pub fn agreed(&mut self) -> bool {
        let live: Vec<_> = self
            .nodes
            .iter()
            .filter(|n| n.alive)
            .map(|n| n.id.clone())
            .collect();
        let places: Vec<Vec<_>> = self
            .nodes
            .iter_mut()
            .filter(|n| n.alive)
            .map(|n| {
                n.cluster.update_placement();
                n.cluster
                    .placement()
                    .places()
                    .map(|(db, p)| (db.to_owned(), p.clone()))
                    .collect()
            })
            .collect();
        let tables_agree = self.nodes.iter().filter(|n| n.alive).all(|n| {
            let mut seen: Vec<_> = n
                .cluster
                .members()
                .iter()
                .filter(|(_, m)| m.state != MemberState::Dead)
                .map(|(_, m)| m.id.clone())
                .collect();
            seen.sort();
            seen == live
        });
        tables_agree && places.windows(2).all(|w| w[0] == w[1])
    }

    fn tick(&mut self, i: usize) {
        let mut out = Vec::new();
        let now = self.now;
        self.nodes[i].cluster.tick(now, &mut self.rng, &mut out);
        self.execute(i, out);
        // The watch of a relay ends every second, at a different tick for each relay.
        let watch_ends = (now.as_micros() / TICK_MICROS + i as u64).is_multiple_of(10);
        if watch_ends && self.nodes[i].cluster.is_relay(now) {
            self.read_platform(i);
        }
    }

    fn read_platform(&mut self, i: usize) {
        let now = self.now;
        if !self.platform_up || self.nodes[i].side != self.platform_side {
            return;
        }
        let mut out = Vec::new();
        let cluster = &mut self.nodes[i].cluster;
        cluster
            .adopt_manifest(self.version, manifest(self.version), &mut self.rng, &mut out)
            .unwrap();
        cluster.adopt_out_of_service(
            self.out_of_service.0,
            self.out_of_service.1.clone(),
            Vec::new(),
            &mut self.rng,
            &mut out,
        );
        cluster.on_confirmed(true, now);
        cluster.on_confirmed(false, now);
        self.execute(i, out);
    }

    fn execute(&mut self, i: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send { to, control } => self.send(i, to, control),
                Command::ManifestInForce { version } => {
                    let now = self.now;
                    let newest = self.nodes[i].in_force.last_key_value().map_or(0, |(v, _)| *v);
                    assert!(
                        version > newest,
                        "version {version} came into force after {newest}"
                    );
                    self.nodes[i].in_force.insert(version, now);
                }
                Command::OutOfServiceChanged | Command::MemberChanged { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, control: ControlMessage) {
        let stamped = ControlMessage::Stamped(1_700_000_000_000_000, Box::new(control));
        let message = Message::Control(stamped);
        self.nodes[from].bytes += encode(&message).len() as u64;
        let Message::Control(ControlMessage::Stamped(_, control)) = message else {
            unreachable!()
        };
        let Some(&to) = self.by_address.get(&to) else {
            return;
        };
        if self.rng.random_bool(self.loss) || self.nodes[from].side != self.nodes[to].side {
            return;
        }
        let arrival = self.now.as_micros() + self.rng.random_range(500..15_000);
        self.sequence += 1;
        self.queue.push(Reverse((arrival, self.sequence, to)));
        self.in_flight.insert(self.sequence, (from, *control));
    }

    /// Delivers the messages that arrive up to `end`.
    fn deliver_until(&mut self, end: Time) {
        while let Some(&Reverse((arrival, sequence, to))) = self.queue.peek() {
            if arrival > end.as_micros() {
                return;
            }
            self.queue.pop();
            let (from, control) = self.in_flight.remove(&sequence).unwrap();
            self.now = Time::from_micros(arrival);
            if self.nodes[to].side != self.nodes[from].side || !self.nodes[to].alive {
                continue;
            }
            if self.nodes[to].paused {
                self.nodes[to].buffered.push((from, control));
            } else {
                self.receive(from, to, control);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, control: ControlMessage) {
        let mut out = Vec::new();
        let sender = (self.nodes[from].id.clone(), self.nodes[from].address);
        let now = self.now;
        self.nodes[to]
            .cluster
            .on_control((&sender.0, sender.1), control, now, &mut self.rng, &mut out);
        self.execute(to, out);
    }
}

//! Fakes of the network, the platform and the traffic threads around several [`Quota`]s, in virtual time.

#![allow(dead_code, reason = "each test program and the measurement use a part of it")]

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, Time, Version};
use wasabiyard_quota::{
    Command, Event, Holder, MICROTOKENS_PER_TOKEN, PlatformRequest, PlatformResponse, Quota, RoundDocument,
    Settlement, UNITS_PER_ORGANISATION,
};
use wasabiyard_wire::{ControlMessage, Message, encode};

pub const STEP: Duration = Duration::from_millis(10);
const TICK_MICROS: u64 = 100_000;

/// A mechanism that the fakes undo, to show that the checks notice its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Undo {
    Nothing,
    /// A repeated transfer gets a new number, so the receiver cannot recognise it.
    Numbers,
    /// A transfer of an earlier round is labelled with the receiver's round.
    Rounds,
    /// Borrowed tokens never expire.
    LoanExpiry,
    /// The platform's list omits paused processes.
    ProofOfEnd,
    /// Tokens taken back from the traffic threads can still be spent by them.
    Withdrawal,
}

/// Probabilities and delays of the network and the platform.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    pub loss: f64,
    pub duplicate: f64,
    pub max_delay_millis: u64,
    pub lost_answer: f64,
}

pub const CALM: Faults = Faults {
    loss: 0.0,
    duplicate: 0.0,
    max_delay_millis: 2,
    lost_answer: 0.0,
};
pub const ROUGH: Faults = Faults {
    loss: 0.1,
    duplicate: 0.1,
    max_delay_millis: 800,
    lost_answer: 0.15,
};

#[derive(Debug, Clone)]
pub struct Declared {
    pub name: String,
    pub rate: u32,
    pub burst: u32,
}

#[derive(Debug)]
pub struct Node {
    pub holder: Holder,
    pub quota: Quota,
    pub alive: bool,
    pub paused_until: Time,
    started: Time,
    ticked: Time,
    published: Vec<u64>,
    loans: Vec<(u64, Time)>,
    attempts: Vec<u64>,
}

#[derive(Debug, Default)]
struct Platform {
    up: bool,
    registered: BTreeSet<Holder>,
    rounds: BTreeMap<u16, (Version, RoundDocument)>,
    listed: Vec<(Time, Holder)>,
}

#[derive(Debug, Clone)]
enum Delivery {
    Message { from: usize, message: ControlMessage },
    Response(PlatformResponse),
    Request(PlatformRequest),
}

/// Everything together.
pub struct World {
    pub now: Time,
    pub rng: Pcg64Mcg,
    pub nodes: Vec<Node>,
    pub organisations: Vec<Declared>,
    pub faults: Faults,
    pub undo: Undo,
    pub messages: u64,
    pub bytes: u64,
    pub measure_bytes: bool,
    /// The central bucket that the fleet must not exceed, in tokens.
    pub central: Vec<f64>,
    pub breach: Option<String>,
    queue: BTreeMap<(Time, u64), (usize, Delivery)>,
    sequence: u64,
    platform: Platform,
    accepted: BTreeSet<(InstanceId, Incarnation, InstanceId, u64)>,
}

impl World {
    pub fn new(seed: u64, nodes: usize, organisations: &[Declared]) -> Self {
        let mut world = Self {
            now: Time::from_millis(1),
            rng: Pcg64Mcg::seed_from_u64(seed),
            nodes: Vec::new(),
            organisations: organisations.to_vec(),
            faults: CALM,
            undo: Undo::Nothing,
            messages: 0,
            bytes: 0,
            measure_bytes: false,
            central: organisations.iter().map(|o| f64::from(o.burst)).collect(),
            breach: None,
            queue: BTreeMap::new(),
            sequence: 0,
            platform: Platform {
                up: true,
                ..Platform::default()
            },
            accepted: BTreeSet::new(),
        };
        for i in 0..nodes {
            world.start(&format!("i{i}"), 1);
        }
        world
    }

    pub fn start(&mut self, name: &str, incarnation: u64) {
        let holder = Holder::new(InstanceId::from(name), Incarnation(incarnation));
        let mut quota = Quota::new(holder.clone());
        let declared = self
            .organisations
            .iter()
            .map(|o| (o.name.as_str(), o.rate, o.burst));
        quota.set_organisations(declared, Time::ZERO);
        let lag = Duration::from_millis(self.rng.random_range(0..4_000));
        self.platform.listed.push((self.now + lag, holder.clone()));
        let count = self.organisations.len();
        let stagger = Duration::from_micros(self.rng.random_range(0..TICK_MICROS));
        self.nodes.push(Node {
            holder,
            quota,
            alive: true,
            paused_until: Time::ZERO,
            started: self.now,
            ticked: self.now + stagger,
            published: vec![0; count],
            loans: vec![(0, Time::ZERO); count],
            attempts: vec![0; count],
        });
        self.spread_members();
    }

    /// Ends a process. The platform's list follows later.
    pub fn end(&mut self, index: usize) {
        self.nodes[index].alive = false;
        let holder = self.nodes[index].holder.clone();
        self.platform.listed.retain(|(_, listed)| *listed != holder);
        self.spread_members();
    }

    pub fn platform_up(&mut self, up: bool) {
        self.platform.up = up;
    }

    fn spread_members(&mut self) {
        let live: Vec<Holder> = self
            .nodes
            .iter()
            .filter(|n| n.alive)
            .map(|n| n.holder.clone())
            .collect();
        for node in self.nodes.iter_mut().filter(|n| n.alive) {
            node.quota
                .set_peers(live.clone(), self.now - node.started.saturating_since(Time::ZERO));
        }
    }

    /// Asks for one token. Refusals are returned as `false`.
    pub fn take(&mut self, index: usize, o: usize) -> bool {
        let (now, undo) = (self.now, self.undo);
        let node = &mut self.nodes[index];
        if !node.alive || node.paused_until > now {
            return false;
        }
        node.attempts[o] += 1;
        let loan = &mut node.loans[o];
        let taken = if loan.0 >= MICROTOKENS_PER_TOKEN && (loan.1 > now || undo == Undo::LoanExpiry) {
            loan.0 -= MICROTOKENS_PER_TOKEN;
            true
        } else if node.published[o] >= MICROTOKENS_PER_TOKEN {
            node.published[o] -= MICROTOKENS_PER_TOKEN;
            true
        } else {
            false
        };
        if taken {
            self.central[o] -= 1.0;
            if self.central[o] < -0.001 {
                self.breach = Some(format!(
                    "more than rate and burst of {}",
                    self.organisations[o].name
                ));
            }
        }
        taken
    }

    /// Moves on by one step: deliveries, ticks, and the central buckets.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for (level, declared) in self.central.iter_mut().zip(&self.organisations) {
            *level = (*level + f64::from(declared.rate) * STEP.as_secs_f64()).min(f64::from(declared.burst));
        }
        while let Some((&(at, sequence), _)) = self.queue.first_key_value()
            && at <= self.now
        {
            let (to, delivery) = self.queue.remove(&(at, sequence)).expect("the first entry");
            self.deliver(to, delivery);
        }
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if node.alive && node.paused_until <= self.now && node.ticked <= self.now {
                self.tick(index);
            }
        }
    }

    fn local_now(&self, index: usize) -> Time {
        Time::from_micros(self.now.saturating_since(self.nodes[index].started).as_micros() as u64)
    }

    fn tick(&mut self, index: usize) {
        let now = self.local_now(index);
        let elapsed =
            Duration::from_micros(TICK_MICROS) + self.now.saturating_since(self.nodes[index].ticked);
        for o in 0..self.organisations.len() {
            self.settle(index, o, elapsed);
        }
        let node = &mut self.nodes[index];
        node.ticked = self.now + Duration::from_micros(TICK_MICROS);
        let commands = node.quota.tick(now, &mut self.rng);
        self.run(index, commands);
        (0..self.organisations.len()).for_each(|o| self.publish(index, o));
    }

    fn settle(&mut self, index: usize, o: usize, elapsed: Duration) {
        let (undo, now) = (self.undo, self.local_now(index));
        let node = &mut self.nodes[index];
        let name = &self.organisations[o].name;
        let withdrawn = node.published[o].saturating_sub(node.quota.reserve(name));
        let still_published = node.published[o] - withdrawn;
        if undo != Undo::Withdrawal {
            node.published[o] = still_published;
        }
        let attempts = if elapsed.is_zero() {
            0
        } else {
            std::mem::take(&mut node.attempts[o])
        };
        let settlement = Settlement {
            still_published,
            withdrawn,
            loan_remaining: node.loans[o].0,
            attempts,
        };
        node.quota.settle(name, settlement, elapsed, now);
    }

    fn publish(&mut self, index: usize, o: usize) {
        let node = &mut self.nodes[index];
        node.published[o] += node.quota.publish(&self.organisations[o].name);
    }

    fn event(&mut self, index: usize, event: Event) {
        let concerned = match &event {
            Event::Message(
                _,
                ControlMessage::ShareAsk { organisation, .. }
                | ControlMessage::TokenLoan { organisation, .. },
            ) => self.organisations.iter().position(|o| o.name == *organisation),
            _ => None,
        };
        if let Some(o) = concerned {
            self.settle(index, o, Duration::ZERO);
        }
        let now = self.local_now(index);
        let commands = self.nodes[index].quota.on_event(event, now);
        self.run(index, commands);
        if let Some(o) = concerned {
            self.publish(index, o);
        }
    }

    fn run(&mut self, index: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send(to, message) => self.send(index, &to, message),
                Command::CallPlatform(request) => self.schedule(index, Delivery::Request(request), 20),
                Command::Loan {
                    organisation,
                    micro_tokens,
                    expires,
                } => {
                    let o = self
                        .organisations
                        .iter()
                        .position(|d| *d.name == *organisation)
                        .expect("declared");
                    let node = &mut self.nodes[index];
                    let expires = node.started + expires.saturating_since(Time::ZERO);
                    let old = node.loans[o];
                    let kept = if old.1 > self.now || self.undo == Undo::LoanExpiry {
                        old.0
                    } else {
                        0
                    };
                    node.loans[o] = (kept + micro_tokens, expires);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &InstanceId, message: ControlMessage) {
        self.messages += 1;
        if self.measure_bytes {
            // The header of a WebSocket frame is 8 bytes at these sizes.
            self.bytes += encode(&Message::Control(message.clone())).len() as u64 + 8;
        }
        if let ControlMessage::ShareAck {
            giver,
            incarnation,
            number,
        } = &message
        {
            let receiver = self.nodes[from].holder.instance.clone();
            self.accepted
                .insert((giver.clone(), *incarnation, receiver, *number));
        }
        let Some(to) = self
            .nodes
            .iter()
            .rposition(|n| n.alive && n.holder.instance == *to)
        else {
            return;
        };
        if self.rng.random_bool(self.faults.loss) {
            return;
        }
        let delay = self.faults.max_delay_millis;
        if self.rng.random_bool(self.faults.duplicate) {
            let mut copy = message.clone();
            if let (Undo::Numbers, ControlMessage::ShareTransfer(transfer)) = (self.undo, &mut copy) {
                transfer.number += 100;
            }
            self.schedule(to, Delivery::Message { from, message: copy }, 10 * delay);
        }
        self.schedule(to, Delivery::Message { from, message }, delay);
    }

    fn schedule(&mut self, to: usize, delivery: Delivery, max_delay_millis: u64) {
        let at = self.now + Duration::from_micros(self.rng.random_range(0..=max_delay_millis * 1_000));
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (to, delivery));
    }

    fn deliver(&mut self, to: usize, delivery: Delivery) {
        if let Delivery::Request(request) = delivery {
            // A call that left takes effect even when its caller has ended.
            let answer = self.respond(to, request);
            return self.schedule(to, Delivery::Response(answer), 20);
        }
        if !self.nodes[to].alive {
            return;
        }
        if self.nodes[to].paused_until > self.now {
            self.sequence += 1;
            self.queue
                .insert((self.nodes[to].paused_until, self.sequence), (to, delivery));
            return;
        }
        match delivery {
            Delivery::Message { from, mut message } => {
                if let (Undo::Rounds, ControlMessage::ShareTransfer(transfer)) = (self.undo, &mut message) {
                    transfer.round = self
                        .platform
                        .rounds
                        .get(&transfer.bucket)
                        .map_or(1, |(_, d)| d.round);
                }
                let name = self.nodes[from].holder.instance.clone();
                self.event(to, Event::Message(name, message));
            }
            Delivery::Response(answer) => self.event(to, Event::PlatformResponse(answer)),
            Delivery::Request(_) => {}
        }
    }

    fn respond(&mut self, from: usize, request: PlatformRequest) -> PlatformResponse {
        let me = self.nodes[from].holder.clone();
        if !self.platform.up || self.rng.random_bool(self.faults.lost_answer / 2.0) {
            return PlatformResponse::Failed(request);
        }
        if self.rng.random_bool(self.faults.lost_answer / 5.0) {
            // The caller gives up, and the call takes effect later.
            self.schedule(from, Delivery::Request(request.clone()), 5_000);
            return PlatformResponse::Failed(request);
        }
        let answer = match request.clone() {
            PlatformRequest::Register => {
                self.platform.registered.insert(me);
                PlatformResponse::Registered
            }
            PlatformRequest::Unregister(holder) => {
                self.platform.registered.remove(&holder);
                PlatformResponse::Unregistered(holder)
            }
            PlatformRequest::ReadRounds => PlatformResponse::Rounds(
                self.platform
                    .rounds
                    .iter()
                    .map(|(b, (v, d))| (*b, *v, d.clone()))
                    .collect(),
            ),
            PlatformRequest::ReadRound(bucket) => {
                PlatformResponse::Round(bucket, self.platform.rounds.get(&bucket).cloned())
            }
            PlatformRequest::WriteRound {
                bucket,
                expected_version,
                document,
            } => {
                let found = self.platform.rounds.get(&bucket).map(|(v, _)| *v);
                if found != expected_version {
                    return PlatformResponse::Failed(request);
                }
                let version = Version(found.map_or(1, |v| v.0 + 1));
                self.platform.rounds.insert(bucket, (version, document));
                PlatformResponse::RoundWritten(bucket, version)
            }
            PlatformRequest::ReadHolders(number) => PlatformResponse::Holders {
                number,
                registered: self.platform.registered.iter().cloned().collect(),
                listed: self.list(),
            },
        };
        let lost = self.rng.random_bool(self.faults.lost_answer / 2.0);
        if lost {
            PlatformResponse::Failed(request)
        } else {
            answer
        }
    }

    fn list(&self) -> Vec<Holder> {
        let paused = |h: &Holder| {
            self.nodes
                .iter()
                .any(|n| n.holder == *h && n.paused_until > self.now)
        };
        let listed = self
            .platform
            .listed
            .iter()
            .filter(|(at, _)| *at <= self.now)
            .map(|(_, h)| h.clone());
        listed
            .filter(|h| self.undo != Undo::ProofOfEnd || !paused(h))
            .collect()
    }

    /// Units at all live holders and on their way between them.
    pub fn units(&self, o: usize) -> u64 {
        let name = &self.organisations[o].name;
        let live = self.nodes.iter().filter(|n| n.alive);
        live.map(|node| {
            let open = node.quota.pending_transfers().filter(|(receiver, t)| {
                let key = (t.giver.clone(), t.incarnation, (*receiver).clone(), t.number);
                t.organisation == *name && !self.accepted.contains(&key)
            });
            u64::from(node.quota.units(name)) + open.map(|(_, t)| u64::from(t.units)).sum::<u64>()
        })
        .sum()
    }

    /// Notes a breach when more units exist than the whole.
    pub fn check_units(&mut self) {
        for o in 0..self.organisations.len() {
            let units = self.units(o);
            if units > u64::from(UNITS_PER_ORGANISATION) {
                self.breach = Some(format!("{units} units of {}", self.organisations[o].name));
            }
        }
    }
}

//! Simulates the network, the platform and the traffic threads around several [`Quota`]s in virtual time.

#![allow(dead_code, reason = "each test target and the example use a part of it")]

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

/// A mechanism that the simulation disables, to show that the checks detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisabledMechanism {
    Nothing,
    /// A duplicated transfer gets a new number, so the receiver cannot recognise it.
    TransferNumbers,
    /// A transfer of an earlier round is labelled with the latest round of the bucket.
    RoundChecks,
    /// Borrowed tokens never expire.
    LoanExpiry,
    /// The platform's list omits paused processes, so their absence does not prove their end.
    ProofOfEnd,
    /// Tokens withdrawn from the traffic threads can still be spent by them.
    Withdrawal,
}

/// Probabilities of faults, and delays, of the network and the platform.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    pub loss_probability: f64,
    pub duplicate_probability: f64,
    pub max_delay_millis: u64,
    pub lost_response_probability: f64,
}

pub const NO_FAULTS: Faults = Faults {
    loss_probability: 0.0,
    duplicate_probability: 0.0,
    max_delay_millis: 2,
    lost_response_probability: 0.0,
};
pub const FREQUENT_FAULTS: Faults = Faults {
    loss_probability: 0.1,
    duplicate_probability: 0.1,
    max_delay_millis: 800,
    lost_response_probability: 0.15,
};

#[derive(Debug, Clone)]
pub struct OrganisationLimits {
    pub name: String,
    pub rate: u32,
    pub burst: u32,
}

#[derive(Debug)]
pub struct Process {
    pub holder: Holder,
    pub quota: Quota,
    pub alive: bool,
    pub paused_until: Time,
    started_at: Time,
    next_tick: Time,
    published: Vec<u64>,
    loans: Vec<(u64, Time)>,
    attempts: Vec<u64>,
}

#[derive(Debug, Default)]
struct Platform {
    is_available: bool,
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

/// Several instances with their network and platform.
pub struct Simulation {
    pub now: Time,
    pub rng: Pcg64Mcg,
    pub processes: Vec<Process>,
    pub organisations: Vec<OrganisationLimits>,
    pub faults: Faults,
    pub disabled: DisabledMechanism,
    pub messages: u64,
    pub bytes: u64,
    pub measure_bytes: bool,
    /// By organisation, the tokens in a central bucket of its rate and burst, which the fleet must not exceed.
    pub central_levels: Vec<f64>,
    pub violation: Option<String>,
    queue: BTreeMap<(Time, u64), (usize, Delivery)>,
    last_sequence: u64,
    platform: Platform,
    accepted_transfers: BTreeSet<(InstanceId, Incarnation, InstanceId, u64)>,
}

impl Simulation {
    pub fn new(seed: u64, processes: usize, organisations: &[OrganisationLimits]) -> Self {
        let mut simulation = Self {
            now: Time::from_millis(1),
            rng: Pcg64Mcg::seed_from_u64(seed),
            processes: Vec::new(),
            organisations: organisations.to_vec(),
            faults: NO_FAULTS,
            disabled: DisabledMechanism::Nothing,
            messages: 0,
            bytes: 0,
            measure_bytes: false,
            central_levels: organisations.iter().map(|o| f64::from(o.burst)).collect(),
            violation: None,
            queue: BTreeMap::new(),
            last_sequence: 0,
            platform: Platform {
                is_available: true,
                ..Platform::default()
            },
            accepted_transfers: BTreeSet::new(),
        };
        for i in 0..processes {
            simulation.start(&format!("i{i}"), 1);
        }
        simulation
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
        self.processes.push(Process {
            holder,
            quota,
            alive: true,
            paused_until: Time::ZERO,
            started_at: self.now,
            next_tick: self.now + stagger,
            published: vec![0; count],
            loans: vec![(0, Time::ZERO); count],
            attempts: vec![0; count],
        });
        self.update_peers();
    }

    /// Ends a process. The platform's list omits it at once, and the other processes update their peers.
    pub fn stop(&mut self, index: usize) {
        self.processes[index].alive = false;
        let holder = self.processes[index].holder.clone();
        self.platform.listed.retain(|(_, listed)| *listed != holder);
        self.update_peers();
    }

    pub fn set_platform_available(&mut self, is_available: bool) {
        self.platform.is_available = is_available;
    }

    fn update_peers(&mut self) {
        let live: Vec<Holder> = self
            .processes
            .iter()
            .filter(|n| n.alive)
            .map(|n| n.holder.clone())
            .collect();
        for process in self.processes.iter_mut().filter(|n| n.alive) {
            process.quota.set_peers(
                live.clone(),
                self.now - process.started_at.saturating_since(Time::ZERO),
            );
        }
    }

    /// Requests one token at an instance, and returns whether it was granted.
    pub fn try_take(&mut self, index: usize, o: usize) -> bool {
        let (now, disabled) = (self.now, self.disabled);
        let process = &mut self.processes[index];
        if !process.alive || process.paused_until > now {
            return false;
        }
        process.attempts[o] += 1;
        let loan = &mut process.loans[o];
        let taken = if loan.0 >= MICROTOKENS_PER_TOKEN
            && (loan.1 > now || disabled == DisabledMechanism::LoanExpiry)
        {
            loan.0 -= MICROTOKENS_PER_TOKEN;
            true
        } else if process.published[o] >= MICROTOKENS_PER_TOKEN {
            process.published[o] -= MICROTOKENS_PER_TOKEN;
            true
        } else {
            false
        };
        if taken {
            self.central_levels[o] -= 1.0;
            if self.central_levels[o] < -0.001 {
                self.violation = Some(format!(
                    "rate and burst of {} exceeded",
                    self.organisations[o].name
                ));
            }
        }
        taken
    }

    /// Advances the time by [`STEP`]: refills the central buckets, delivers messages and runs the ticks that are due.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for (level, declared) in self.central_levels.iter_mut().zip(&self.organisations) {
            *level = (*level + f64::from(declared.rate) * STEP.as_secs_f64()).min(f64::from(declared.burst));
        }
        while let Some((&(at, sequence), _)) = self.queue.first_key_value()
            && at <= self.now
        {
            let (to, delivery) = self.queue.remove(&(at, sequence)).expect("the first entry");
            self.deliver(to, delivery);
        }
        for index in 0..self.processes.len() {
            let process = &self.processes[index];
            if process.alive && process.paused_until <= self.now && process.next_tick <= self.now {
                self.tick(index);
            }
        }
    }

    fn local_now(&self, index: usize) -> Time {
        Time::from_micros(
            self.now
                .saturating_since(self.processes[index].started_at)
                .as_micros() as u64,
        )
    }

    fn tick(&mut self, index: usize) {
        let now = self.local_now(index);
        let elapsed =
            Duration::from_micros(TICK_MICROS) + self.now.saturating_since(self.processes[index].next_tick);
        for o in 0..self.organisations.len() {
            self.settle(index, o, elapsed);
        }
        let process = &mut self.processes[index];
        process.next_tick = self.now + Duration::from_micros(TICK_MICROS);
        let commands = process.quota.tick(now, &mut self.rng);
        self.execute(index, commands);
        (0..self.organisations.len()).for_each(|o| self.publish(index, o));
    }

    fn settle(&mut self, index: usize, o: usize, elapsed: Duration) {
        let (disabled, now) = (self.disabled, self.local_now(index));
        let process = &mut self.processes[index];
        let name = &self.organisations[o].name;
        let withdrawn = process.published[o].saturating_sub(process.quota.reserve(name));
        let still_published = process.published[o] - withdrawn;
        if disabled != DisabledMechanism::Withdrawal {
            process.published[o] = still_published;
        }
        let attempts = if elapsed.is_zero() {
            0
        } else {
            std::mem::take(&mut process.attempts[o])
        };
        let settlement = Settlement {
            still_published,
            withdrawn,
            loan_remaining: process.loans[o].0,
            attempts,
        };
        process.quota.settle(name, settlement, elapsed, now);
    }

    fn publish(&mut self, index: usize, o: usize) {
        let process = &mut self.processes[index];
        process.published[o] += process.quota.publish(&self.organisations[o].name);
    }

    fn handle_event(&mut self, index: usize, event: Event) {
        let settled_organisation = match &event {
            Event::Message(
                _,
                ControlMessage::ShareAsk { organisation, .. }
                | ControlMessage::TokenLoan { organisation, .. },
            ) => self.organisations.iter().position(|o| o.name == *organisation),
            _ => None,
        };
        if let Some(o) = settled_organisation {
            self.settle(index, o, Duration::ZERO);
        }
        let now = self.local_now(index);
        let commands = self.processes[index].quota.on_event(event, now);
        self.execute(index, commands);
        if let Some(o) = settled_organisation {
            self.publish(index, o);
        }
    }

    fn execute(&mut self, index: usize, commands: Vec<Command>) {
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
                    let process = &mut self.processes[index];
                    let expires = process.started_at + expires.saturating_since(Time::ZERO);
                    let old = process.loans[o];
                    let kept = if old.1 > self.now || self.disabled == DisabledMechanism::LoanExpiry {
                        old.0
                    } else {
                        0
                    };
                    process.loans[o] = (kept + micro_tokens, expires);
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
            let receiver = self.processes[from].holder.instance.clone();
            self.accepted_transfers
                .insert((giver.clone(), *incarnation, receiver, *number));
        }
        let Some(to) = self
            .processes
            .iter()
            .rposition(|n| n.alive && n.holder.instance == *to)
        else {
            return;
        };
        if self.rng.random_bool(self.faults.loss_probability) {
            return;
        }
        let delay = self.faults.max_delay_millis;
        if self.rng.random_bool(self.faults.duplicate_probability) {
            let mut copy = message.clone();
            if let (DisabledMechanism::TransferNumbers, ControlMessage::ShareTransfer(transfer)) =
                (self.disabled, &mut copy)
            {
                transfer.number += 100;
            }
            self.schedule(to, Delivery::Message { from, message: copy }, 10 * delay);
        }
        self.schedule(to, Delivery::Message { from, message }, delay);
    }

    fn schedule(&mut self, to: usize, delivery: Delivery, max_delay_millis: u64) {
        let at = self.now + Duration::from_micros(self.rng.random_range(0..=max_delay_millis * 1_000));
        self.last_sequence += 1;
        self.queue.insert((at, self.last_sequence), (to, delivery));
    }

    fn deliver(&mut self, to: usize, delivery: Delivery) {
        if let Delivery::Request(request) = delivery {
            // A request that was sent takes effect even when its sender has ended.
            let response = self.respond(to, request);
            return self.schedule(to, Delivery::Response(response), 20);
        }
        if !self.processes[to].alive {
            return;
        }
        if self.processes[to].paused_until > self.now {
            self.last_sequence += 1;
            self.queue.insert(
                (self.processes[to].paused_until, self.last_sequence),
                (to, delivery),
            );
            return;
        }
        match delivery {
            Delivery::Message { from, mut message } => {
                if let (DisabledMechanism::RoundChecks, ControlMessage::ShareTransfer(transfer)) =
                    (self.disabled, &mut message)
                {
                    transfer.round = self
                        .platform
                        .rounds
                        .get(&transfer.bucket)
                        .map_or(1, |(_, d)| d.round);
                }
                let name = self.processes[from].holder.instance.clone();
                self.handle_event(to, Event::Message(name, message));
            }
            Delivery::Response(response) => self.handle_event(to, Event::PlatformResponse(response)),
            Delivery::Request(_) => {}
        }
    }

    fn respond(&mut self, from: usize, request: PlatformRequest) -> PlatformResponse {
        let me = self.processes[from].holder.clone();
        if !self.platform.is_available || self.rng.random_bool(self.faults.lost_response_probability / 2.0) {
            return PlatformResponse::Failed(request);
        }
        if self.rng.random_bool(self.faults.lost_response_probability / 5.0) {
            // The sender sees a failure, and the request takes effect later.
            self.schedule(from, Delivery::Request(request.clone()), 5_000);
            return PlatformResponse::Failed(request);
        }
        let response = match request.clone() {
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
                listed: self.listed_holders(),
            },
        };
        let lost = self.rng.random_bool(self.faults.lost_response_probability / 2.0);
        if lost {
            PlatformResponse::Failed(request)
        } else {
            response
        }
    }

    fn listed_holders(&self) -> Vec<Holder> {
        let paused = |h: &Holder| {
            self.processes
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
            .filter(|h| self.disabled != DisabledMechanism::ProofOfEnd || !paused(h))
            .collect()
    }

    /// Units of an organisation at all live holders and in transfers that no receiver has accepted.
    pub fn total_units(&self, o: usize) -> u64 {
        let name = &self.organisations[o].name;
        let live = self.processes.iter().filter(|n| n.alive);
        live.map(|process| {
            let open = process.quota.pending_transfers().filter(|(receiver, t)| {
                let key = (t.giver.clone(), t.incarnation, (*receiver).clone(), t.number);
                t.organisation == *name && !self.accepted_transfers.contains(&key)
            });
            u64::from(process.quota.units(name)) + open.map(|(_, t)| u64::from(t.units)).sum::<u64>()
        })
        .sum()
    }

    /// Records a violation when more units of an organisation exist than were issued.
    pub fn check_unit_total(&mut self) {
        for o in 0..self.organisations.len() {
            let units = self.total_units(o);
            if units > u64::from(UNITS_PER_ORGANISATION) {
                self.violation = Some(format!("{units} units of {} exist", self.organisations[o].name));
            }
        }
    }
}

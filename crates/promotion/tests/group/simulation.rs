//! Discrete-event simulation of several homes of one group, its slots and the platform, with message loss and delay,
//! pauses, partitions and outages.

use super::fake_slot::{FakeSlot, Record};
use cranelift_entity::EntityRef;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Slot, Term, Time, Version};
use wasabiyard_promotion::{
    Command, CommitTracker, Event, FailureDetector, ObjectView, Promotion, ReadFailure, SlotReport,
    SlotReports, WriteFailure,
};

const TICK: Duration = Duration::from_millis(50);
/// When a home notices that a request was not answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// No fault begins after this time. Those that last end soon after it.
pub const FAULTS_END: Time = Time::from_millis(30_000);
pub const END: Time = Time::from_millis(60_000);

/// A rule that is broken on purpose, to show that the checks detect it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BrokenRule {
    #[default]
    Nothing,
    /// A commit counts as acknowledged when one slot holds it.
    AcknowledgeByOne,
    /// A slot that is fenced above the term of a commit counts for the majority.
    CountFencedSlots,
    /// A slot grants the fence of one term to several owners.
    SharedFences,
    /// The slot to promote is chosen without regard to its log.
    IgnoreLogs,
}

#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub seed: u64,
    pub slots: usize,
    pub homes: usize,
    pub loss_percent: u32,
    /// Whether there is a platform. Without it, only the slots arbitrate between promotions.
    pub platform: bool,
    pub broken: BrokenRule,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub acknowledged: usize,
    pub promotions: usize,
    /// The first violation of an invariant.
    pub violation: Option<String>,
    pub primaries_at_end: usize,
    pub acknowledged_after_faults: bool,
}

#[derive(Debug, Clone)]
enum SlotRequest {
    Status,
    Write,
    Receive(LogPoint),
    Fence(Term, String),
    Promote(Term, String),
}

#[derive(Debug, Clone)]
enum HomeEvent {
    Promotion(u64, Event),
    Status(Slot, SlotReport),
    Written(LogPoint, u64),
    Received(Slot, LogPoint, Term),
    Failed(Slot),
}

#[derive(Debug, Clone)]
enum Message {
    Tick(usize),
    Replicate,
    Fault,
    Request(usize, Slot, Time, SlotRequest, u64),
    Replica(Slot, Term, Rc<[Record]>, usize),
    Answer(usize, HomeEvent),
    Platform(usize, u64, Command, String),
}

struct Home {
    reports: SlotReports,
    detector: FailureDetector,
    commits: CommitTracker,
    waiting: BTreeMap<LogPoint, u64>,
    run: Option<(u64, String, Promotion)>,
    paused_until: Time,
}

pub struct Simulation {
    setup: Setup,
    rng: Pcg64Mcg,
    now: Time,
    sequence: u64,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    messages: BTreeMap<u64, Message>,
    slots: Vec<FakeSlot>,
    homes: Vec<Home>,
    object: ObjectView,
    outage_until: Time,
    last_number: u64,
    acknowledged: Vec<(LogPoint, u64)>,
    /// The slot that was promoted in each term, with its log at the time of the promotion.
    promoted_slots: BTreeMap<Term, (Slot, Vec<Record>)>,
    summary: Outcome,
}

impl Simulation {
    pub fn run(setup: Setup) -> Outcome {
        let mut simulation = Self::new(setup);
        for home in 0..setup.homes {
            simulation.send(Duration::ZERO, Message::Tick(home));
        }
        simulation.send(Duration::ZERO, Message::Replicate);
        simulation.send(Duration::ZERO, Message::Fault);
        while let Some(Reverse((at, id))) = simulation.queue.pop() {
            if at > END || simulation.summary.violation.is_some() {
                break;
            }
            simulation.now = at;
            let message = simulation.messages.remove(&id).expect("a queued message");
            simulation.deliver(message);
        }
        let primaries = simulation
            .slots
            .iter()
            .filter(|s| s.primary && s.fenced.0 <= s.term);
        simulation.summary.primaries_at_end = primaries.count();
        simulation.summary.acknowledged = simulation.acknowledged.len();
        simulation.summary
    }

    fn new(setup: Setup) -> Self {
        let mut slots = vec![FakeSlot::default(); setup.slots];
        for slot in &mut slots {
            slot.term = Term(1);
            slot.fenced = (Term(1), String::new());
        }
        slots[0].primary = true;
        let home = |_| Home {
            reports: SlotReports::new(setup.slots),
            detector: FailureDetector::new(Time::ZERO),
            commits: CommitTracker::new(setup.slots),
            waiting: BTreeMap::new(),
            run: None,
            paused_until: Time::ZERO,
        };
        Self {
            setup,
            rng: Pcg64Mcg::new(u128::from(setup.seed) << 1 | 1),
            now: Time::ZERO,
            sequence: 0,
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            slots,
            homes: (0..setup.homes).map(home).collect(),
            object: ObjectView {
                version: Version(1),
                term: Term(1),
                owner: String::new(),
                stable: true,
            },
            outage_until: Time::ZERO,
            last_number: 0,
            acknowledged: Vec::new(),
            promoted_slots: BTreeMap::new(),
            summary: Outcome::default(),
        }
    }

    fn send(&mut self, delay: Duration, message: Message) {
        self.sequence += 1;
        self.messages.insert(self.sequence, message);
        self.queue.push(Reverse((self.now + delay, self.sequence)));
    }

    fn latency(&mut self) -> Duration {
        let slow = self.rng.random_ratio(1, 50);
        Duration::from_micros(self.rng.random_range(200..if slow { 800_000 } else { 8_000 }))
    }

    fn lost(&mut self) -> bool {
        self.now < FAULTS_END && self.rng.random_ratio(self.setup.loss_percent, 100)
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Tick(home) => self.tick(home),
            Message::Replicate => self.replicate(),
            Message::Fault => self.fault(),
            Message::Replica(slot, term, log, prefix_len) => {
                let target = &mut self.slots[slot.index()];
                if self.now >= target.isolated_until && self.now >= target.frozen_until {
                    target.replicate(term, &log[..prefix_len]);
                }
            }
            Message::Request(home, slot, requested_at, request, run) => {
                self.request(home, slot, requested_at, request, run);
            }
            Message::Answer(home, answer) => {
                let paused = self.homes[home].paused_until;
                if paused > self.now {
                    self.send(paused.saturating_since(self.now), Message::Answer(home, answer));
                } else {
                    self.answer(home, answer);
                }
            }
            Message::Platform(home, run, command, owner) => self.platform(home, run, &command, &owner),
        }
    }

    fn fault(&mut self) {
        if self.now >= FAULTS_END {
            return;
        }
        let until = self.now + Duration::from_millis(self.rng.random_range(200..6_000));
        let slot = self.rng.random_range(0..self.setup.slots);
        match self.rng.random_range(0..6) {
            0 => self.slots[slot].frozen_until = until,
            1 => self.slots[slot].cut_off_until = until,
            2 => self.slots[slot].isolated_until = until,
            3 => (self.slots[slot].cut_off_until, self.slots[slot].isolated_until) = (until, until),
            4 => self.outage_until = until,
            _ => {
                let home = self.rng.random_range(0..self.setup.homes);
                self.homes[home].paused_until = until;
            }
        }
        let next = Duration::from_millis(self.rng.random_range(50..2_500));
        self.send(next, Message::Fault);
    }

    fn replicate(&mut self) {
        for from in 0..self.setup.slots {
            let source = &self.slots[from];
            if !source.primary || self.now < source.isolated_until || self.now < source.frozen_until {
                continue;
            }
            let (term, log): (_, Rc<[Record]>) = (source.term, source.log.as_slice().into());
            for to in (0..self.setup.slots).filter(|to| *to != from) {
                if self.lost() {
                    continue;
                }
                // Only a prefix of the log arrives; the rest follows with a later message.
                let prefix_len = self.rng.random_range(log.len().saturating_sub(3)..=log.len());
                let delay = self.latency();
                self.send(
                    delay,
                    Message::Replica(Slot::new(to), term, Rc::clone(&log), prefix_len),
                );
            }
        }
        self.send(Duration::from_millis(10), Message::Replicate);
    }

    fn send_request(&mut self, home: usize, slot: Slot, request: SlotRequest, run: u64) {
        let (now, delay) = (self.now, self.latency());
        self.send(delay, Message::Request(home, slot, now, request, run));
    }

    /// Drops a request or its answer, which the home notices after [`ANSWER_TIMEOUT`].
    fn drop_request(&mut self, home: usize, slot: Slot, run: u64, request: &SlotRequest) {
        let failed = match *request {
            SlotRequest::Fence(term, _) | SlotRequest::Promote(term, _) => {
                HomeEvent::Promotion(run, Event::SlotFailed { slot, term })
            }
            SlotRequest::Status => HomeEvent::Failed(slot),
            SlotRequest::Write | SlotRequest::Receive(_) => return,
        };
        self.send(ANSWER_TIMEOUT, Message::Answer(home, failed));
    }

    fn request(&mut self, home: usize, slot: Slot, requested_at: Time, request: SlotRequest, run: u64) {
        let frozen = self.slots[slot.index()].frozen_until;
        if self.now < self.slots[slot.index()].cut_off_until || self.lost() {
            return self.drop_request(home, slot, run, &request);
        }
        if frozen > self.now {
            // A frozen slot executes the request later, when the home no longer waits for the answer.
            self.drop_request(home, slot, run, &request);
            let wait = frozen.saturating_since(self.now);
            return self.send(wait, Message::Request(home, slot, requested_at, request, run));
        }
        let broken = self.setup.broken;
        let target = &mut self.slots[slot.index()];
        let original_request = request.clone();
        let answer = match request {
            SlotRequest::Status => {
                let report = SlotReport {
                    requested_at,
                    primary: target.primary,
                    term: target.term,
                    fenced_term: target.fenced.0,
                    received: target.end(),
                    applied: target.end(),
                };
                Some(HomeEvent::Status(slot, report))
            }
            SlotRequest::Write => {
                self.last_number += 1;
                let number = self.last_number;
                target
                    .write(number)
                    .map(|point| HomeEvent::Written(point, number))
            }
            SlotRequest::Receive(point) => {
                target
                    .holds(point)
                    .then_some(HomeEvent::Received(slot, point, target.fenced.0))
            }
            SlotRequest::Fence(term, owner) => {
                let granted = target.fence(term, &owner, broken == BrokenRule::SharedFences);
                let last = if broken == BrokenRule::IgnoreLogs {
                    LogPoint::default()
                } else {
                    target.end()
                };
                let fenced_term = target.fenced.0;
                let event = Event::Fenced {
                    slot,
                    term,
                    granted,
                    fenced_term,
                    last,
                };
                Some(HomeEvent::Promotion(run, event))
            }
            SlotRequest::Promote(term, owner) => {
                let granted = target.promote(term, &owner);
                let log = target.log.clone();
                if granted {
                    self.record_promotion(slot, term, log);
                }
                let event = Event::PromoteAnswered { slot, term, granted };
                Some(HomeEvent::Promotion(run, event))
            }
        };
        match answer {
            Some(answer) if !self.lost() => {
                let delay = self.latency();
                self.send(delay, Message::Answer(home, answer));
            }
            _ => self.drop_request(home, slot, run, &original_request),
        }
    }

    fn record_promotion(&mut self, slot: Slot, term: Term, log: Vec<Record>) {
        if let Some((first, _)) = self.promoted_slots.get(&term) {
            if *first != slot {
                self.record_violation(format!("{first} and {slot} are both primary in term {term}"));
            }
            return;
        }
        self.summary.promotions += 1;
        self.promoted_slots.insert(term, (slot, log));
        for write in self.acknowledged.clone() {
            self.check_acknowledged_write(write, term);
        }
    }

    /// Checks that the primary of a later term holds an acknowledged write.
    fn check_acknowledged_write(&mut self, (point, number): (LogPoint, u64), term: Term) {
        let log = &self.promoted_slots[&term].1;
        if term > point.term && log.get(point.position.0 as usize - 1) != Some(&(point.term, number)) {
            self.record_violation(format!("{point:?} is lost in term {term}"));
        }
    }

    fn record_violation(&mut self, description: String) {
        self.summary.violation.get_or_insert(description);
    }

    fn answer(&mut self, home: usize, answer: HomeEvent) {
        let now = self.now;
        let state = &mut self.homes[home];
        match answer {
            HomeEvent::Status(slot, report) => {
                state.reports.record(slot, report);
                state.detector.set_primary(state.reports.primary(), now);
                state.detector.record_response(slot, now);
            }
            HomeEvent::Failed(slot) => {
                state.detector.set_primary(state.reports.primary(), now);
                state.detector.record_failed_connect(slot);
            }
            HomeEvent::Written(point, number) => {
                state.waiting.insert(point, number);
                for slot in 0..self.setup.slots {
                    self.send_request(home, Slot::new(slot), SlotRequest::Receive(point), 0);
                }
            }
            HomeEvent::Received(slot, point, fenced) => self.received(home, slot, point, fenced),
            HomeEvent::Promotion(run, event) => self.promotion(home, Some(run), &event),
        }
    }

    fn received(&mut self, home: usize, slot: Slot, point: LogPoint, fenced: Term) {
        let broken = self.setup.broken;
        let state = &mut self.homes[home];
        let fenced = if broken == BrokenRule::CountFencedSlots {
            point.term
        } else {
            fenced
        };
        let counted = state.commits.confirm(slot, point, fenced);
        let commits = &state.commits;
        let done = |p: &LogPoint| {
            (broken == BrokenRule::AcknowledgeByOne && counted && *p == point) || commits.is_acknowledged(*p)
        };
        let acknowledged: Vec<_> = state
            .waiting
            .iter()
            .filter(|(p, _)| done(p))
            .map(|(p, n)| (*p, *n))
            .collect();
        for (point, number) in acknowledged {
            self.homes[home].waiting.remove(&point);
            self.acknowledged.push((point, number));
            for term in self.promoted_slots.keys().copied().collect::<Vec<_>>() {
                self.check_acknowledged_write((point, number), term);
            }
            self.summary.acknowledged_after_faults |= self.now > FAULTS_END + Duration::from_secs(20);
        }
    }

    fn tick(&mut self, home: usize) {
        let state = &self.homes[home];
        if state.paused_until > self.now {
            let wait = state.paused_until.saturating_since(self.now);
            return self.send(wait, Message::Tick(home));
        }
        for slot in 0..self.setup.slots {
            self.send_request(home, Slot::new(slot), SlotRequest::Status, 0);
        }
        let state = &mut self.homes[home];
        let (primary, waiting) = (
            state.reports.primary(),
            state.waiting.last_key_value().map(|(p, _)| *p),
        );
        if state.run.is_none() && state.detector.suspicion(self.now).is_some() {
            self.start(home);
        } else if let Some((slot, _)) = primary {
            self.send_request(home, slot, SlotRequest::Write, 0);
        }
        if let Some(point) = waiting {
            for slot in 0..self.setup.slots {
                self.send_request(home, Slot::new(slot), SlotRequest::Receive(point), 0);
            }
        }
        if let Some((_, term)) = primary {
            self.promotion(home, None, &Event::PrimarySeen { term });
        }
        self.promotion(home, None, &Event::Tick);
        self.send(TICK, Message::Tick(home));
    }

    fn start(&mut self, home: usize) {
        self.last_number += 1;
        let (number, now) = (self.last_number, self.now);
        let avoids = self.rng.random_ratio(1, 5);
        let state = &mut self.homes[home];
        let owner = format!("home-{home}/{number}");
        let replaced = state.reports.primary().map_or(Term(0), |(_, term)| term);
        let preference = vec![0; self.setup.slots];
        let avoided = state.reports.primary().map(|(slot, _)| slot).filter(|_| avoids);
        let (promotion, commands) = Promotion::start(
            &owner,
            replaced,
            state.reports.highest_term(),
            &preference,
            avoided,
            now,
        );
        state.run = Some((number, owner, promotion));
        self.execute(home, commands);
    }

    fn promotion(&mut self, home: usize, of: Option<u64>, event: &Event) {
        let state = &mut self.homes[home];
        let Some((number, _, run)) = &mut state.run else {
            return;
        };
        if of.is_some_and(|of| of != *number) {
            return;
        }
        let commands = run.handle(event, self.now, &mut self.rng);
        if run.outcome().is_some() {
            state.run = None;
            state.detector = FailureDetector::new(self.now);
        }
        self.execute(home, commands);
    }

    fn execute(&mut self, home: usize, commands: Vec<Command>) {
        let Some((run, owner, _)) = &self.homes[home].run else {
            return;
        };
        let (run, owner) = (*run, owner.clone());
        for command in commands {
            match command {
                Command::Fence { slot, term } => {
                    self.send_request(home, slot, SlotRequest::Fence(term, owner.clone()), run);
                }
                Command::Promote { slot, term } => {
                    self.send_request(home, slot, SlotRequest::Promote(term, owner.clone()), run);
                }
                Command::ReadObject { .. } | Command::WriteObject { .. } => {
                    let delay = self.latency();
                    self.send(delay, Message::Platform(home, run, command, owner.clone()));
                }
            }
        }
    }

    fn platform(&mut self, home: usize, run: u64, command: &Command, owner: &str) {
        let down = !self.setup.platform || self.now < self.outage_until;
        let event = match *command {
            Command::ReadObject { number } => Event::ObjectRead {
                number,
                result: if down {
                    Err(ReadFailure::Unavailable)
                } else {
                    Ok(self.object.clone())
                },
            },
            Command::WriteObject {
                number,
                expected_version,
                term,
                primary,
            } => Event::ObjectWritten {
                number,
                result: self.write_object(down, expected_version, term, primary.is_some(), owner),
            },
            Command::Fence { .. } | Command::Promote { .. } => return,
        };
        let delay = self.latency();
        self.send(delay, Message::Answer(home, HomeEvent::Promotion(run, event)));
    }

    fn write_object(
        &mut self,
        down: bool,
        expected_version: Version,
        term: Term,
        stable: bool,
        owner: &str,
    ) -> Result<Version, WriteFailure> {
        if down {
            return Err(WriteFailure::Unavailable);
        }
        if self.object.version != expected_version {
            return Err(WriteFailure::Conflict);
        }
        let lost = self.lost();
        if lost && self.rng.random() {
            return Err(WriteFailure::Unknown);
        }
        self.object = ObjectView {
            version: Version(expected_version.0 + 1),
            term,
            owner: owner.to_owned(),
            stable,
        };
        if lost {
            Err(WriteFailure::Unknown)
        } else {
            Ok(self.object.version)
        }
    }
}

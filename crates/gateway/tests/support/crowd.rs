//! Simulation in virtual time of a crowd of instances at one overloaded server.
//!
//! After a calm start, 85 instances send to a server with 4 slots and a queue of 32, which refuses more. Each statement needs a new
//! connection, which takes 12 ms of a slot. A caller tries a refused operation again at another instance, twice.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_gateway::traffic::{OverloadYield, ServerHealth, connection_wait_deadline};
use wasabiyard_model::{PriorityClass, Time};
use wasabiyard_schedule::{FairQueue, QueuedRequest, RetryBudget};

const INSTANCES: usize = 85;
const SLOTS: usize = 4;
const SERVER_QUEUE: usize = 32;
const CONNECT_COST: Duration = Duration::from_millis(12);
const ONE_WAY: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(20);
const CALLER_RETRY_DELAY: Duration = Duration::from_millis(25);
const CALLER_RETRIES: u32 = 2;
/// A quarter of the target of the most urgent route.
const QUEUE_TOLERANCE: Duration = Duration::from_millis(50);
/// Connections of an instance to the server.
const MAX_OPEN: u32 = 3;
const RUN: Duration = Duration::from_secs(12);
/// Calm part of the run, which is not counted.
const WARM_UP: Duration = Duration::from_secs(3);
/// Load before the overload.
const CALM_LOAD: f64 = 0.5;

/// A route of the simulated site, by the rank of its class.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// Part of the operations.
    pub part: f64,
    pub execution: Duration,
    pub target: Duration,
    pub timeout: Duration,
}

/// The routes of the site with the priorities 0, 1 and 2.
pub const ROUTES: [Route; 3] = [
    Route {
        part: 0.15,
        execution: Duration::from_millis(6),
        target: Duration::from_millis(200),
        timeout: Duration::from_millis(800),
    },
    Route {
        part: 0.7,
        execution: Duration::from_millis(18),
        target: Duration::from_millis(400),
        timeout: Duration::from_millis(800),
    },
    Route {
        part: 0.15,
        execution: Duration::from_millis(30),
        target: Duration::from_secs(1),
        timeout: Duration::from_secs(2),
    },
];

/// How an instance treats the refusals of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Shared,
    ByRank,
}

/// What became of the operations of a class.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub asked: u32,
    pub in_target: u32,
    pub served: u32,
    /// Longest time between two served operations.
    pub longest_gap: Duration,
    last_served: Time,
}

impl Outcome {
    pub fn served_part(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }

    pub fn in_target_part(&self) -> f64 {
        f64::from(self.in_target) / f64::from(self.asked.max(1))
    }
}

#[derive(Debug, Clone, Copy)]
struct Operation {
    rank: usize,
    arrived: Time,
    attempts: u32,
    sent: Time,
}

impl Operation {
    fn deadline(&self) -> Time {
        self.arrived + ROUTES[self.rank].timeout
    }
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Caller(Operation),
    AtServer(usize, Operation),
    Finished(usize, Operation),
    Answer(usize, Operation),
    Refusal(usize, Operation),
    Tick,
}

#[derive(Debug, Default)]
struct Instance {
    queue: FairQueue<Operation>,
    yielding: OverloadYield,
    health: ServerHealth,
    retries: RetryBudget,
    in_flight: u32,
}

struct Crowd {
    policy: Policy,
    instances: Vec<Instance>,
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    running: usize,
    waiting: VecDeque<(usize, Operation)>,
    outcomes: [Outcome; 3],
    busy: Duration,
    rng: SmallRng,
}

/// Runs half of what the server can execute, then `load` times that, 12 s in all. The first 3 s are not counted. Returns the outcomes by rank and the used part of the server.
pub fn run(policy: Policy, load: f64, seed: u64) -> ([Outcome; 3], f64) {
    let mut crowd = Crowd {
        policy,
        instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
        events: BTreeMap::new(),
        sequence: 0,
        running: 0,
        waiting: VecDeque::new(),
        outcomes: [Outcome::default(); 3],
        busy: Duration::ZERO,
        rng: SmallRng::seed_from_u64(seed),
    };
    let mean_cost: f64 = ROUTES
        .iter()
        .map(|r| r.part * (r.execution + CONNECT_COST).as_secs_f64())
        .sum();
    let capacity = SLOTS as f64 / mean_cost;
    let mut now = Time::from_millis(10_000);
    let start = now;
    crowd.at(now + TICK, Event::Tick);
    let mut next_arrival = now;
    while now < start + RUN {
        while next_arrival <= now + TICK {
            let operation = crowd.new_operation(next_arrival);
            crowd.at(next_arrival, Event::Caller(operation));
            let gap = -(1.0 - crowd.rng.random::<f64>()).ln()
                / (capacity * if now < start + WARM_UP { CALM_LOAD } else { load });
            next_arrival = next_arrival + Duration::from_secs_f64(gap);
        }
        let ((at, _), event) = crowd.events.pop_first().expect("a tick");
        now = at;
        if now < start + WARM_UP {
            crowd.outcomes = [Outcome::default(); 3];
            crowd.busy = Duration::ZERO;
        }
        crowd.handle(event, now);
    }
    let counted = RUN.saturating_sub(WARM_UP).as_secs_f64() * SLOTS as f64;
    (crowd.outcomes, crowd.busy.as_secs_f64() / counted)
}

impl Crowd {
    fn new_operation(&mut self, arrived: Time) -> Operation {
        let choice: f64 = self.rng.random();
        let rank =
            usize::from(choice > ROUTES[0].part) + usize::from(choice > ROUTES[0].part + ROUTES[1].part);
        Operation {
            rank,
            arrived,
            attempts: 0,
            sent: Time::ZERO,
        }
    }

    fn at(&mut self, time: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    fn handle(&mut self, event: Event, now: Time) {
        match event {
            Event::Caller(operation) => {
                if operation.attempts == 0 {
                    self.outcomes[operation.rank].asked += 1;
                }
                let instance = self.rng.random_range(0..INSTANCES);
                self.enqueue(instance, operation, now);
            }
            Event::AtServer(instance, operation) => {
                if self.running < SLOTS {
                    self.start(instance, operation, now);
                } else if self.waiting.len() < SERVER_QUEUE {
                    self.waiting.push_back((instance, operation));
                } else {
                    self.at(now + ONE_WAY, Event::Refusal(instance, operation));
                }
            }
            Event::Finished(instance, operation) => {
                self.running -= 1;
                self.at(now + ONE_WAY, Event::Answer(instance, operation));
                if let Some((instance, operation)) = self.waiting.pop_front() {
                    self.start(instance, operation, now);
                }
            }
            Event::Answer(instance, operation) => {
                let class = PriorityClass::from_rank(operation.rank);
                let state = &mut self.instances[instance];
                state.in_flight -= 1;
                match self.policy {
                    Policy::Shared => state.health.on_answer(now),
                    Policy::ByRank => {
                        let took = now.saturating_since(operation.sent);
                        state
                            .yielding
                            .on_answer(class, took, QUEUE_TOLERANCE, now, &mut self.rng);
                    }
                }
                self.count(operation, now);
                self.dispatch(instance, now);
            }
            Event::Refusal(instance, operation) => self.on_refusal(instance, operation, now),
            Event::Tick => {
                for instance in 0..INSTANCES {
                    self.dispatch(instance, now);
                }
                self.at(now + TICK, Event::Tick);
            }
        }
    }

    fn start(&mut self, instance: usize, operation: Operation, now: Time) {
        self.running += 1;
        let cost = ROUTES[operation.rank].execution + CONNECT_COST;
        self.busy += cost;
        self.at(now + cost, Event::Finished(instance, operation));
    }

    fn count(&mut self, operation: Operation, now: Time) {
        let route = ROUTES[operation.rank];
        let outcome = &mut self.outcomes[operation.rank];
        let took = now.saturating_since(operation.arrived);
        if took <= route.timeout {
            outcome.served += 1;
            if outcome.last_served > Time::ZERO {
                outcome.longest_gap = outcome.longest_gap.max(now.saturating_since(outcome.last_served));
            }
            outcome.last_served = now;
        }
        outcome.in_target += u32::from(took <= route.target);
    }

    fn on_refusal(&mut self, instance: usize, operation: Operation, now: Time) {
        let class = PriorityClass::from_rank(operation.rank);
        let state = &mut self.instances[instance];
        let in_flight = state.in_flight;
        state.in_flight -= 1;
        let may_retry = match self.policy {
            Policy::Shared => {
                state.health.on_overloaded(in_flight, now, &mut self.rng);
                state.retries.try_withdraw()
            }
            Policy::ByRank => {
                state.yielding.on_overloaded(class, in_flight, now, &mut self.rng);
                state.retries.try_withdraw_for(class)
            }
        };
        if may_retry {
            self.enqueue(instance, operation, now);
        } else {
            self.refuse(operation, now);
        }
    }

    fn refuse(&mut self, mut operation: Operation, now: Time) {
        let retry_at = now + CALLER_RETRY_DELAY;
        if operation.attempts < CALLER_RETRIES && retry_at < operation.deadline() {
            operation.attempts += 1;
            self.at(retry_at, Event::Caller(operation));
        }
    }

    fn enqueue(&mut self, instance: usize, operation: Operation, now: Time) {
        let class = PriorityClass::from_rank(operation.rank);
        let deadline = connection_wait_deadline(operation.deadline(), now);
        let state = &mut self.instances[instance];
        state.retries.deposit();
        let pause_until = match self.policy {
            Policy::Shared => state.health.overload_pause_until(),
            Policy::ByRank => state.yielding.pause_until(class),
        };
        let request = QueuedRequest {
            organisation: Arc::from("zoo"),
            weight: 1,
            class,
            deadline,
        };
        if pause_until >= deadline || state.queue.push(request, operation, now).is_err() {
            self.refuse(operation, now);
        }
        self.dispatch(instance, now);
    }

    fn dispatch(&mut self, instance: usize, now: Time) {
        let dropped = self.instances[instance].queue.take_dropped(now);
        for (operation, _) in dropped {
            self.refuse(operation, now);
        }
        loop {
            let state = &mut self.instances[instance];
            if state.in_flight >= MAX_OPEN {
                return;
            }
            let next = match self.policy {
                Policy::Shared if state.health.allows_request(state.in_flight, now) => state.queue.pop(now),
                Policy::Shared => None,
                Policy::ByRank => {
                    let (yielding, in_flight) = (&state.yielding, state.in_flight);
                    state
                        .queue
                        .pop_urgent(now, |class| yielding.allows(class, in_flight, now))
                }
            };
            let Some((_, mut operation)) = next else {
                return;
            };
            operation.sent = now;
            state.in_flight += 1;
            self.at(now + ONE_WAY, Event::AtServer(instance, operation));
        }
    }
}

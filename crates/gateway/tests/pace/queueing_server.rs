//! A server with 4 slots and 32 queue places, and a replay of a fleet that sends it what has piled up.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;
use wasabiyard_gateway::traffic::{PaceShare, ServerHealth, ServerPace};
use wasabiyard_model::Time;

const SLOTS: usize = 4;
const QUEUE_PLACES: usize = 32;
/// Time for which a statement may wait at its instance.
const MAX_WAIT: Duration = Duration::from_millis(320);
/// Statements a second of one instance, in bursts of [`BURST`].
const RATE: f64 = 1.4;
const BURST: usize = 3;
const STEP: Duration = Duration::from_millis(1);

/// Time for which a new connection occupies a slot. Each attempt opens one, also if its statement is then refused.
const CONNECT_TIME: Duration = Duration::from_millis(12);

/// A statement of an instance.
#[derive(Debug, Clone, Copy)]
struct Sent {
    from: usize,
    at: Time,
}

/// Connections and statements that occupy slots or wait for one.
#[derive(Debug)]
pub struct QueueingServer {
    service_time: Duration,
    /// When each slot is free again, what runs there, and whether it is a connection that is being opened.
    running: Vec<(Time, Sent, bool)>,
    connecting: VecDeque<Sent>,
    queue: VecDeque<Sent>,
}

impl QueueingServer {
    pub const fn new(service_time: Duration) -> Self {
        Self {
            service_time,
            running: Vec::new(),
            connecting: VecDeque::new(),
            queue: VecDeque::new(),
        }
    }

    /// Runs until `now`. Returns the statements that ended, and whether they were served.
    fn run(&mut self, now: Time) -> Vec<(Sent, bool)> {
        let mut ended = Vec::new();
        for (_, sent, connected) in self.running.extract_if(.., |(end, ..)| *end <= now) {
            if !connected {
                ended.push((sent, true));
            } else if self.queue.len() < QUEUE_PLACES {
                self.queue.push_back(sent);
            } else {
                ended.push((sent, false));
            }
        }
        while self.running.len() < SLOTS {
            let next = self
                .connecting
                .pop_front()
                .map(|sent| (now + CONNECT_TIME, sent, true));
            let statement = || {
                self.queue
                    .pop_front()
                    .map(|sent| (now + self.service_time, sent, false))
            };
            let Some(next) = next.or_else(statement) else {
                break;
            };
            self.running.push(next);
        }
        ended
    }
}

/// What became of the statements.
#[derive(Debug, Default)]
pub struct Replayed {
    pub served: u32,
    pub refused: u32,
    /// Part of the time of the slots that was unused while statements waited.
    pub idle_fraction: f64,
    /// Instances whose pace is limited at the end.
    pub still_limited: usize,
}

/// An instance with statements that wait for the server, by the times since when they do.
#[derive(Debug, Clone)]
struct Instance {
    health: ServerHealth,
    pace: ServerPace,
    waiting: VecDeque<Time>,
    in_flight: u32,
}

/// Lets `instances` instances, each with [`BURST`] statements waiting, begin to send at `start`, when the server starts.
pub fn replay(
    mut server: QueueingServer,
    instances: usize,
    paced: bool,
    start: Time,
    end: Time,
    seed: u64,
) -> Replayed {
    let mut rng = SmallRng::seed_from_u64(seed);
    let share = PaceShare {
        capacity: SLOTS as u32,
        instances,
        senders: instances,
        warmup_left: Duration::ZERO,
    };
    let instance = Instance {
        health: ServerHealth::default(),
        pace: ServerPace::new(share),
        waiting: [start; BURST].into(),
        in_flight: 0,
    };
    let mut fleet = vec![instance; instances];
    for instance in fleet.iter_mut().filter(|_| paced) {
        instance.pace.on_started(start, &mut rng);
    }
    let (mut result, mut now, mut idle, mut total) = (Replayed::default(), start, 0, 0);
    while now < end {
        for (sent, served) in server.run(now) {
            let instance = &mut fleet[sent.from];
            if served {
                instance.health.on_answer(now);
                instance
                    .pace
                    .on_answer(now.saturating_since(sent.at), now, &mut rng);
                result.served += 1;
            } else {
                // The statement waits again at its instance, for half as long.
                instance.health.on_overloaded(instance.in_flight, now, &mut rng);
                instance.pace.on_overloaded(now);
                instance.waiting.push_front(now - MAX_WAIT / 2);
                result.refused += 1;
            }
            instance.in_flight -= 1;
        }
        for (from, instance) in fleet.iter_mut().enumerate() {
            if rng.random_bool(RATE / BURST as f64 * STEP.as_secs_f64()) {
                instance.waiting.extend([now; BURST]);
            }
            instance
                .waiting
                .retain(|since| now.saturating_since(*since) < MAX_WAIT);
            while !instance.waiting.is_empty()
                && instance.health.allows_request(instance.in_flight, now)
                && instance.pace.allows_statement(now)
            {
                instance.waiting.pop_front();
                instance.pace.on_sent(now);
                instance.in_flight += 1;
                server.connecting.push_back(Sent { from, at: now });
            }
            instance.pace.end_if_due(now);
        }
        if fleet.iter().any(|i| !i.waiting.is_empty()) {
            idle += SLOTS - server.running.len();
            total += SLOTS;
        }
        now = now + STEP;
    }
    result.idle_fraction = f64::from(idle as u32) / f64::from(total.max(1) as u32);
    result.still_limited = fleet.iter().filter(|i| i.pace.is_limited()).count();
    result
}

//! How the priority classes yield at a backend server that refuses work as overloaded.
//!
//! Load: 85 instances send to a server with 4 slots and a queue of 32, each less than one statement a second. None sees
//! the traffic of the others, and at any time most have nothing in flight there, so limits on the statements in flight
//! hardly act. What an instance learns from a refusal is therefore a pause, which is longer for less urgent classes. A
//! refusal of a less urgent statement delays more urgent ones only briefly. Their answers do not end the pauses of less
//! urgent classes, whose own attempts after a pause do.
//!
//! A full queue of 32 statements alone takes longer than the target of the most urgent route. So the less urgent classes
//! also yield when answers show that statements wait at the server for longer than that route can bear.
//!
//! Used where [`OverloadOrder::ByRank`](crate::OverloadOrder) applies; elsewhere
//! [`ServerHealth`](super::ServerHealth) delays all classes alike.

use rand::Rng;
use std::time::Duration;
use wasabiyard_model::{PriorityClass, Time};

/// Pause of the second class after one refusal; doubled with each further one. An instance has about one statement a
/// second for a server, so much shorter pauses seldom meet one.
const INITIAL_PAUSE: Duration = Duration::from_millis(120);
/// Upper bound of the pauses of the most urgent class. A statement may wait 320 ms of a timeout of 800 ms, so it outlasts
/// two of them.
const MAX_MOST_URGENT_PAUSE: Duration = Duration::from_millis(120);
/// Upper bound of the pause of the second class, and with it of the attempts of a fleet.
const MAX_SECOND_PAUSE: Duration = Duration::from_millis(2_400);
/// Upper bound of the pauses of the other classes.
const MAX_LATER_PAUSE: Duration = Duration::from_millis(4_800);
/// Ratio of the pause of a class to that of the next more urgent one.
const PAUSE_RATIO: u32 = 4;
/// Fraction of a pause that is random, so that the instances of a fleet do not return at the same moment.
const PAUSE_JITTER: f64 = 0.5;
/// Factor on the statements in flight after a refusal.
const IN_FLIGHT_DECREASE: f64 = 0.5;
/// Factor on a class's part of the statements in flight from rank to rank.
const IN_FLIGHT_PART: f64 = 0.5;
/// Largest number of doublings of a pause, above which all are at their bound.
const MAX_LEVEL: u32 = 8;
/// Shortest time of an answer that is assumed of a server before it is known, also of one that is overloaded from the
/// start.
const INITIAL_SHORTEST: Duration = Duration::from_millis(20);
/// Time for which the shortest time of an answer is remembered. A server that has become slow is judged by its new times
/// from then on.
const SHORTEST_LIFETIME: Duration = Duration::from_mins(1);
/// Time after a refusal or a long wait for which the server counts as strained.
const STRAIN_PERIOD: Duration = Duration::from_secs(2);

/// The pause of one class.
#[derive(Debug, Clone, Copy, Default)]
struct ClassPause {
    /// Refusals of this class and of more urgent ones, less answers of this class and of less urgent ones.
    level: u32,
    until: Time,
    /// When the class gets a turn however often other classes extend its pause. Set when the pause begins, `None` after a
    /// statement of the class itself was answered or refused.
    turn_at: Option<Time>,
}

impl ClassPause {
    fn extend(&mut self, until: Time, longest: Duration, now: Time) {
        let turn_at = *self.turn_at.get_or_insert(now + longest);
        self.until = self.until.max(until).min(turn_at);
    }

    fn on_answer(&mut self) {
        *self = Self {
            level: self.level.saturating_sub(1),
            ..Self::default()
        };
    }
}

/// Pauses and limits of the classes at one server.
#[derive(Debug, Clone)]
pub struct OverloadYield {
    pauses: [ClassPause; PriorityClass::COUNT],
    /// Statements of this instance that may be in flight, infinite until the server refuses one.
    in_flight_limit: f64,
    /// Shortest time of an answer lately, and when it was measured.
    shortest: Duration,
    shortest_at: Time,
    /// When the server last refused a statement or let one wait for too long.
    strained_at: Option<Time>,
}

impl Default for OverloadYield {
    fn default() -> Self {
        Self {
            pauses: [ClassPause::default(); PriorityClass::COUNT],
            in_flight_limit: f64::INFINITY,
            shortest: INITIAL_SHORTEST,
            shortest_at: Time::ZERO,
            strained_at: None,
        }
    }
}

impl OverloadYield {
    /// How many of `max_open` connections statements of `class` may use.
    pub fn limit_connections(&self, class: PriorityClass, max_open: u32) -> u32 {
        f64::from(max_open).min(self.class_limit(class)) as u32
    }

    /// Statements of this instance that may be in flight before one of `class` starts; infinite until the server refuses
    /// one.
    fn class_limit(&self, class: PriorityClass) -> f64 {
        let part = IN_FLIGHT_PART.powi(class.rank() as i32);
        (self.in_flight_limit * part).max(1.0)
    }

    /// Whether the server may get a statement of `class` at `now`, besides `in_flight` ones.
    pub fn allows(&self, class: PriorityClass, in_flight: u32, now: Time) -> bool {
        f64::from(in_flight) < self.class_limit(class) && now >= self.pause_until(class)
    }

    /// When the pause of a class ends. Not before that of a more urgent class, unless the class has had no turn for as long
    /// as a pause may take.
    pub const fn pause_until(&self, class: PriorityClass) -> Time {
        self.pauses[class.rank()].until
    }

    /// Whether the server has refused work lately, or has let it wait for too long.
    pub fn is_strained(&self, now: Time) -> bool {
        self.strained_at
            .is_some_and(|at| now.saturating_since(at) < STRAIN_PERIOD)
    }

    /// Records the answer to a statement of `class` after `took`. It ends the pauses of this class and of more urgent ones.
    /// When it took longer than the server's shortest time by more than `tolerance`, which the most urgent class can bear,
    /// the other classes yield as after a refusal.
    pub fn on_answer<R>(
        &mut self,
        class: PriorityClass,
        took: Duration,
        tolerance: Duration,
        now: Time,
        rng: &mut R,
    ) where
        R: Rng,
    {
        let is_outdated = now.saturating_since(self.shortest_at) > SHORTEST_LIFETIME;
        if is_outdated || took <= self.shortest {
            self.shortest = took;
            self.shortest_at = now;
        }
        if took > self.shortest + tolerance {
            self.pauses[0].on_answer();
            self.pauses[class.rank()].turn_at = None;
            self.yield_from(PriorityClass::from_rank(1), now, rng);
            return;
        }
        if self.pauses[0].level == 0 {
            self.in_flight_limit += 1.0 / self.in_flight_limit;
        }
        for pause in &mut self.pauses[..=class.rank()] {
            pause.on_answer();
        }
    }

    /// Records that the server refused a statement of `class` while `in_flight` were there, itself included.
    pub fn on_overloaded<R>(&mut self, class: PriorityClass, in_flight: u32, now: Time, rng: &mut R)
    where
        R: Rng,
    {
        let limit = self.in_flight_limit.min(f64::from(in_flight.max(1)));
        self.in_flight_limit = (limit * IN_FLIGHT_DECREASE).max(1.0);
        for urgent in PriorityClass::all().take_while(|c| *c < class) {
            // A refused statement of a less urgent class says little of what the server does with this one.
            let until = now + jittered(pause_at(urgent, 0), rng);
            self.pauses[urgent.rank()].extend(until, longest_pause(urgent), now);
        }
        self.pauses[class.rank()].turn_at = None;
        self.yield_from(class, now, rng);
    }

    /// Raises the levels of `class` and of less urgent ones, and extends their pauses.
    fn yield_from<R>(&mut self, class: PriorityClass, now: Time, rng: &mut R)
    where
        R: Rng,
    {
        self.strained_at = Some(now);
        let mut until = Time::ZERO;
        for yielding in PriorityClass::all().skip(class.rank()) {
            let pause = &mut self.pauses[yielding.rank()];
            pause.level = (pause.level + 1).min(MAX_LEVEL);
            until = until.max(now + jittered(pause_at(yielding, pause.level), rng));
            pause.extend(until, longest_pause(yielding), now);
            until = until.max(pause.until);
        }
    }
}

/// Pause of a class at a level, before its jitter.
fn pause_at(class: PriorityClass, level: u32) -> Duration {
    let second = INITIAL_PAUSE * (1 << level);
    let pause = match class.rank() {
        0 => second / PAUSE_RATIO,
        rank => second.saturating_mul(PAUSE_RATIO.saturating_pow(rank as u32 - 1)),
    };
    pause.min(longest_pause(class))
}

const fn longest_pause(class: PriorityClass) -> Duration {
    match class.rank() {
        0 => MAX_MOST_URGENT_PAUSE,
        1 => MAX_SECOND_PAUSE,
        _ => MAX_LATER_PAUSE,
    }
}

fn jittered<R>(pause: Duration, rng: &mut R) -> Duration
where
    R: Rng,
{
    pause.mul_f64(1.0 - PAUSE_JITTER * rng.random::<f64>())
}

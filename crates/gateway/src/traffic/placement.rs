//! Which backend server runs a statement.

use rand::Rng;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Time};

/// Weight of the primary for reads that a replica could serve: only it can run writes, and its latency is that of
/// shorter statements.
const PRIMARY_PENALTY: f64 = 3.0;
/// Weight of a server in another failure domain.
const REMOTE_PENALTY: f64 = 1.05;
/// Random part of a score, so that instances with the same knowledge do not choose the same server.
const JITTER: f64 = 0.15;
/// Cost of a new connection, as a part of a statement's usual latency.
const CONNECT_PENALTY: f64 = 0.5;
/// Lag that a replica is assumed to have before it was measured.
const INITIAL_LAG: Duration = Duration::from_millis(80);
/// Longest lag that is assumed.
const MAX_LAG: Duration = Duration::from_secs(5);
/// An estimate that was raised by a refusal halves in this time, so that a replica that has caught up is asked again.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// What is known of a server when a statement is placed.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts of one server")]
pub struct Candidate {
    /// Whether it is the primary.
    pub primary: bool,
    /// Whether it is in the failure domain of this instance.
    pub local: bool,
    /// Smoothed time of a statement.
    pub latency: Duration,
    /// Statements of this instance that it runs now.
    pub running: u32,
    /// Whether an idle connection of the organisation exists.
    pub connected: bool,
    /// Whether a connection can be had without waiting.
    pub available: bool,
    /// Whether it is expected to hold the log point that the statement needs.
    pub holds_point: bool,
}

/// Index of the best candidate that can start the statement now, `None` when there is none.
pub fn choose<R>(candidates: &[Candidate], rng: &mut R) -> Option<usize>
where
    R: Rng,
{
    let available = candidates.iter().enumerate().filter(|(_, c)| c.available);
    let scored = available.map(|(i, c)| (i, score(c) * (1.0 + JITTER * rng.random::<f64>())));
    scored.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
}

fn score(c: &Candidate) -> f64 {
    let latency = c.latency.as_secs_f64().max(0.001);
    let mut score = latency * (1.0 + f64::from(c.running));
    if c.primary {
        score *= PRIMARY_PENALTY;
    }
    if !c.local {
        score *= REMOTE_PENALTY;
    }
    if !c.connected {
        score += latency * CONNECT_PENALTY;
    }
    if !c.holds_point {
        // It would refuse, which costs a round trip, and the statement would start anew elsewhere.
        score += 10.0;
    }
    score
}

/// Estimates how far a replica is behind, from what it refused and what it served.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaLag {
    estimate: Duration,
    refused: Time,
}

impl Default for ReplicaLag {
    fn default() -> Self {
        Self {
            estimate: INITIAL_LAG,
            refused: Time::ZERO,
        }
    }
}

impl ReplicaLag {
    /// Whether a replica that was seen at `applied` is expected to hold `point`, which the primary reached at `reached`.
    pub fn expects(
        &self,
        applied: Option<LogPoint>,
        point: LogPoint,
        reached: Option<Time>,
        now: Time,
    ) -> bool {
        applied.is_some_and(|a| a >= point)
            || reached.is_some_and(|reached| now.saturating_since(reached) > self.estimate_at(now))
    }

    /// The replica refused a point that was `age` old.
    pub fn on_refused(&mut self, age: Duration, now: Time) {
        self.estimate = (self.estimate_at(now).max(age) * 5 / 4).min(MAX_LAG);
        self.refused = now;
    }

    fn estimate_at(&self, now: Time) -> Duration {
        let halvings = now.saturating_since(self.refused).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let faded = self.estimate.mul_f64((-halvings).exp2());
        faded.max(self.estimate.min(INITIAL_LAG))
    }

    /// The replica served a point that it had not been seen to hold, and that was `age` old.
    pub fn on_served(&mut self, age: Duration) {
        if age < self.estimate {
            self.estimate = self.estimate * 7 / 8 + age / 8;
        }
    }
}

//! Choice of the backend server that runs a read, by a latency score; the lowest score wins.

use rand::Rng;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Time};

/// Factor on the primary's score for reads that a replica could serve. Only the primary can run writes, and its
/// smoothed latency is that of shorter statements.
const PRIMARY_SCORE_FACTOR: f64 = 3.0;
/// Factor on the score of a server in another failure domain.
const REMOTE_SCORE_FACTOR: f64 = 1.05;
/// Cost of a statement that leaves the region, in addition to its time, as a multiple of the longer round trip. What crosses
/// between regions also costs bytes, so a server there must be faster by this much.
const CROSSING_COST_FACTOR: f64 = 4.0;
/// Largest random increase of a score, as a fraction of it, so that instances with the same information do not all
/// choose the same server.
const SCORE_JITTER: f64 = 0.15;
/// Cost of opening a connection, as a fraction of the server's smoothed latency.
const CONNECT_COST_FACTOR: f64 = 0.5;
/// Estimated lag of a replica before the first observation, and lower bound of the decay of a raised estimate.
const INITIAL_LAG: Duration = Duration::from_millis(80);
/// Upper bound of the estimated lag.
const MAX_LAG: Duration = Duration::from_secs(5);
/// Half-life of an estimate that a refusal raised. Without the decay, a replica that has caught up would get no
/// reads, and nothing could lower its estimate.
const LAG_HALF_LIFE: Duration = Duration::from_millis(500);

/// What this instance knows of a server when it places a statement.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts of one server")]
pub struct Candidate {
    /// Whether the server is the primary.
    pub primary: bool,
    /// Whether it is in the failure domain of this instance.
    pub local: bool,
    /// How much longer a round trip to the server takes than one within the region of this instance; zero if there is only
    /// one region.
    pub distance: Duration,
    /// Smoothed latency of statements at the server.
    pub latency: Duration,
    /// Connections of this instance to the server that are leased or being opened.
    pub running: u32,
    /// Whether the pool has an idle connection of the statement's organisation.
    pub has_idle_connection: bool,
    /// Whether a connection can be leased without waiting.
    pub available: bool,
    /// Whether the server's log is expected to have reached the log point that the statement requires.
    pub holds_point: bool,
}

/// Index of the available candidate with the lowest score, `None` when no candidate is available.
pub fn choose_server<R>(candidates: &[Candidate], rng: &mut R) -> Option<usize>
where
    R: Rng,
{
    let available = candidates.iter().enumerate().filter(|(_, c)| c.available);
    let scored = available.map(|(i, c)| (i, score(c) * (1.0 + SCORE_JITTER * rng.random::<f64>())));
    scored.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
}

fn score(c: &Candidate) -> f64 {
    let latency = c.latency.as_secs_f64().max(0.001);
    let mut score = latency * (1.0 + f64::from(c.running));
    if c.primary {
        score *= PRIMARY_SCORE_FACTOR;
    }
    if !c.local {
        score *= REMOTE_SCORE_FACTOR;
    }
    if !c.has_idle_connection {
        score += latency * CONNECT_COST_FACTOR;
    }
    // The smoothed latency contains the round trip once.
    score += c.distance.as_secs_f64() * CROSSING_COST_FACTOR;
    if !c.holds_point {
        // The server would refuse the statement, which costs a round trip before it is placed again. Scores are
        // in seconds and usually far below this constant, so such a server is the last choice.
        score += 10.0;
    }
    score
}

/// Estimate of a replica's lag behind the primary, from the log points that the replica refused and served.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaLag {
    estimate: Duration,
    /// When the replica last refused a log point.
    refused_at: Time,
}

impl Default for ReplicaLag {
    fn default() -> Self {
        Self {
            estimate: INITIAL_LAG,
            refused_at: Time::ZERO,
        }
    }
}

impl ReplicaLag {
    /// Whether a replica whose last reported log point is `applied` is expected to have reached `point`. The primary
    /// reached `point` at `reached`, `None` when that is unknown.
    pub fn expects_point(
        &self,
        applied: Option<LogPoint>,
        point: LogPoint,
        reached: Option<Time>,
        now: Time,
    ) -> bool {
        applied.is_some_and(|a| a >= point)
            || reached.is_some_and(|reached| now.saturating_since(reached) > self.estimate_at(now))
    }

    /// When the replica is expected to have reached a log point that the primary reached at `reached`.
    pub fn expected_at(&self, reached: Time, now: Time) -> Time {
        reached + self.estimate_at(now)
    }

    /// Raises the estimate: the replica refused a log point that the primary had reached `age` ago.
    pub fn on_refused(&mut self, age: Duration, now: Time) {
        self.estimate = (self.estimate_at(now).max(age) * 5 / 4).min(MAX_LAG);
        self.refused_at = now;
    }

    fn estimate_at(&self, now: Time) -> Duration {
        let halvings = now.saturating_since(self.refused_at).as_secs_f64() / LAG_HALF_LIFE.as_secs_f64();
        let decayed = self.estimate.mul_f64((-halvings).exp2());
        decayed.max(self.estimate.min(INITIAL_LAG))
    }

    /// Lowers the estimate gradually: the replica served a log point that the primary had reached `age` ago.
    pub fn on_served(&mut self, age: Duration) {
        if age < self.estimate {
            self.estimate = self.estimate * 7 / 8 + age / 8;
        }
    }
}

//! The order in which slots are tried for a read.

use rand::Rng;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Slot, Time};

/// Most replicas asked before the primary. Each costs up to [`MAX_REPLICA_WAIT`] of the caller's time.
const MAX_REPLICA_ATTEMPTS: usize = 2;
/// Longest wait on one replica for the position.
const MAX_REPLICA_WAIT: Duration = Duration::from_millis(50);

/// What the home knows of a slot when it plans a read. Only a hint: the slot still has to prove its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadCandidate {
    /// The slot.
    pub slot: Slot,
    /// Whether it is the primary.
    pub primary: bool,
    /// Whether it may get new work: in service, not leaving, and connections can be made.
    pub in_service: bool,
    /// Last point that it was seen to have applied.
    pub applied: LogPoint,
    /// Connections that are free or may be opened.
    pub free_connections: u32,
}

/// One attempt at a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadAttempt {
    /// Ask a replica to prove `point` within `wait` and use its answer only then.
    Replica {
        /// The replica.
        slot: Slot,
        /// What it must prove.
        point: LogPoint,
        /// Longest wait.
        wait: Duration,
    },
    /// Read from the slot that is believed to be the primary. It has to prove `point` too, if there is one, because it
    /// may have been deposed without the home's knowledge.
    Primary {
        /// The believed primary.
        slot: Slot,
        /// What it must prove.
        point: Option<LogPoint>,
    },
}

/// The steps of one read, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadPlan {
    attempts: Vec<ReadAttempt>,
}

impl ReadPlan {
    /// Plans a read that must see `point`. Without a point (a session that is known only by its name) the primary
    /// serves it. Empty when no slot may be used before `deadline`.
    pub fn new<R>(
        slots: &[ReadCandidate],
        point: Option<LogPoint>,
        deadline: Time,
        now: Time,
        rng: &mut R,
    ) -> Self
    where
        R: Rng,
    {
        let left = deadline.saturating_since(now);
        if left.is_zero() {
            return Self::default();
        }
        let mut attempts = match point {
            Some(point) => replica_attempts(slots, point, left, rng),
            None => Vec::new(),
        };
        let primary = slots.iter().find(|s| s.primary && s.in_service);
        attempts.extend(primary.map(|s| ReadAttempt::Primary { slot: s.slot, point }));
        Self { attempts }
    }

    /// The steps, first one first.
    pub fn attempts(&self) -> &[ReadAttempt] {
        &self.attempts
    }
}

/// Replicas that were seen to hold the point come first, then those closest to it. Ties are broken at random, weighted
/// by free connections, so that load spreads.
fn replica_attempts<R>(
    slots: &[ReadCandidate],
    point: LogPoint,
    left: Duration,
    rng: &mut R,
) -> Vec<ReadAttempt>
where
    R: Rng,
{
    // Half of the time that is left stays for the primary.
    let wait = MAX_REPLICA_WAIT.min(left / 2 / MAX_REPLICA_ATTEMPTS as u32);
    let mut replicas: Vec<_> = slots
        .iter()
        .filter(|s| !s.primary && s.in_service)
        .map(|s| {
            (
                s.applied < point,
                s.applied.min(point),
                rng.random_range(0..=s.free_connections),
                s,
            )
        })
        .collect();
    replicas.sort_by(|a, b| (a.0, b.1, b.2).cmp(&(b.0, a.1, a.2)));
    replicas
        .into_iter()
        .take(MAX_REPLICA_ATTEMPTS)
        .map(|(_, _, _, s)| ReadAttempt::Replica {
            slot: s.slot,
            point,
            wait,
        })
        .collect()
}

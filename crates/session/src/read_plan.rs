//! The order in which slots are tried for a read.

use rand::Rng;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Slot, Time};

/// Maximum number of replicas tried before the primary. Each one can delay the read by up to [`MAX_REPLICA_WAIT`].
const MAX_REPLICA_ATTEMPTS: usize = 2;
/// Maximum time to wait for one replica to reach the required point.
const MAX_REPLICA_WAIT: Duration = Duration::from_millis(50);

/// What the home of a database (the instance that holds the connections to its slots) knows about a slot when it plans
/// a read. The information can be outdated, so a slot has to prove its position before it serves the read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadCandidate {
    /// The slot.
    pub slot: Slot,
    /// Whether the home believes it to be the primary.
    pub primary: bool,
    /// Whether it accepts new requests: it is in service, not leaving, and connections to it can be established.
    pub in_service: bool,
    /// The last point that it reported as applied.
    pub applied: LogPoint,
    /// Number of connections that are idle or may still be opened. Weights the random choice among equal replicas.
    pub free_connections: u32,
}

/// One attempt to serve a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadAttempt {
    /// Read from a replica, provided that it proves `point` within `wait`.
    Replica {
        /// The replica.
        slot: Slot,
        /// The point that it must prove to hold.
        point: LogPoint,
        /// Maximum time to wait for the proof.
        wait: Duration,
    },
    /// Read from the slot that the home believes to be the primary. It must prove `point` as well, if there is one,
    /// because it may have been deposed without the home's knowledge.
    Primary {
        /// The slot that is believed to be the primary.
        slot: Slot,
        /// The point that it must prove to hold, if any.
        point: Option<LogPoint>,
    },
}

/// The attempts for one read, in the order in which they are made.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadPlan {
    attempts: Vec<ReadAttempt>,
}

impl ReadPlan {
    /// Plans a read that must see `point`. Without a point, as when only the session id is known, the plan contains
    /// only the primary. The plan is empty when `deadline` has passed or no suitable slot is in service.
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
        let remaining = deadline.saturating_since(now);
        if remaining.is_zero() {
            return Self::default();
        }
        let mut attempts = match point {
            Some(point) => replica_attempts(slots, point, remaining, rng),
            None => Vec::new(),
        };
        let primary = slots.iter().find(|s| s.primary && s.in_service);
        attempts.extend(primary.map(|s| ReadAttempt::Primary { slot: s.slot, point }));
        Self { attempts }
    }

    /// The attempts, in order.
    pub fn attempts(&self) -> &[ReadAttempt] {
        &self.attempts
    }
}

/// Orders the replicas: first those known to have applied the point, then those closest to it. Ties are broken at
/// random, weighted by free connections, to spread the load.
fn replica_attempts<R>(
    slots: &[ReadCandidate],
    point: LogPoint,
    remaining: Duration,
    rng: &mut R,
) -> Vec<ReadAttempt>
where
    R: Rng,
{
    // Half of the remaining time is reserved for the primary.
    let wait = MAX_REPLICA_WAIT.min(remaining / 2 / MAX_REPLICA_ATTEMPTS as u32);
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

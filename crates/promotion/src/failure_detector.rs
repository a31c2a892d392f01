//! Failure detector for the primary of a group.

use std::time::Duration;
use wasabiyard_model::{LogPoint, Slot, Term, Time};

/// A primary that has not answered for this long is suspected. This tolerates the pause of a virtual machine and takes
/// a third of the time within which a promotion should be complete.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A primary that answers, but whose commits reach no majority for this long, is considered cut off from the other
/// slots. This is longer than the usual replication lag, and short enough for a promotion within the limit for a
/// change of primary.
const COMMIT_STALL_TIMEOUT: Duration = Duration::from_secs(4);
/// `COMMIT_STALL_TIMEOUT` doubles with each change of primary that leaves a commit pending, at most this many times,
/// until a commit is acknowledged. A promotion does not help when several slots are cut off from each other.
const MAX_STALL_DOUBLINGS: u32 = 4;

/// Why the primary should be replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// It has not answered for a while and a new connection to it failed, or no primary has been in effect for as long.
    Silent,
    /// This slot answers, but its commits have not reached a majority for a while.
    Isolated(Slot),
}

/// Observes the primary in effect, or how long there has been none.
#[derive(Debug, Clone)]
pub struct FailureDetector {
    /// The primary in effect, as last set; `None` while there is none.
    observed_primary: Option<(Slot, Term)>,
    /// When that primary last answered, or when it was set.
    last_answer: Time,
    /// Whether a new connection to that primary has failed since its last answer.
    connect_failed: bool,
    /// The oldest commit that no majority is known to have received, and when the wait for it began.
    pending_commit: Option<(LogPoint, Time)>,
    /// Number of changes of primary that left a commit pending, since the last acknowledged commit.
    stalls: u32,
}

impl FailureDetector {
    /// Creates a detector that observes no primary yet.
    pub const fn new(now: Time) -> Self {
        Self {
            observed_primary: None,
            last_answer: now,
            connect_failed: false,
            pending_commit: None,
            stalls: 0,
        }
    }

    /// Sets the primary in effect. A change restarts all timeouts.
    pub fn set_primary(&mut self, primary: Option<(Slot, Term)>, now: Time) {
        if self.observed_primary != primary {
            *self = Self {
                observed_primary: primary,
                stalls: self.stalls + u32::from(self.pending_commit.is_some()),
                ..Self::new(now)
            };
        }
    }

    /// Records that a slot answered.
    pub fn record_response(&mut self, slot: Slot, now: Time) {
        if self
            .observed_primary
            .is_some_and(|(observed, _)| observed == slot)
        {
            self.last_answer = self.last_answer.max(now);
            self.connect_failed = false;
        }
    }

    /// Records that a new connection to a slot failed.
    pub fn record_failed_connect(&mut self, slot: Slot) {
        self.connect_failed |= self
            .observed_primary
            .is_some_and(|(observed, _)| observed == slot);
    }

    /// Records a commit that has to reach a majority. Ignored while an earlier one is pending.
    pub fn record_pending_commit(&mut self, point: LogPoint, now: Time) {
        self.pending_commit.get_or_insert((point, now));
    }

    /// The pending commit, if there is one.
    pub fn pending_commit(&self) -> Option<LogPoint> {
        self.pending_commit.map(|(point, _)| point)
    }

    /// Records that a majority received the commits of the primary.
    pub const fn record_acknowledgement(&mut self) {
        self.pending_commit = None;
        self.stalls = 0;
    }

    /// Why the primary should be replaced, or `None` while it is healthy.
    pub fn suspicion(&self, now: Time) -> Option<Suspicion> {
        let silent = now.saturating_since(self.last_answer) >= SILENCE_TIMEOUT;
        if silent && (self.connect_failed || self.observed_primary.is_none()) {
            return Some(Suspicion::Silent);
        }
        let (_, since) = self.pending_commit?;
        let timeout = COMMIT_STALL_TIMEOUT * (1 << self.stalls.min(MAX_STALL_DOUBLINGS));
        let (slot, _) = self.observed_primary?;
        (now.saturating_since(since) >= timeout).then_some(Suspicion::Isolated(slot))
    }
}

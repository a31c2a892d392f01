//! Revisions that the store had reached at known times.
//!
//! A linearizable call proves that the store was at the revision of its response no earlier than when the call was sent.
//! Whatever reflects that revision or a later one is therefore as recent as that call, even when it was read from a
//! replica of the store that may lag.

use std::collections::VecDeque;
use std::time::Duration;
use wasabiyard_model::Time;

/// Most proofs that are kept; the oldest ones are dropped.
const MAX_PROOFS: usize = 16;

/// A revision that the store reached at or after a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionProof {
    /// Revision of the whole store.
    pub revision: u64,
    /// When the linearizable call that reported it was sent.
    pub as_of: Time,
}

/// Proofs in the order of their times, which is also that of their revisions.
#[derive(Debug, Clone, Default)]
pub struct RevisionProofs {
    proofs: VecDeque<RevisionProof>,
}

impl RevisionProofs {
    /// Records the revision that a linearizable call sent at `as_of` reported.
    pub fn add(&mut self, revision: u64, as_of: Time) {
        let implied = |p: &RevisionProof| p.as_of >= as_of && p.revision <= revision;
        if self.proofs.iter().any(implied) {
            return;
        }
        self.proofs.retain(|p| p.as_of > as_of || p.revision < revision);
        let at = self.proofs.partition_point(|p| p.as_of <= as_of);
        self.proofs.insert(at, RevisionProof { revision, as_of });
        if self.proofs.len() > MAX_PROOFS {
            self.proofs.pop_front();
        }
    }

    /// The time as of which data that reflects `revision` is current; `None` when no proof covers it.
    pub fn as_of(&self, revision: u64) -> Option<Time> {
        let covered = self.proofs.iter().rev().find(|p| p.revision <= revision);
        covered.map(|p| p.as_of)
    }

    /// The newest proof, if it is at most `max_age` old.
    pub fn recent(&self, max_age: Duration, now: Time) -> Option<RevisionProof> {
        self.proofs
            .back()
            .copied()
            .filter(|p| now.saturating_since(p.as_of) <= max_age)
    }
}

//! Tracks which commits a majority of the slots holds.

use cranelift_entity::SecondaryMap;
use wasabiyard_model::{LogPoint, Slot, Term};

/// The smallest number of slots that is more than half of `slots`.
pub const fn majority(slots: usize) -> usize {
    slots / 2 + 1
}

/// The highest log point that each slot confirmed to hold while it was not fenced above the term of that point.
///
/// Once a majority has held a point, the commit stays acknowledged. A confirmation of a later commit also covers the
/// earlier commits of the same term.
#[derive(Debug, Clone)]
pub struct CommitTracker {
    slots: usize,
    confirmed: SecondaryMap<Slot, LogPoint>,
}

impl CommitTracker {
    /// Creates a tracker without confirmations for a group of `slots` slots.
    pub fn new(slots: usize) -> Self {
        assert!(slots > 0, "a group has slots");
        Self {
            slots,
            confirmed: SecondaryMap::new(),
        }
    }

    /// Records that `slot` holds `point` and that `fenced_term` is the highest term it is fenced at. Returns whether
    /// the confirmation counts. That of a slot fenced above the term of `point` does not: the promotion that fenced the
    /// slot may have read the end of its log before the point arrived.
    pub fn confirm(&mut self, slot: Slot, point: LogPoint, fenced_term: Term) -> bool {
        if fenced_term > point.term {
            return false;
        }
        let confirmed = &mut self.confirmed[slot];
        *confirmed = (*confirmed).max(point);
        true
    }

    /// Whether a majority of the slots confirmed the commit `point`.
    pub fn is_acknowledged(&self, point: LogPoint) -> bool {
        self.holders(point) >= majority(self.slots)
    }

    /// Whether `slot` confirmed `point` or a later point of the same term.
    pub fn holds(&self, slot: Slot, point: LogPoint) -> bool {
        let confirmed = self.confirmed[slot];
        confirmed.term == point.term && confirmed.position >= point.position
    }

    fn holders(&self, point: LogPoint) -> usize {
        let holders = self
            .confirmed
            .keys()
            .filter(|slot| self.holds(*slot, point))
            .count();
        assert!(holders <= self.slots, "more holders than slots");
        holders
    }
}

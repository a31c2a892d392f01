//! The latest status report of each slot of a group.

use crate::majority;
use cranelift_entity::{EntityRef, PrimaryMap};
use wasabiyard_model::{LogPoint, Slot, Term, Time};

/// Status that a slot reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotReport {
    /// When the status was requested. The report is at least as recent as that.
    pub requested_at: Time,
    /// Whether the slot considers itself the primary.
    pub primary: bool,
    /// Term of the primary that the slot is or follows.
    pub term: Term,
    /// Highest term that the slot is fenced at.
    pub fenced_term: Term,
    /// End of the received log.
    pub received: LogPoint,
    /// End of the part of the log that reads on this slot see.
    pub applied: LogPoint,
}

/// The latest report of each slot.
#[derive(Debug, Clone)]
pub struct SlotReports {
    reports: PrimaryMap<Slot, Option<SlotReport>>,
}

impl SlotReports {
    /// Creates the table for a group of `slots` slots without any reports.
    pub fn new(slots: usize) -> Self {
        assert!(slots > 0, "a group has slots");
        Self {
            reports: std::iter::repeat_n(None, slots).collect(),
        }
    }

    /// Number of slots in the group.
    pub fn slots(&self) -> usize {
        self.reports.len()
    }

    /// Stores a report unless a later one is known, since reports on different connections can overtake each other.
    /// Returns whether it was stored.
    pub fn record(&mut self, slot: Slot, report: SlotReport) -> bool {
        let last = &mut self.reports[slot];
        let is_newer = last.is_none_or(|l| l.requested_at <= report.requested_at);
        if is_newer {
            *last = Some(report);
        }
        is_newer
    }

    /// The latest report of a slot; `None` before the first one.
    pub fn last(&self, slot: Slot) -> Option<&SlotReport> {
        self.reports[slot].as_ref()
    }

    /// The primary in effect, which is the only slot whose writes can still be acknowledged: the primary of the highest
    /// term, unless a majority of the slots is known to be fenced above that term.
    pub fn primary(&self) -> Option<(Slot, Term)> {
        let primaries = self
            .reported()
            .filter(|(_, r)| r.primary && r.fenced_term <= r.term);
        let (slot, term) = primaries
            .map(|(slot, r)| (slot, r.term))
            .max_by_key(|(_, term)| *term)?;
        let fenced = self.reported().filter(|(_, r)| r.fenced_term > term).count();
        (fenced < majority(self.slots())).then_some((slot, term))
    }

    /// Number of slots whose status was requested at or after `since` and that are not fenced above `term`.
    pub fn not_fenced_since(&self, term: Term, since: Time) -> usize {
        self.reported()
            .filter(|(_, r)| r.requested_at >= since && r.fenced_term <= term)
            .count()
    }

    /// The highest term that any slot has reported, as its own or as a fence.
    pub fn highest_term(&self) -> Term {
        let terms = self.reported().map(|(_, r)| r.term.max(r.fenced_term));
        terms.max().unwrap_or_default()
    }

    /// The slot whose received log ends at the highest point among the slots that `among` accepts, by their latest
    /// reports.
    pub fn most_advanced(&self, among: impl Fn(Slot) -> bool) -> Option<Slot> {
        let reported = self.reported().filter(|(slot, _)| among(*slot));
        reported
            .max_by_key(|(slot, r)| (r.received, std::cmp::Reverse(slot.index())))
            .map(|(slot, _)| slot)
    }

    fn reported(&self) -> impl Iterator<Item = (Slot, &SlotReport)> {
        self.reports
            .iter()
            .filter_map(|(slot, r)| r.as_ref().map(|r| (slot, r)))
    }
}

//! One write of a round document by this process, and what leads to it and follows from it.

use crate::{Call, Holder, RoundDoc, WHOLE_UNITS};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wasabiyard_model::{Time, Version};
use wasabiyard_wire::ShareReport;

const RETRY: Duration = Duration::from_secs(1);

/// How far a reissue is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Creates the document, which issues all units to this process.
    Genesis,
    /// Raises the round.
    Opening,
    /// Waits for a list of the registrations that was read after the round was raised.
    Listing {
        /// The list must have a higher number than this.
        after: u64,
    },
    /// Waits for the reports.
    Collecting,
    /// Closes the round, which issues the missing units to this process.
    Closing,
}

/// A reissue of one bucket that this process runs as steward.
#[derive(Debug)]
pub(crate) struct Reissue {
    pub(crate) stage: Stage,
    pub(crate) doc: RoundDoc,
    pub(crate) expect: Option<Version>,
    pub(crate) retry_at: Time,
    /// Holders that have not reported.
    pub(crate) waiting: BTreeSet<Holder>,
    pub(crate) participants: BTreeSet<Holder>,
    reported: BTreeMap<String, u64>,
    pub(crate) missing: Vec<(String, u32)>,
}

impl Reissue {
    pub(crate) fn new(stage: Stage, doc: RoundDoc, expect: Option<Version>) -> Self {
        Self {
            stage,
            doc,
            expect,
            retry_at: Time::ZERO,
            waiting: BTreeSet::new(),
            participants: BTreeSet::new(),
            reported: BTreeMap::new(),
            missing: Vec::new(),
        }
    }

    /// Whether a write is under way whose outcome decides.
    pub(crate) fn is_writing(&self) -> bool {
        matches!(self.stage, Stage::Genesis | Stage::Opening | Stage::Closing)
    }

    /// The write, when it is due or due again. Repeating it is safe: all copies have the same condition.
    pub(crate) fn write(&mut self, bucket: u16, now: Time) -> Option<Call> {
        let due = self.is_writing() && now >= self.retry_at;
        if due {
            self.retry_at = now + RETRY;
        }
        due.then(|| Call::WriteRound {
            bucket,
            expect: self.expect,
            doc: self.doc.clone(),
        })
    }

    /// Starts to collect from the registered holders that are not proved gone.
    pub(crate) fn collect(&mut self, me: &Holder, holders: &[Holder], gone: &[Holder]) {
        self.stage = Stage::Collecting;
        self.waiting = holders
            .iter()
            .filter(|h| *h != me && !gone.contains(h))
            .cloned()
            .collect();
        self.participants = self.waiting.clone();
        self.doc.gone = gone.to_vec();
    }

    /// Drops holders that were proved gone since, or that left after they gave everything away.
    pub(crate) fn forget_ended(&mut self, holders: &[Holder], gone: &[Holder]) {
        for holder in gone.iter().filter(|h| self.waiting.contains(h)) {
            self.doc.gone.push(holder.clone());
        }
        self.waiting.retain(|h| holders.contains(h) && !gone.contains(h));
    }

    /// Counts a report, once for each holder.
    pub(crate) fn on_report(&mut self, report: &ShareReport) {
        let holder = Holder::new(report.instance.clone(), report.incarnation);
        if self.stage == Stage::Collecting && report.round == self.doc.round && self.waiting.remove(&holder) {
            self.count(report);
        }
    }

    /// All reports are there. Fixes the missing units of the organisations; the own report is counted last, because it
    /// cannot change until the round is closed.
    pub(crate) fn close(&mut self, own: &ShareReport, organisations: &BTreeSet<String>) {
        assert!(self.waiting.is_empty(), "a round closes with every report");
        self.count(own);
        self.stage = Stage::Closing;
        self.doc.closed = true;
        self.doc.issued.extend(organisations.iter().cloned());
        self.doc.issued.sort_unstable();
        self.doc.issued.dedup();
        for name in &self.doc.issued {
            let reported = self.reported.get(name).copied().unwrap_or(0);
            assert!(
                reported <= u64::from(WHOLE_UNITS),
                "more units of {name} are reported than exist"
            );
            let missing = WHOLE_UNITS - reported as u32;
            if missing > 0 {
                self.missing.push((name.clone(), missing));
            }
        }
    }

    fn count(&mut self, report: &ShareReport) {
        for (name, units) in &report.units {
            *self.reported.entry(name.clone()).or_default() += u64::from(*units);
        }
    }
}

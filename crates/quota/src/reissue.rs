//! One reissue of a bucket by this process: the writes of the round document, and the collection of reports between
//! them.

use crate::{Holder, PlatformRequest, RoundDocument, UNITS_PER_ORGANISATION};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wasabiyard_model::{Time, Version};
use wasabiyard_wire::ShareReport;

const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Stage of a reissue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Creates the document, which issues all units to this process.
    InitialIssue,
    /// Writes the document with the next round number, not yet closed.
    OpeningRound,
    /// Waits for a list of the registrations that was read after the new round was written.
    ListingHolders {
        /// The number of the list must be higher than this.
        after: u64,
    },
    /// Waits for the reports of the registered holders.
    CollectingReports,
    /// Writes the closed round, which issues the missing units to this process.
    ClosingRound,
}

/// A reissue of one bucket that this process runs as coordinator.
#[derive(Debug)]
pub(crate) struct Reissue {
    pub(crate) stage: Stage,
    pub(crate) document: RoundDocument,
    /// Version of the stored document that the next write replaces; `None` to create it.
    pub(crate) expected_version: Option<Version>,
    pub(crate) next_write: Time,
    /// Holders that have not reported.
    pub(crate) unreported_holders: BTreeSet<Holder>,
    /// Holders that were asked to report, and are told when the round closes.
    pub(crate) participants: BTreeSet<Holder>,
    /// Sum of the reported units of each organisation.
    reported_units: BTreeMap<String, u64>,
    /// Organisations with the units that no holder reported.
    pub(crate) missing_units: Vec<(String, u32)>,
}

impl Reissue {
    pub(crate) fn new(stage: Stage, document: RoundDocument, expected_version: Option<Version>) -> Self {
        Self {
            stage,
            document,
            expected_version,
            next_write: Time::ZERO,
            unreported_holders: BTreeSet::new(),
            participants: BTreeSet::new(),
            reported_units: BTreeMap::new(),
            missing_units: Vec::new(),
        }
    }

    /// Whether the current stage is a write of the document, whose outcome decides how the reissue continues.
    pub(crate) fn is_writing(&self) -> bool {
        matches!(
            self.stage,
            Stage::InitialIssue | Stage::OpeningRound | Stage::ClosingRound
        )
    }

    /// Returns the write of the document when it is due. Repeating it is safe, because all copies expect the same
    /// version.
    pub(crate) fn write_if_due(&mut self, bucket: u16, now: Time) -> Option<PlatformRequest> {
        let is_due = self.is_writing() && now >= self.next_write;
        if is_due {
            self.next_write = now + WRITE_RETRY_INTERVAL;
        }
        is_due.then(|| PlatformRequest::WriteRound {
            bucket,
            expected_version: self.expected_version,
            document: self.document.clone(),
        })
    }

    /// Starts to collect reports from the registered holders that are not proved to have ended.
    pub(crate) fn start_collecting(&mut self, me: &Holder, holders: &[Holder], ended: &[Holder]) {
        self.stage = Stage::CollectingReports;
        self.unreported_holders = holders
            .iter()
            .filter(|h| *h != me && !ended.contains(h))
            .cloned()
            .collect();
        self.participants = self.unreported_holders.clone();
        self.document.ended = ended.to_vec();
    }

    /// Stops waiting for holders that were proved to have ended since, and for those that unregistered after
    /// transferring all units away.
    pub(crate) fn remove_ended(&mut self, holders: &[Holder], ended: &[Holder]) {
        for holder in ended.iter().filter(|h| self.unreported_holders.contains(h)) {
            self.document.ended.push(holder.clone());
        }
        self.unreported_holders
            .retain(|h| holders.contains(h) && !ended.contains(h));
    }

    /// Adds the units of a report, once for each holder.
    pub(crate) fn on_report(&mut self, report: &ShareReport) {
        let holder = Holder::new(report.instance.clone(), report.incarnation);
        if self.stage == Stage::CollectingReports
            && report.round == self.document.round
            && self.unreported_holders.remove(&holder)
        {
            self.add_report(report);
        }
    }

    /// Prepares the closing write when all reports have arrived, and determines the missing units of each
    /// organisation. This process's own report is counted last, because it cannot change until the round is closed.
    pub(crate) fn prepare_closing(&mut self, own_report: &ShareReport, organisations: &BTreeSet<String>) {
        assert!(
            self.unreported_holders.is_empty(),
            "a round was closed before every holder reported"
        );
        self.add_report(own_report);
        self.stage = Stage::ClosingRound;
        self.document.closed = true;
        self.document
            .issued_organisations
            .extend(organisations.iter().cloned());
        self.document.issued_organisations.sort_unstable();
        self.document.issued_organisations.dedup();
        for name in &self.document.issued_organisations {
            let reported_units = self.reported_units.get(name).copied().unwrap_or(0);
            assert!(
                reported_units <= u64::from(UNITS_PER_ORGANISATION),
                "the reported units of {name} exceed those that exist"
            );
            let missing_units = UNITS_PER_ORGANISATION - reported_units as u32;
            if missing_units > 0 {
                self.missing_units.push((name.clone(), missing_units));
            }
        }
    }

    fn add_report(&mut self, report: &ShareReport) {
        for (name, units) in &report.units {
            *self.reported_units.entry(name.clone()).or_default() += u64::from(*units);
        }
    }
}

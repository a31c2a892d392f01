//! The reissue rounds of the buckets of organisations, as one holder knows them.

use crate::PlatformRequest;
use std::collections::BTreeMap;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};

const REPORT_RETRY_INTERVAL: Duration = Duration::from_secs(1);
const ROUND_READ_INTERVAL: Duration = Duration::from_secs(5);

/// The latest round of one bucket that this holder knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct BucketRound {
    /// Latest round that this holder takes part in; 0 before the initial issue.
    pub(crate) round: u64,
    /// Set from this holder's report until the round is closed.
    frozen: Option<FrozenRound>,
}

#[derive(Debug, Clone)]
struct FrozenRound {
    /// Receives the reports.
    coordinator: InstanceId,
    next_report: Time,
    next_read: Time,
}

/// What this holder has to do because of a message or document of a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoundAction {
    /// Nothing.
    None,
    /// Suspend transfers, cancel those that are unacknowledged, and report the held units.
    Report,
    /// Discard all units: a round was closed without this holder's report, so they were reissued.
    Excluded,
}

/// Rounds of all buckets.
#[derive(Debug, Default)]
pub(crate) struct Rounds(BTreeMap<u16, BucketRound>);

impl Rounds {
    /// The latest known round of a bucket; 0 before the initial issue.
    pub(crate) fn round(&self, bucket: u16) -> u64 {
        self.0.get(&bucket).map_or(0, |b| b.round)
    }

    /// Whether units of a bucket may be transferred: they were issued, and no reissue is open.
    pub(crate) fn allows_transfers(&self, bucket: u16) -> bool {
        self.0
            .get(&bucket)
            .is_some_and(|b| b.round > 0 && b.frozen.is_none())
    }

    /// A coordinator opened a round and requests a report.
    pub(crate) fn on_freeze(
        &mut self,
        bucket: u16,
        round: u64,
        coordinator: &InstanceId,
        now: Time,
    ) -> RoundAction {
        let entry = self.0.entry(bucket).or_default();
        if round < entry.round || (round == entry.round && entry.frozen.is_none()) {
            return RoundAction::None;
        }
        entry.round = round;
        entry.frozen = Some(FrozenRound {
            coordinator: coordinator.clone(),
            next_report: now + REPORT_RETRY_INTERVAL,
            next_read: now + ROUND_READ_INTERVAL,
        });
        RoundAction::Report
    }

    /// A round was closed, according to its coordinator or the platform.
    pub(crate) fn on_closed(&mut self, bucket: u16, round: u64) -> RoundAction {
        let entry = self.0.entry(bucket).or_default();
        if round < entry.round {
            return RoundAction::None;
        }
        let is_excluded = round > entry.round;
        *entry = BucketRound { round, frozen: None };
        if is_excluded {
            RoundAction::Excluded
        } else {
            RoundAction::None
        }
    }

    /// Adopts round 1 from a transfer when no round is known, and returns whether it did: the initial issue took
    /// place after this holder registered. For any other higher round, this holder would have been asked for a
    /// report.
    pub(crate) fn adopt_initial_round(&mut self, bucket: u16, round: u64) -> bool {
        let is_initial_round = round == 1 && self.round(bucket) == 0;
        if is_initial_round {
            self.on_closed(bucket, 1);
        }
        is_initial_round
    }

    /// Returns the reports to repeat with their coordinators, and reads of the rounds whose coordinator has not
    /// closed them.
    pub(crate) fn due_reports_and_reads(
        &mut self,
        now: Time,
    ) -> (Vec<(u16, InstanceId)>, Vec<PlatformRequest>) {
        let (mut reports, mut reads) = (Vec::new(), Vec::new());
        for (bucket, entry) in &mut self.0 {
            let Some(frozen) = &mut entry.frozen else { continue };
            if frozen.next_report <= now {
                frozen.next_report = now + REPORT_RETRY_INTERVAL;
                reports.push((*bucket, frozen.coordinator.clone()));
            }
            if frozen.next_read <= now {
                frozen.next_read = now + ROUND_READ_INTERVAL;
                reads.push(PlatformRequest::ReadRound(*bucket));
            }
        }
        (reports, reads)
    }
}

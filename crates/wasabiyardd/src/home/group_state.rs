//! The state of the group of one database as the home observes it: the status of the slots, the acknowledged commits,
//! and the position samples that bound the age of reads.

use super::group_sql::{Role, SlotStatus};
use cranelift_entity::EntityRef;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Slot, Term, Time};
use wasabiyard_platform::{GroupState as StoredGroupState, ReplicationGroup, SlotState};
use wasabiyard_promotion::{CommitTracker, FailureDetector, SlotReport, SlotReports};
use wasabiyard_session::{PositionSample, PositionSamples, ReadCandidate};

/// A replica whose last status is older than this gets no reads. Ten times the status poll interval of the slot
/// monitor.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// A position sample that was not confirmed within this time is replaced by a newer one.
const SAMPLE_CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// The observed state of one group.
#[derive(Debug)]
pub struct GroupState {
    /// The group object of the platform.
    pub object: ReplicationGroup,
    /// For each slot, whether it is live and its failure domain is in service.
    pub in_service: Vec<bool>,
    /// Last status report of each slot.
    pub slot_reports: SlotReports,
    /// Failure detector for the primary.
    pub failure_detector: FailureDetector,
    /// Commits that slots have received.
    pub commit_tracker: CommitTracker,
    /// Confirmed samples of the position of the primary.
    samples: PositionSamples,
    /// A sample that is not confirmed yet, and the term of the primary that gave it.
    pending_sample: Option<(PositionSample, Term)>,
}

impl GroupState {
    /// The state of a group before any slot has answered.
    pub fn new(object: &ReplicationGroup, now: Time) -> Self {
        let slots = object.slots.len().max(1);
        Self {
            object: object.clone(),
            in_service: vec![true; slots],
            slot_reports: SlotReports::new(slots),
            failure_detector: FailureDetector::new(now),
            commit_tracker: CommitTracker::new(slots),
            samples: PositionSamples::default(),
            pending_sample: None,
        }
    }

    /// Applies a new group object and the failure domains that are out of service. Returns whether slots were added,
    /// removed or moved to another address; all earlier reports are then dropped.
    pub fn configure(
        &mut self,
        object: &ReplicationGroup,
        out_of_service_domains: &[String],
        now: Time,
    ) -> bool {
        let slot_addresses = |o: &ReplicationGroup| -> Vec<_> {
            let slots = o.slots.iter();
            slots.map(|s| (s.id.clone(), s.address.clone())).collect()
        };
        let changed = slot_addresses(&self.object) != slot_addresses(object);
        if changed {
            *self = Self::new(object, now);
        }
        self.object.clone_from(object);
        let accepts_work = |s: &wasabiyard_platform::GroupSlot| {
            s.state == SlotState::Live && !out_of_service_domains.contains(&s.domain)
        };
        self.in_service = object.slots.iter().map(accepts_work).collect();
        changed
    }

    /// Records the status of a slot that was requested at `requested_at` and arrived at `now`.
    pub fn record_status(&mut self, slot: Slot, status: &SlotStatus, requested_at: Time, now: Time) {
        let point_at = |position| LogPoint {
            term: status.history.term_at(position).unwrap_or_default(),
            position,
        };
        let report = SlotReport {
            requested_at,
            primary: status.role == Role::Primary,
            term: status.term,
            fenced_term: status.fenced_term,
            received: point_at(status.received),
            applied: point_at(status.applied),
        };
        self.slot_reports.record(slot, report);
        if report.received != LogPoint::default() {
            // A slot holds the last record of its own log, so the status also acknowledges that commit.
            self.commit_tracker
                .confirm(slot, report.received, report.fenced_term);
        }
        self.failure_detector.set_primary(self.believed_primary(), now);
        self.failure_detector.record_response(slot, now);
        let pending_commit = self.failure_detector.pending_commit();
        if pending_commit.is_some_and(|point| self.commit_tracker.is_acknowledged(point)) {
            self.failure_detector.record_acknowledgement();
        }
        self.update_samples(slot, &report, now);
    }

    /// The primary that the slots report. The primary in the group object is used instead when the group is stable, no
    /// slot reports to be primary in the term of the object or later, and no slot has seen a later term.
    pub fn believed_primary(&self) -> Option<(Slot, Term)> {
        let reported = self.slot_reports.primary();
        let term = Term(self.object.term);
        if self.object.state != StoredGroupState::Stable
            || reported.is_some_and(|(_, t)| t >= term)
            || self.slot_reports.highest_term() > term
        {
            return reported;
        }
        let slot = self.object.slots.iter().position(|s| s.id == self.object.primary);
        slot.map(|index| (Slot::new(index), term)).or(reported)
    }

    /// Whether a slot reports to be the primary of a later term.
    pub fn is_replaced(&self, term: Term) -> bool {
        self.slot_reports
            .primary()
            .is_some_and(|(_, current_term)| current_term > term)
    }

    /// Whether a slot may get new transactions.
    pub fn accepts_work(&self, slot: Slot) -> bool {
        self.in_service.get(slot.index()).copied().unwrap_or(false)
    }

    /// The primary, if its slot is leaving or its failure domain is out of service.
    pub fn leaving_primary(&self) -> Option<Slot> {
        let (slot, _) = self.slot_reports.primary()?;
        (!self.accepts_work(slot)).then_some(slot)
    }

    /// The point that a slot must have applied so that its data is at most `age` old, once a sample proves it.
    pub fn point_for_age(&self, age: Duration, now: Time) -> Option<LogPoint> {
        self.samples.minimum_point(age, now)
    }

    /// The slots with what [`ReadPlan`](wasabiyard_session::ReadPlan) needs to choose among them.
    pub fn read_candidates(
        &self,
        available_connections: impl Fn(Slot) -> u32,
        now: Time,
    ) -> Vec<ReadCandidate> {
        let reported_recently = |slot| {
            let last = self.slot_reports.last(slot);
            last.is_some_and(|r| now.saturating_since(r.requested_at) < MAX_REPORT_AGE)
        };
        let primary = self.believed_primary().map(|(slot, _)| slot);
        let slots = (0..self.object.slots.len()).map(Slot::new);
        slots
            .map(|slot| ReadCandidate {
                slot,
                primary: primary == Some(slot),
                in_service: self.accepts_work(slot) && (primary == Some(slot) || reported_recently(slot)),
                applied: self
                    .slot_reports
                    .last(slot)
                    .map_or_else(LogPoint::default, |r| r.applied),
                free_connections: available_connections(slot),
            })
            .collect()
    }

    /// Takes a sample of the primary's position when none is pending, and confirms the pending one once enough slots
    /// have reported that they are not fenced above its term.
    fn update_samples(&mut self, slot: Slot, report: &SlotReport, now: Time) {
        let stale =
            |sample: &PositionSample| now.saturating_since(sample.requested_at) > SAMPLE_CONFIRM_TIMEOUT;
        if self.slot_reports.primary() == Some((slot, report.term))
            && self.pending_sample.is_none_or(|(s, _)| stale(&s))
        {
            let sample = PositionSample {
                requested_at: report.requested_at,
                point: report.received,
            };
            self.pending_sample = Some((sample, report.term));
        }
        if let Some((sample, term)) = self.pending_sample {
            let answers = self.slot_reports.not_fenced_since(term, sample.requested_at);
            if self
                .samples
                .add_if_confirmed(sample, answers, self.slot_reports.slots())
            {
                self.pending_sample = None;
            }
        }
    }
}

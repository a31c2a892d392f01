//! What the home knows of the group of one database: the slots, their reports, and the commits and samples proved.

use super::group_sql::{Role, SlotStatus};
use cranelift_entity::EntityRef;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Slot, Term, Time};
use wasabiyard_platform::{GroupState as ObjectState, ReplicationGroup, SlotState};
use wasabiyard_promotion::{Acknowledgement, Detector, SlotReport, Survey};
use wasabiyard_session::{PositionSample, PositionSamples, ReadCandidate};

/// A replica that has not told its status for this long is not asked to serve reads. Ten times the interval of the
/// question.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// A sample that was not confirmed for this long is given up for a newer one.
const SAMPLE_CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of one group.
#[derive(Debug)]
pub struct GroupState {
    /// The group as the platform states it.
    pub object: ReplicationGroup,
    /// Which slots are in a failure domain that is in service, and not leaving.
    pub in_service: Vec<bool>,
    /// Last reports of the slots.
    pub survey: Survey,
    /// Watches the primary.
    pub detector: Detector,
    /// Commits proved.
    pub acknowledgement: Acknowledgement,
    samples: PositionSamples,
    pending_sample: Option<(PositionSample, Term)>,
}

impl GroupState {
    /// The state of a group that was not asked yet.
    pub fn new(object: &ReplicationGroup, now: Time) -> Self {
        let slots = object.slots.len().max(1);
        Self {
            object: object.clone(),
            in_service: vec![true; slots],
            survey: Survey::new(slots),
            detector: Detector::new(now),
            acknowledgement: Acknowledgement::new(slots),
            samples: PositionSamples::default(),
            pending_sample: None,
        }
    }

    /// Takes over the group and the failure domains that are out of service. Returns whether slots were added, removed
    /// or moved; then the slots have to be asked anew.
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

    /// Takes over the status of a slot.
    pub fn record_status(&mut self, slot: Slot, status: &SlotStatus, asked: Time, now: Time) {
        let point_at = |position| LogPoint {
            term: status.history.term_at(position).unwrap_or_default(),
            position,
        };
        let report = SlotReport {
            asked,
            primary: status.role == Role::Primary,
            term: status.term,
            fenced_term: status.fenced_term,
            received: point_at(status.received),
            applied: point_at(status.applied),
        };
        self.survey.report(slot, report);
        if report.received != LogPoint::default() {
            // A slot holds the last record of its own log.
            self.acknowledgement
                .confirm(slot, report.received, report.fenced_term);
        }
        self.detector.watch(self.believed_primary(), now);
        self.detector.answered(slot, now);
        let unproved = self.detector.unproved();
        if unproved.is_some_and(|point| self.acknowledgement.is_acknowledged(point)) {
            self.detector.commit_proved();
        }
        self.update_samples(slot, &report, now);
    }

    /// The primary in effect as its slot reports it, or the one that the platform names when no slot reports any.
    pub fn believed_primary(&self) -> Option<(Slot, Term)> {
        let reported = self.survey.primary();
        let term = Term(self.object.term);
        if self.object.state != ObjectState::Stable
            || reported.is_some_and(|(_, t)| t >= term)
            || self.survey.highest_term() > term
        {
            return reported;
        }
        let slot = self.object.slots.iter().position(|s| s.id == self.object.primary);
        slot.map(|index| (Slot::new(index), term)).or(reported)
    }

    /// Whether a primary of a later term is in effect.
    pub fn is_replaced(&self, term: Term) -> bool {
        self.survey
            .primary()
            .is_some_and(|(_, current_term)| current_term > term)
    }

    /// Whether a slot may get new work.
    pub fn accepts_work(&self, slot: Slot) -> bool {
        self.in_service.get(slot.index()).copied().unwrap_or(false)
    }

    /// The primary, when it has to give up its role.
    pub fn leaving_primary(&self) -> Option<Slot> {
        let (slot, _) = self.survey.primary()?;
        (!self.accepts_work(slot)).then_some(slot)
    }

    /// The point that a slot must hold so that its data is at most `age` old.
    pub fn point_for_age(&self, age: Duration, now: Time) -> Option<LogPoint> {
        self.samples.minimum_point(age, now)
    }

    /// The slots as a read plan needs them.
    pub fn read_candidates(
        &self,
        available_connections: impl Fn(Slot) -> u32,
        now: Time,
    ) -> Vec<ReadCandidate> {
        let reported_recently = |slot| {
            let last = self.survey.last(slot);
            last.is_some_and(|r| now.saturating_since(r.asked) < MAX_REPORT_AGE)
        };
        let primary = self.believed_primary().map(|(slot, _)| slot);
        let slots = (0..self.object.slots.len()).map(Slot::new);
        slots
            .map(|slot| ReadCandidate {
                slot,
                primary: primary == Some(slot),
                in_service: self.accepts_work(slot) && (primary == Some(slot) || reported_recently(slot)),
                applied: self
                    .survey
                    .last(slot)
                    .map_or_else(LogPoint::default, |r| r.applied),
                free_connections: available_connections(slot),
            })
            .collect()
    }

    /// Samples the primary's position, and confirms the sample with the answers that follow.
    fn update_samples(&mut self, slot: Slot, report: &SlotReport, now: Time) {
        let stale =
            |sample: &PositionSample| now.saturating_since(sample.requested_at) > SAMPLE_CONFIRM_TIMEOUT;
        if self.survey.primary() == Some((slot, report.term))
            && self.pending_sample.is_none_or(|(s, _)| stale(&s))
        {
            let sample = PositionSample {
                requested_at: report.asked,
                point: report.received,
            };
            self.pending_sample = Some((sample, report.term));
        }
        if let Some((sample, term)) = self.pending_sample {
            let answers = self.survey.not_fenced_since(term, sample.requested_at);
            if self
                .samples
                .add_if_confirmed(sample, answers, self.survey.slots())
            {
                self.pending_sample = None;
            }
        }
    }
}

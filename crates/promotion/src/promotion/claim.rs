//! Claims the promotion in the group object, or proceeds without the object while the platform is unavailable.

use super::{NextStep, Phase, Promotion};
use crate::command::{Command, ObjectView, PromotionOutcome, ReadFailure, WriteFailure};
use rand::Rng;
use std::time::Duration;
use wasabiyard_model::{Time, Version};

/// A promotion proceeds without the group object when no platform call has succeeded for this long. A missing object
/// counts as a failure. A write conflict does not, since it proves that the platform is available.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between calls to the platform while it is unavailable or another promotion holds the claim.
const PLATFORM_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long the claim of another promotion is respected before it is overridden.
const OTHER_CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

impl Promotion {
    pub(super) fn platform_timed_out(&self, now: Time) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.saturating_since(since) >= PLATFORM_TIMEOUT)
    }

    pub(super) fn resume(&mut self, next: NextStep, now: Time) -> Vec<Command> {
        match next {
            NextStep::Read => {
                self.phase = Phase::Reading;
                vec![self.read_object(now)]
            }
            NextStep::ReadBack(term) => {
                self.phase = Phase::ReadingBack { term };
                vec![self.read_object(now)]
            }
            NextStep::Publish(term, slot) => self.publish(term, slot, now),
        }
    }

    /// Starts to fence without a known claim. A claim that may have taken effect keeps its term, which is safe because
    /// its owner is this promotion.
    pub(super) fn proceed_without_object(&mut self, now: Time) -> Vec<Command> {
        let term = match self.phase {
            Phase::Claiming { term } | Phase::ReadingBack { term } => term,
            _ => self.highest_term.next(),
        };
        self.claimed_version = None;
        self.start_fencing(term, now)
    }

    pub(super) fn read_object(&mut self, now: Time) -> Command {
        self.unanswered_since.get_or_insert(now);
        self.last_call_number += 1;
        Command::ReadObject {
            number: self.last_call_number,
        }
    }

    pub(super) fn on_object_read(&mut self, object: &ObjectView, now: Time) -> Vec<Command> {
        self.unanswered_since = None;
        match self.phase {
            Phase::Reading => self.claim(object, now),
            Phase::ReadingBack { term } if object.owner == self.owner && object.term == term => {
                self.claimed_version = Some(object.version);
                self.start_fencing(term, now)
            }
            Phase::ReadingBack { .. } => {
                self.phase = Phase::Reading;
                self.claim(object, now)
            }
            Phase::Publishing { term, slot } => self.publish_to(object, term, slot),
            _ => Vec::new(),
        }
    }

    pub(super) fn claim(&mut self, object: &ObjectView, now: Time) -> Vec<Command> {
        let other_owner = object.owner != self.owner;
        if object.stable
            && object.term > self.replaced_term
            && object.term >= self.highest_term
            && other_owner
        {
            self.phase = Phase::Ended(PromotionOutcome::Superseded);
            return Vec::new();
        }
        if !object.stable && other_owner && !self.other_claim_expired(object.version, now) {
            self.phase = Phase::Waiting {
                until: now + PLATFORM_RETRY_DELAY,
                next: NextStep::Read,
            };
            return Vec::new();
        }
        self.highest_term = self.highest_term.max(object.term);
        let term = self.highest_term.next();
        self.highest_term = term;
        self.phase = Phase::Claiming { term };
        self.last_call_number += 1;
        self.unanswered_since.get_or_insert(now);
        vec![Command::WriteObject {
            number: self.last_call_number,
            expected_version: object.version,
            term,
            primary: None,
        }]
    }

    fn other_claim_expired(&mut self, version: Version, now: Time) -> bool {
        match self.other_claim {
            Some((seen, since)) if seen == version => now.saturating_since(since) >= OTHER_CLAIM_TIMEOUT,
            _ => {
                self.other_claim = Some((version, now));
                false
            }
        }
    }

    pub(super) fn on_read_failed(&mut self, _failure: ReadFailure, now: Time) -> Vec<Command> {
        match self.phase {
            Phase::Reading | Phase::ReadingBack { .. } if self.platform_timed_out(now) => {
                self.proceed_without_object(now)
            }
            Phase::Reading => {
                self.phase = Phase::Waiting {
                    until: now + PLATFORM_RETRY_DELAY,
                    next: NextStep::Read,
                };
                Vec::new()
            }
            Phase::ReadingBack { term } => {
                self.phase = Phase::Waiting {
                    until: now + PLATFORM_RETRY_DELAY,
                    next: NextStep::ReadBack(term),
                };
                Vec::new()
            }
            Phase::Publishing { term, slot } => self.schedule_publish(term, slot, now),
            _ => Vec::new(),
        }
    }

    pub(super) fn on_object_written<R>(
        &mut self,
        result: Result<Version, WriteFailure>,
        now: Time,
        rng: &mut R,
    ) -> Vec<Command>
    where
        R: Rng + ?Sized,
    {
        if matches!(result, Ok(_) | Err(WriteFailure::Conflict)) {
            self.unanswered_since = None;
        }
        match (&self.phase, result) {
            (&Phase::Claiming { term }, Ok(version)) => {
                self.claimed_version = Some(version);
                self.start_fencing(term, now)
            }
            (Phase::Claiming { .. }, Err(WriteFailure::Conflict)) => self.schedule_retry(now, rng),
            (&Phase::Claiming { .. }, Err(WriteFailure::Unavailable)) if self.platform_timed_out(now) => {
                self.proceed_without_object(now)
            }
            (Phase::Claiming { .. }, Err(WriteFailure::Unavailable)) => {
                self.phase = Phase::Waiting {
                    until: now + PLATFORM_RETRY_DELAY,
                    next: NextStep::Read,
                };
                Vec::new()
            }
            (&Phase::Claiming { term }, Err(WriteFailure::Unknown)) => {
                self.phase = Phase::ReadingBack { term };
                vec![self.read_object(now)]
            }
            (&Phase::Publishing { term, slot }, Ok(_)) => {
                self.phase = Phase::Ended(PromotionOutcome::Promoted { slot, term });
                Vec::new()
            }
            (&Phase::Publishing { term, slot }, Err(_)) => {
                self.claimed_version = None;
                self.schedule_publish(term, slot, now)
            }
            _ => Vec::new(),
        }
    }
}

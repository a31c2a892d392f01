//! Publishes the new primary in the group object.

use super::{NextStep, Phase, Promotion};
use crate::command::{Command, ObjectView, PromotionOutcome};
use std::time::Duration;
use wasabiyard_model::{Slot, Term, Time, Version};

/// Delay between attempts to publish. The new primary already serves by then, so there is no hurry.
const PUBLISH_RETRY_DELAY: Duration = Duration::from_millis(500);

impl Promotion {
    pub(super) fn publish(&mut self, term: Term, slot: Slot, now: Time) -> Vec<Command> {
        assert_eq!(
            self.promoted,
            Some((term, slot)),
            "only the promoted slot is published"
        );
        self.phase = Phase::Publishing { term, slot };
        match self.claimed_version {
            Some(version) => vec![self.write_primary(version, term, slot)],
            None => vec![self.read_object(now)],
        }
    }

    /// Writes the new primary over the object that was read, unless it is published already or the object has a later
    /// term. Another owner of the same term is overwritten, because only this promotion fenced a majority at that term.
    pub(super) fn publish_to(&mut self, object: &ObjectView, term: Term, slot: Slot) -> Vec<Command> {
        let published = object.term == term && object.stable && object.owner == self.owner;
        if published || object.term > term {
            self.phase = Phase::Ended(PromotionOutcome::Promoted { slot, term });
            return Vec::new();
        }
        vec![self.write_primary(object.version, term, slot)]
    }

    fn write_primary(&mut self, expected_version: Version, term: Term, slot: Slot) -> Command {
        self.last_call_number += 1;
        Command::WriteObject {
            number: self.last_call_number,
            expected_version,
            term,
            primary: Some(slot),
        }
    }

    pub(super) fn schedule_publish(&mut self, term: Term, slot: Slot, now: Time) -> Vec<Command> {
        self.phase = Phase::Waiting {
            until: now + PUBLISH_RETRY_DELAY,
            next: NextStep::Publish(term, slot),
        };
        Vec::new()
    }
}

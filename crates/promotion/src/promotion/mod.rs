//! The state machine of a promotion.
//!
//! Each attempt uses a term that this promotion has not used before and promotes at most one slot in it. Since a slot
//! grants the fence of a term to one owner only, a term never has two primaries. The group object serializes concurrent
//! promotions and announces the new primary. Safety does not depend on it, so an attempt proceeds without it while the
//! platform is unavailable.

mod claim;
mod fencing;
mod publishing;

use crate::command::{Command, Event, PromotionOutcome};
use cranelift_entity::PrimaryMap;
use rand::Rng;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Slot, Term, Time, Version};

/// How long the chosen slot may take to answer the promotion before the next attempt.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bounds of the random delay before the next attempt, which separates competing promotions.
const RETRY_DELAY_MILLIS: std::ops::Range<u64> = 100..500;

/// State of the fence of one slot in the current attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Fence {
    /// The command was sent and is not answered yet.
    #[default]
    Sent,
    /// The slot did not answer. The command is repeated at this time.
    Failed(Time),
    Granted(LogPoint),
    Refused,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// Reads the group object, to claim the promotion.
    Reading,
    /// Writes the claim to the group object.
    Claiming {
        term: Term,
    },
    /// Reads the group object, to find out whether a claim without an answer took effect.
    ReadingBack {
        term: Term,
    },
    /// Waits before the next attempt or the next call.
    Waiting {
        until: Time,
        next: NextStep,
    },
    /// Fences the slots.
    Fencing {
        term: Term,
        /// When to stop waiting for the slots that have not answered; `None` before a majority granted the fence.
        grace_end: Option<Time>,
    },
    /// Promotes the chosen slot.
    Promoting {
        term: Term,
        slot: Slot,
        since: Time,
        /// When to repeat the command after a failure.
        retry_at: Option<Time>,
    },
    /// Reads the group object where its version is not known, and writes the new primary to it.
    Publishing {
        term: Term,
        slot: Slot,
    },
    Ended(PromotionOutcome),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextStep {
    Read,
    ReadBack(Term),
    Publish(Term, Slot),
}

/// One promotion, which replaces the primary of a group in one or more attempts.
#[derive(Debug, Clone)]
pub struct Promotion {
    /// Unique name of this promotion.
    owner: String,
    /// Term of the primary that is replaced.
    replaced_term: Term,
    /// A slot whose fence does not count and that must not be promoted.
    avoided: Option<Slot>,
    /// Preference of each slot among those whose logs end at the same point. The highest wins.
    preference: PrimaryMap<Slot, u32>,
    fences: PrimaryMap<Slot, Fence>,
    /// Highest term seen or used so far.
    highest_term: Term,
    /// Version of the group object with the claim of this promotion, if the claim is known to have taken effect.
    claimed_version: Option<Version>,
    /// Version of the group object with the claim of another promotion, and when it was first seen.
    other_claim: Option<(Version, Time)>,
    phase: Phase,
    /// When the first platform call was made since the last successful read, or the last write that succeeded or
    /// conflicted; `None` before the next call.
    unanswered_since: Option<Time>,
    /// Number of the last platform call; answers to earlier calls are ignored.
    last_call_number: u64,
    /// The last term in which this promotion promoted a slot, and that slot.
    promoted: Option<(Term, Slot)>,
}

impl Promotion {
    /// Starts a promotion. `owner` must be unique to it, `highest_term` is the highest term that any slot is known to
    /// have seen, and `preference` has an entry for each slot.
    ///
    /// The slot `avoided` is replaced although it answers: the majority is taken among the other slots, so records that
    /// only the avoided slot holds are dropped. None of these can have been acknowledged.
    pub fn start(
        owner: &str,
        replaced_term: Term,
        highest_term: Term,
        preference: &[u32],
        avoided: Option<Slot>,
        now: Time,
    ) -> (Self, Vec<Command>) {
        assert!(!preference.is_empty(), "a group has slots");
        let mut promotion = Self {
            owner: owner.to_owned(),
            replaced_term,
            avoided,
            preference: preference.iter().copied().collect(),
            fences: preference.iter().map(|_| Fence::Sent).collect(),
            highest_term: highest_term.max(replaced_term),
            claimed_version: None,
            other_claim: None,
            phase: Phase::Reading,
            unanswered_since: None,
            last_call_number: 0,
            promoted: None,
        };
        let commands = vec![promotion.read_object(now)];
        (promotion, commands)
    }

    /// How the promotion ended; `None` while it is in progress.
    pub const fn outcome(&self) -> Option<PromotionOutcome> {
        match self.phase {
            Phase::Ended(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// The new primary, from the moment the slot accepted the promotion.
    pub const fn new_primary(&self) -> Option<(Slot, Term)> {
        match self.phase {
            Phase::Publishing { term, slot }
            | Phase::Waiting {
                next: NextStep::Publish(term, slot),
                ..
            }
            | Phase::Ended(PromotionOutcome::Promoted { slot, term }) => Some((slot, term)),
            _ => None,
        }
    }

    /// Name of the current phase, for logs.
    pub const fn phase(&self) -> &'static str {
        match self.phase {
            Phase::Reading | Phase::Claiming { .. } | Phase::ReadingBack { .. } => "claim",
            Phase::Waiting { .. } => "wait",
            Phase::Fencing { .. } => "fence",
            Phase::Promoting { .. } => "promote",
            Phase::Publishing { .. } => "publish",
            Phase::Ended(_) => "ended",
        }
    }

    /// Handles an event and returns the commands to carry out.
    pub fn handle<R>(&mut self, event: &Event, now: Time, rng: &mut R) -> Vec<Command>
    where
        R: Rng + ?Sized,
    {
        match *event {
            Event::Tick => self.tick(now, rng),
            Event::ObjectRead { number, ref result } if number == self.last_call_number => match result {
                Ok(object) => self.on_object_read(object, now),
                Err(failure) => self.on_read_failed(*failure, now),
            },
            Event::ObjectWritten { number, result } if number == self.last_call_number => {
                self.on_object_written(result, now, rng)
            }
            Event::ObjectRead { .. } | Event::ObjectWritten { .. } => Vec::new(),
            Event::Fenced {
                slot,
                term,
                granted,
                fenced_term,
                last,
            } => {
                self.highest_term = self.highest_term.max(fenced_term);
                let counts = granted && self.avoided != Some(slot);
                let fence = if counts {
                    Fence::Granted(last)
                } else {
                    Fence::Refused
                };
                self.on_fence_result(slot, term, fence, now, rng)
            }
            Event::SlotFailed { slot, term } => self.on_slot_failed(slot, term, now, rng),
            Event::PromoteAnswered { slot, term, granted } => {
                self.on_promote_answered(slot, term, granted, now, rng)
            }
            Event::PrimarySeen { term } => self.on_primary_seen(term),
        }
    }

    fn tick<R>(&mut self, now: Time, rng: &mut R) -> Vec<Command>
    where
        R: Rng + ?Sized,
    {
        match self.phase {
            Phase::Waiting { until, next } if now >= until => self.resume(next, now),
            Phase::Reading | Phase::Claiming { .. } | Phase::ReadingBack { .. }
                if self.platform_timed_out(now) =>
            {
                self.proceed_without_object(now)
            }
            Phase::Fencing { term, grace_end } => {
                if grace_end.is_some_and(|at| now >= at) {
                    return self.promote_most_advanced(term, now);
                }
                self.retry_fences(term, now)
            }
            Phase::Promoting { since, .. } if now.saturating_since(since) >= PROMOTE_TIMEOUT => {
                self.schedule_retry(now, rng)
            }
            Phase::Promoting {
                term,
                slot,
                ref mut retry_at,
                ..
            } if retry_at.is_some_and(|at| now >= at) => {
                *retry_at = None;
                vec![Command::Promote { slot, term }]
            }
            _ => Vec::new(),
        }
    }

    pub(super) fn on_primary_seen(&mut self, term: Term) -> Vec<Command> {
        let superseded = match self.phase {
            Phase::Ended(_) => false,
            Phase::Promoting { term: own_term, .. }
            | Phase::Publishing { term: own_term, .. }
            | Phase::Waiting {
                next: NextStep::Publish(own_term, _),
                ..
            } => term > own_term,
            _ => term > self.replaced_term,
        };
        if superseded {
            self.phase = Phase::Ended(PromotionOutcome::Superseded);
        }
        Vec::new()
    }

    /// Ends an attempt that another promotion overtook or that a slot did not answer, and schedules the next one, which
    /// uses a higher term.
    pub(super) fn schedule_retry<R>(&mut self, now: Time, rng: &mut R) -> Vec<Command>
    where
        R: Rng + ?Sized,
    {
        self.claimed_version = None;
        self.phase = Phase::Waiting {
            until: now + Duration::from_millis(rng.random_range(RETRY_DELAY_MILLIS)),
            next: NextStep::Read,
        };
        Vec::new()
    }
}

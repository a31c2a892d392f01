//! Fences a majority of the slots, chooses the most advanced of them, and promotes it.

use super::{Fence, Phase, Promotion};
use crate::command::Command;
use crate::majority;
use cranelift_entity::EntityRef;
use rand::Rng;
use std::time::Duration;
use wasabiyard_model::{Slot, Term, Time};

/// Delay before a command to a slot that did not answer is repeated.
const SLOT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long to wait for the other slots after a majority granted the fence, so that the most advanced one of all is
/// chosen.
const FENCE_GRACE: Duration = Duration::from_millis(100);

impl Promotion {
    /// Starts to fence all slots at a term that this promotion has not used yet.
    pub(super) fn start_fencing(&mut self, term: Term, now: Time) -> Vec<Command> {
        assert!(
            self.promoted.is_none_or(|(last, _)| last < term),
            "a term is used for one promotion only"
        );
        self.highest_term = self.highest_term.max(term);
        self.phase = Phase::Fencing {
            term,
            grace_end: None,
        };
        for fence in self.fences.values_mut() {
            *fence = Fence::Failed(now);
        }
        self.retry_fences(term, now)
    }

    pub(super) fn retry_fences(&mut self, term: Term, now: Time) -> Vec<Command> {
        let mut commands = Vec::new();
        for (slot, fence) in &mut self.fences {
            if matches!(*fence, Fence::Failed(at) if now >= at) {
                *fence = Fence::Sent;
                commands.push(Command::Fence { slot, term });
            }
        }
        commands
    }

    pub(super) fn on_fence_result<R>(
        &mut self,
        slot: Slot,
        term: Term,
        fence: Fence,
        now: Time,
        rng: &mut R,
    ) -> Vec<Command>
    where
        R: Rng + ?Sized,
    {
        let Phase::Fencing {
            term: own_term,
            grace_end,
        } = self.phase
        else {
            return Vec::new();
        };
        if term != own_term {
            return Vec::new();
        }
        self.fences[slot] = fence;
        let count = |wanted: fn(&Fence) -> bool| self.fences.values().filter(|f| wanted(f)).count();
        let granted = count(|f| matches!(f, Fence::Granted(_)));
        let refused = count(|f| matches!(f, Fence::Refused));
        let needed = majority(self.fences.len());
        if granted + refused == self.fences.len() && granted >= needed {
            return self.promote_most_advanced(term, now);
        }
        if self.fences.len() - refused < needed {
            return self.schedule_retry(now, rng);
        }
        // A late answer can show that another promotion has since fenced a slot that had granted the fence, so
        // `granted` may have dropped below a majority.
        let grace_end = (granted >= needed).then(|| grace_end.unwrap_or(now + FENCE_GRACE));
        self.phase = Phase::Fencing { term, grace_end };
        Vec::new()
    }

    /// Promotes the most advanced of the fenced slots. Its log cannot change before the promotion, because it no longer
    /// accepts anything of a lower term.
    pub(super) fn promote_most_advanced(&mut self, term: Term, now: Time) -> Vec<Command> {
        let granted = self.fences.iter().filter_map(|(slot, fence)| match fence {
            Fence::Granted(last) => Some((slot, *last)),
            _ => None,
        });
        let granted: Vec<_> = granted.collect();
        assert!(
            granted.len() >= majority(self.fences.len()),
            "a slot is promoted only after a majority granted the fence"
        );
        let best = granted
            .iter()
            .max_by_key(|(slot, last)| (*last, self.preference[*slot], std::cmp::Reverse(slot.index())));
        let slot = best.expect("a majority is not empty").0;
        assert!(
            self.promoted.is_none_or(|(last, _)| last < term),
            "one slot is promoted in a term"
        );
        self.promoted = Some((term, slot));
        self.phase = Phase::Promoting {
            term,
            slot,
            since: now,
            retry_at: None,
        };
        vec![Command::Promote { slot, term }]
    }

    pub(super) fn on_slot_failed<R>(&mut self, slot: Slot, term: Term, now: Time, rng: &mut R) -> Vec<Command>
    where
        R: Rng + ?Sized,
    {
        match &mut self.phase {
            // A fence that was granted or refused stays so, whatever happens to the connection afterwards.
            Phase::Fencing { term: own_term, .. }
                if *own_term == term && self.fences[slot] == Fence::Sent =>
            {
                self.on_fence_result(slot, term, Fence::Failed(now + SLOT_RETRY_DELAY), now, rng)
            }
            Phase::Promoting {
                term: own_term,
                slot: chosen,
                retry_at,
                ..
            } if *own_term == term && *chosen == slot => {
                *retry_at = Some(now + SLOT_RETRY_DELAY);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    pub(super) fn on_promote_answered<R>(
        &mut self,
        slot: Slot,
        term: Term,
        granted: bool,
        now: Time,
        rng: &mut R,
    ) -> Vec<Command>
    where
        R: Rng + ?Sized,
    {
        match self.phase {
            Phase::Promoting {
                term: own_term,
                slot: chosen,
                ..
            } if own_term == term && chosen == slot => {
                if granted {
                    self.publish(term, slot, now)
                } else {
                    self.schedule_retry(now, rng)
                }
            }
            _ => Vec::new(),
        }
    }
}

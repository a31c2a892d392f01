//! Planned handover: prepares the replacement of a primary whose slot or failure domain is taken out of service, so
//! that no transaction is interrupted.

use crate::SlotReports;
use std::time::Duration;
use wasabiyard_model::{Slot, Time};

/// How long one attempt may pause the primary queue. It has to be shorter than the timeouts of the routes, since the
/// queued transactions still have to run within them.
const QUEUE_PAUSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between attempts, during which the queued transactions run.
const ATTEMPT_DELAY: Duration = Duration::from_secs(2);
/// The attempt with this number replaces the primary even if transactions still run, because a slot that is taken out
/// of service must not stay the primary for long.
const MAX_ATTEMPTS: u32 = 3;

/// What the home of the database has to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverStep {
    /// Serve as usual.
    Serve,
    /// Pause the primary queue, so that the running transactions drain.
    PausePrimaryQueue,
    /// Pause the primary queue and replace the primary, preferably by this slot.
    Replace(Slot),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Idle,
    /// Running transactions end; no new one starts.
    Draining {
        since: Time,
    },
    /// The target receives the rest of the log. No transaction has run since `drained_at`.
    CatchingUp {
        since: Time,
        drained_at: Time,
    },
    /// The attempt timed out; transactions run until the next one.
    BackingOff {
        until: Time,
    },
}

/// State of the planned handover of one database.
#[derive(Debug, Clone)]
pub struct Handover {
    phase: Phase,
    attempts: u32,
}

impl Default for Handover {
    fn default() -> Self {
        Self {
            phase: Phase::Idle,
            attempts: 0,
        }
    }
}

impl Handover {
    /// Decides the next step. `leaving` is the primary if it has to be replaced, `eligible` tells which slots may
    /// become the primary, and `running` is the number of transactions that run at the primary.
    pub fn tick(
        &mut self,
        leaving: Option<Slot>,
        eligible: impl Fn(Slot) -> bool,
        running: usize,
        reports: &SlotReports,
        now: Time,
    ) -> HandoverStep {
        let Some(primary) = leaving else {
            *self = Self::default();
            return HandoverStep::Serve;
        };
        let Some(target) = reports.most_advanced(|slot| slot != primary && eligible(slot)) else {
            self.phase = Phase::Idle;
            return HandoverStep::Serve;
        };
        match self.phase {
            Phase::Idle => {
                self.phase = Phase::Draining { since: now };
                HandoverStep::PausePrimaryQueue
            }
            Phase::Draining { since } if running == 0 => {
                self.phase = Phase::CatchingUp {
                    since,
                    drained_at: now,
                };
                HandoverStep::PausePrimaryQueue
            }
            Phase::CatchingUp { drained_at, .. } if has_caught_up(reports, primary, target, drained_at) => {
                HandoverStep::Replace(target)
            }
            Phase::Draining { since } | Phase::CatchingUp { since, .. }
                if now.saturating_since(since) >= QUEUE_PAUSE_TIMEOUT =>
            {
                self.attempts += 1;
                if self.attempts >= MAX_ATTEMPTS {
                    return HandoverStep::Replace(target);
                }
                self.phase = Phase::BackingOff {
                    until: now + ATTEMPT_DELAY,
                };
                HandoverStep::Serve
            }
            Phase::Draining { .. } | Phase::CatchingUp { .. } => HandoverStep::PausePrimaryQueue,
            Phase::BackingOff { until } => {
                if now >= until {
                    self.phase = Phase::Idle;
                }
                HandoverStep::Serve
            }
        }
    }
}

/// Whether both slots reported the same end of the log after the last transaction ended at `drained_at`.
fn has_caught_up(reports: &SlotReports, primary: Slot, target: Slot, drained_at: Time) -> bool {
    match (reports.last(primary), reports.last(target)) {
        (Some(from), Some(to)) => {
            from.requested_at >= drained_at && to.requested_at >= drained_at && from.received == to.received
        }
        _ => false,
    }
}

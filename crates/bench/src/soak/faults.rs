//! Faults that are drawn from the seed.

use super::layout::{INSTANCES, ORGANISATIONS, SERVICES, SLOTS};
use crate::launcher::{Fleet, LaunchError};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::fmt;

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed, and later started again.
    KillInstance(usize),
    /// A daemon is paused.
    PauseInstance(usize),
    /// A daemon is stopped gracefully, and later started again.
    StopInstance(usize),
    /// A fault of a slot: group, slot, what.
    Slot(usize, usize, SlotFault),
    /// Operators take a failure domain out of service.
    DomainOut(usize),
    /// The keys of an organisation are withdrawn.
    WithdrawKeys(usize),
    /// The platform refuses all calls.
    PlatformOutage,
    /// The platform loses a third of its answers to writes.
    LostAnswers,
    /// The platform answers late.
    SlowPlatform,
}

/// A fault of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotFault {
    /// Handles nothing.
    Freeze,
    /// Closes and refuses connections.
    Down,
    /// Does not replicate.
    Partition,
    /// Receives records late.
    Lag,
    /// Answers late.
    Late,
    /// The open connections go silent.
    Silence,
}

impl Fault {
    /// Draws a fault.
    pub fn draw(rng: &mut Pcg64Mcg) -> Self {
        let instance = rng.random_range(0..INSTANCES);
        match rng.random_range(0..14) {
            0 => Self::KillInstance(instance),
            1 => Self::PauseInstance(instance),
            2 => Self::StopInstance(instance),
            3 => Self::PlatformOutage,
            4 => Self::LostAnswers,
            5 => Self::SlowPlatform,
            // There are as many failure domains as instances.
            12 => Self::DomainOut(instance),
            13 => Self::WithdrawKeys(rng.random_range(0..ORGANISATIONS)),
            n => {
                let what = match n {
                    6 => SlotFault::Freeze,
                    7 => SlotFault::Down,
                    8 => SlotFault::Partition,
                    9 => SlotFault::Lag,
                    10 => SlotFault::Late,
                    _ => SlotFault::Silence,
                };
                let (group, slot) = (rng.random_range(0..SERVICES), rng.random_range(0..SLOTS));
                Self::Slot(group, slot, what)
            }
        }
    }

    /// Whether two faults hit the same process or slot, so that the end of one would end the other.
    pub(super) fn touches(self, other: Self) -> bool {
        match (self, other) {
            (Self::Slot(group, slot, _), Self::Slot(g, s, _)) => (group, slot) == (g, s),
            (a, b) => match (a.instance(), b.instance()) {
                (Some(a), Some(b)) => a == b,
                (None, None) => !matches!(a, Self::Slot(..)) && !matches!(b, Self::Slot(..)),
                _ => false,
            },
        }
    }

    const fn instance(self) -> Option<usize> {
        match self {
            Self::KillInstance(i) | Self::PauseInstance(i) | Self::StopInstance(i) => Some(i),
            _ => None,
        }
    }

    /// Whether the platform has to pass the change on, which takes seconds.
    pub(super) const fn is_configuration(self) -> bool {
        matches!(self, Self::DomainOut(_) | Self::WithdrawKeys(_))
    }

    /// Starts the fault.
    pub(super) fn start(self, fleet: &mut Fleet) -> Result<(), LaunchError> {
        match self {
            Self::KillInstance(i) => fleet.kill_instance(i),
            Self::PauseInstance(i) => {
                fleet.pause_instance(i);
                Ok(())
            }
            Self::StopInstance(i) => fleet.terminate_instance(i),
            Self::Slot(group, slot, what) => fleet.set_group_faults(group, &what.body(slot, true)),
            Self::DomainOut(i) => {
                let domain = fleet.spec().domains[i].clone();
                fleet.set_out_of_service(vec![domain])
            }
            Self::WithdrawKeys(i) => {
                let mut spec = fleet.spec().clone();
                spec.organisations[i].keys.clear();
                fleet.apply_manifest(&spec.manifest())?;
                Ok(())
            }
            Self::PlatformOutage => fleet.set_platform_faults(&json!({ "outage": true })),
            Self::LostAnswers => fleet.set_platform_faults(&json!({ "lost_answers": 0.3 })),
            Self::SlowPlatform => fleet.set_platform_faults(&json!({ "slow_ms": 1_000 })),
        }
    }

    /// Ends the fault.
    pub(super) fn end(self, fleet: &mut Fleet) -> Result<(), LaunchError> {
        match self {
            Self::KillInstance(i) | Self::StopInstance(i) => fleet.restart_instance(i),
            Self::PauseInstance(i) => {
                fleet.resume_instance(i);
                Ok(())
            }
            Self::Slot(group, slot, what) => fleet.set_group_faults(group, &what.body(slot, false)),
            Self::DomainOut(_) => fleet.set_out_of_service(Vec::new()),
            Self::WithdrawKeys(_) => {
                let manifest = fleet.spec().manifest();
                fleet.apply_manifest(&manifest)?;
                Ok(())
            }
            Self::PlatformOutage => fleet.set_platform_faults(&json!({ "outage": false })),
            Self::LostAnswers => fleet.set_platform_faults(&json!({ "lost_answers": 0.0 })),
            Self::SlowPlatform => fleet.set_platform_faults(&json!({ "slow_ms": 0 })),
        }
    }
}

impl SlotFault {
    fn body(self, slot: usize, on: bool) -> Value {
        let slot = format!("s{slot}");
        match self {
            Self::Freeze => json!({ "slot": slot, "freeze": on }),
            Self::Down => json!({ "slot": slot, "down": on }),
            Self::Partition => json!({ "slot": slot, "partition": on }),
            Self::Lag => json!({ "slot": slot, "lag_ms": if on { 800 } else { 1 } }),
            Self::Late => json!({ "slot": slot, "late_ms": if on { 300 } else { 0 } }),
            // A silent connection stays silent; there is nothing to end.
            Self::Silence if on => json!({ "slot": slot, "silence": true }),
            Self::Silence => json!({ "slot": slot }),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::KillInstance(i) => write!(f, "kill i{i}"),
            Self::PauseInstance(i) => write!(f, "pause i{i}"),
            Self::StopInstance(i) => write!(f, "stop i{i} gracefully"),
            Self::Slot(group, slot, what) => write!(f, "{what:?} of db-{group}/s{slot}"),
            Self::DomainOut(i) => write!(f, "domain of i{i} out of service"),
            Self::WithdrawKeys(i) => write!(f, "keys of zoo-{i} withdrawn"),
            Self::PlatformOutage => f.write_str("platform outage"),
            Self::LostAnswers => f.write_str("platform loses answers"),
            Self::SlowPlatform => f.write_str("slow platform"),
        }
    }
}

//! Injected faults, drawn at random.

use super::layout::{INSTANCES, ORGANISATIONS, SERVICES, SLOTS_PER_GROUP};
use crate::launcher::{Fleet, LaunchError};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::fmt;

/// A fault. The indexes are those of instances, groups, slots, failure domains and organisations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed, and restarted at the end of the fault.
    KillInstance(usize),
    /// A daemon is paused (SIGSTOP), and resumed at the end of the fault.
    PauseInstance(usize),
    /// A daemon shuts down gracefully, and is restarted at the end of the fault.
    StopInstance(usize),
    /// A fault of a slot: index of the group, index of the slot, and the kind of fault.
    Slot(usize, usize, SlotFault),
    /// A failure domain is taken out of service, as operators do.
    DomainOut(usize),
    /// All API keys of an organisation are withdrawn from the manifest.
    WithdrawKeys(usize),
    /// The platform refuses all requests.
    PlatformOutage,
    /// The platform drops about a third of its responses to writes (30 %).
    LostAnswers,
    /// The platform delays its responses by one second.
    SlowPlatform,
}

/// The kind of a slot fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotFault {
    /// The slot processes no requests.
    Freeze,
    /// The slot closes its connections and refuses new ones.
    Down,
    /// The slot is cut off from replication.
    Partition,
    /// The slot has a replication lag of 800 ms.
    Lag,
    /// The slot delays its responses by 300 ms.
    Late,
    /// The open connections of the slot stop responding, without being closed.
    Silence,
}

impl Fault {
    /// Draws a random fault.
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
                let kind = match n {
                    6 => SlotFault::Freeze,
                    7 => SlotFault::Down,
                    8 => SlotFault::Partition,
                    9 => SlotFault::Lag,
                    10 => SlotFault::Late,
                    _ => SlotFault::Silence,
                };
                let (group, slot) = (
                    rng.random_range(0..SERVICES),
                    rng.random_range(0..SLOTS_PER_GROUP),
                );
                Self::Slot(group, slot, kind)
            }
        }
    }

    /// Whether two faults have the same target, so that the end of one would also end the other. All faults that concern
    /// neither an instance nor a slot count as having the same target.
    pub(super) fn conflicts_with(self, other: Self) -> bool {
        match (self, other) {
            (Self::Slot(group, slot, _), Self::Slot(g, s, _)) => (group, slot) == (g, s),
            (a, b) => match (a.target_instance(), b.target_instance()) {
                (Some(a), Some(b)) => a == b,
                (None, None) => !matches!(a, Self::Slot(..)) && !matches!(b, Self::Slot(..)),
                _ => false,
            },
        }
    }

    const fn target_instance(self) -> Option<usize> {
        match self {
            Self::KillInstance(i) | Self::PauseInstance(i) | Self::StopInstance(i) => Some(i),
            _ => None,
        }
    }

    /// Whether the fault is a configuration change, which takes seconds to propagate.
    pub(super) const fn is_configuration_change(self) -> bool {
        matches!(self, Self::DomainOut(_) | Self::WithdrawKeys(_))
    }

    /// Injects the fault.
    pub(super) fn inject(self, fleet: &mut Fleet) -> Result<(), LaunchError> {
        match self {
            Self::KillInstance(i) => fleet.kill_instance(i),
            Self::PauseInstance(i) => {
                fleet.pause_instance(i);
                Ok(())
            }
            Self::StopInstance(i) => fleet.terminate_instance(i),
            Self::Slot(group, slot, kind) => fleet.set_group_faults(group, &kind.request_body(slot, true)),
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

    /// Removes the fault.
    pub(super) fn remove(self, fleet: &mut Fleet) -> Result<(), LaunchError> {
        match self {
            Self::KillInstance(i) | Self::StopInstance(i) => fleet.restart_instance(i),
            Self::PauseInstance(i) => {
                fleet.resume_instance(i);
                Ok(())
            }
            Self::Slot(group, slot, kind) => fleet.set_group_faults(group, &kind.request_body(slot, false)),
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
    fn request_body(self, slot: usize, on: bool) -> Value {
        let slot = format!("s{slot}");
        match self {
            Self::Freeze => json!({ "slot": slot, "freeze": on }),
            Self::Down => json!({ "slot": slot, "down": on }),
            Self::Partition => json!({ "slot": slot, "partition": on }),
            Self::Lag => json!({ "slot": slot, "lag_ms": if on { 800 } else { 1 } }),
            Self::Late => json!({ "slot": slot, "late_ms": if on { 300 } else { 0 } }),
            // Connections that went silent stay so; there is nothing to remove.
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
            Self::Slot(group, slot, kind) => write!(f, "{kind:?} of db-{group}/s{slot}"),
            Self::DomainOut(i) => write!(f, "domain of i{i} out of service"),
            Self::WithdrawKeys(i) => write!(f, "keys of zoo-{i} withdrawn"),
            Self::PlatformOutage => f.write_str("platform outage"),
            Self::LostAnswers => f.write_str("platform loses answers"),
            Self::SlowPlatform => f.write_str("slow platform"),
        }
    }
}

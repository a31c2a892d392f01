//! Probes that were sent and not answered yet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wasabiyard_model::{Instance, InstanceId, Time};

/// A probe without a direct answer for this long is repeated through other members.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A probe without any answer for this long has failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a probe is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Periodic failure detection. A failure makes the member suspect.
    Regular,
    /// Extra sample for the estimate of reachability. A failure does not make the member suspect.
    Sample,
    /// Tries to contact a suspect or dead member, or a seed.
    Contact,
    /// Indirect probe on behalf of another member.
    Indirect {
        /// Peer listener of the requesting member.
        requester: SocketAddr,
        /// Number of the probe of the requesting member.
        number: u64,
    },
}

/// A probe without an answer.
#[derive(Debug)]
pub struct PendingProbe {
    /// The probed member; `None` for a seed that is not a known member yet.
    pub target: Option<Instance>,
    /// Name of the target when the probe was sent, because its row may be reused for another member.
    pub id: Option<InstanceId>,
    /// When the probe was sent.
    pub sent: Time,
    /// Why the probe was sent.
    pub purpose: Purpose,
    /// Whether [`Probes::late`] has returned the probe.
    pub late: bool,
}

/// A probe of a random member that was not answered directly in time.
#[derive(Debug)]
pub struct LateProbe {
    /// Number of the probe.
    pub number: u64,
    /// The probed member.
    pub target: Instance,
    /// When the probe was sent.
    pub sent: Time,
    /// Why the probe was sent.
    pub purpose: Purpose,
}

/// The probes without an answer, by number.
#[derive(Debug, Default)]
pub struct Probes {
    last_number: u64,
    pending: BTreeMap<u64, PendingProbe>,
}

impl Probes {
    /// Registers a new probe and returns its number.
    pub fn start(
        &mut self,
        target: Option<Instance>,
        id: Option<InstanceId>,
        purpose: Purpose,
        now: Time,
    ) -> u64 {
        self.last_number += 1;
        let pending = PendingProbe {
            target,
            id,
            sent: now,
            purpose,
            late: false,
        };
        self.pending.insert(self.last_number, pending);
        self.last_number
    }

    /// Removes and returns the probe `number`, unless it was sent to another member than `by` or is no longer pending.
    pub fn take(&mut self, number: u64, by: &InstanceId) -> Option<PendingProbe> {
        let expected = self.pending.get(&number)?.id.as_ref();
        if expected.is_some_and(|id| id != by) {
            return None;
        }
        self.pending.remove(&number)
    }

    /// Returns the probes of random members that were not answered directly in time, each once.
    pub fn late(&mut self, now: Time) -> Vec<LateProbe> {
        let mut late = Vec::new();
        for (number, pending) in &mut self.pending {
            let is_late = !pending.late && now.saturating_since(pending.sent) >= DIRECT_TIMEOUT;
            let sampled = matches!(pending.purpose, Purpose::Regular | Purpose::Sample);
            let Some(target) = pending.target.filter(|_| is_late && sampled) else {
                continue;
            };
            pending.late = true;
            late.push(LateProbe {
                number: *number,
                target,
                sent: pending.sent,
                purpose: pending.purpose,
            });
        }
        late
    }

    /// Removes and returns the probes that timed out.
    pub fn expired(&mut self, now: Time) -> Vec<PendingProbe> {
        let expired = |p: &PendingProbe| now.saturating_since(p.sent) >= PROBE_TIMEOUT;
        let numbers: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, p)| expired(p))
            .map(|(n, _)| *n)
            .collect();
        numbers
            .into_iter()
            .filter_map(|n| self.pending.remove(&n))
            .collect()
    }

    /// Drops all probes without counting them as failed.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}

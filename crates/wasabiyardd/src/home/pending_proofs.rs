//! The proofs that the streams of a database wait for. The slot monitors choose their next query from them.

use super::watch::Watch;
use std::collections::BTreeMap;
use wasabiyard_model::{LogPoint, Time};

/// The proofs that streams wait for, each with the number of streams that wait for it.
#[derive(Debug, Default)]
pub struct PendingProofs {
    /// Commits that a majority of the slots has to acknowledge.
    pub(super) commits: BTreeMap<LogPoint, usize>,
    /// Times at or after which the status of the slots has to be requested.
    pub(super) status_times: BTreeMap<Time, usize>,
}

/// The next query of a slot monitor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotQuery {
    /// Whether the slot has received the log up to this commit.
    Received(LogPoint),
    /// The status of the slot.
    Status,
}

/// Withdraws a pending proof when the stream stops waiting for it.
pub struct PendingProofGuard<'a> {
    pending_proofs: &'a Watch<PendingProofs>,
    commit: Option<LogPoint>,
    status: Option<Time>,
}

impl<'a> PendingProofGuard<'a> {
    /// Requests the acknowledgement of a commit.
    pub fn commit(pending_proofs: &'a Watch<PendingProofs>, point: LogPoint) -> Self {
        pending_proofs.update(|d| *d.commits.entry(point).or_insert(0) += 1);
        Self {
            pending_proofs,
            commit: Some(point),
            status: None,
        }
    }

    /// Requests slot statuses that are queried at or after `since`.
    pub fn status(pending_proofs: &'a Watch<PendingProofs>, since: Time) -> Self {
        pending_proofs.update(|d| *d.status_times.entry(since).or_insert(0) += 1);
        Self {
            pending_proofs,
            commit: None,
            status: Some(since),
        }
    }
}

impl Drop for PendingProofGuard<'_> {
    fn drop(&mut self) {
        // A withdrawn proof adds no query for a monitor, so none has to be woken.
        self.pending_proofs.update_without_wake(|d| {
            withdraw(&mut d.commits, self.commit);
            withdraw(&mut d.status_times, self.status);
        });
    }
}

fn withdraw<K>(counts: &mut BTreeMap<K, usize>, key: Option<K>)
where
    K: Ord,
{
    let Some(key) = key else { return };
    let count = counts.get_mut(&key).expect("the proof of each guard is counted");
    *count -= 1;
    if *count == 0 {
        counts.remove(&key);
    }
}

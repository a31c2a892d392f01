//! What the streams of a database need to learn from its slots. The trackers look here for their next question.

use super::watch::Watch;
use std::collections::BTreeMap;
use wasabiyard_model::{LogPoint, Time};

/// What streams wait to learn from the slots, with the number of streams that wait for the same.
#[derive(Debug, Default)]
pub struct PendingProofs {
    /// Commits to be acknowledged.
    pub(super) commits: BTreeMap<LogPoint, usize>,
    /// Times since which a status is needed.
    pub(super) status_times: BTreeMap<Time, usize>,
}

/// The next question to a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotQuery {
    /// Whether it holds a commit.
    Received(LogPoint),
    /// Its status.
    Status,
}

/// Withdraws a wish when the stream stops waiting.
pub struct PendingProofGuard<'a> {
    pending_proofs: &'a Watch<PendingProofs>,
    commit: Option<LogPoint>,
    status: Option<Time>,
}

impl<'a> PendingProofGuard<'a> {
    /// Asks for the proof of a commit.
    pub fn commit(pending_proofs: &'a Watch<PendingProofs>, point: LogPoint) -> Self {
        pending_proofs.update(|d| *d.commits.entry(point).or_insert(0) += 1);
        Self {
            pending_proofs,
            commit: Some(point),
            status: None,
        }
    }

    /// Asks for statuses of slots that are asked at or after `since`.
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
        // No tracker has more to do because a wish is gone.
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
    let count = counts.get_mut(&key).expect("a wish is counted");
    *count -= 1;
    if *count == 0 {
        counts.remove(&key);
    }
}

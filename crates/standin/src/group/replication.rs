//! Asynchronous replication: each slot pulls records from the reachable primary of the highest term.

use super::group_state::Group;
use super::slot::{ReplicationBatch, Role};
use async_io::Timer;
use futures_lite::FutureExt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wasabiyard_model::{LogPosition, Term};

/// Largest number of records that a replica pulls at once.
const MAX_BATCH_RECORDS: usize = 4_096;
/// A slot checks for new records at least this often, also when it was not notified of a change.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest delay between two pulls of a replica that lags, so that it pulls several records at once.
const MIN_PULL_DELAY: Duration = Duration::from_micros(200);

/// Pulls and applies records for a slot until the process ends.
pub async fn replicate_slot(group: Arc<Group>, index: usize) {
    loop {
        let pulled_source = pull_source(&group, index);
        let next = group.pull(index, Instant::now());
        let deadline = next.unwrap_or_else(|| Instant::now() + POLL_INTERVAL);
        let changed = group
            .replication_changed
            .wait(|| (pull_source(&group, index) != pulled_source).then_some(()));
        let timeout = async {
            Timer::at(deadline).await;
        };
        changed.or(timeout).await;
    }
}

/// The reachable primary and the end of its log: a slot pulls again when they change.
fn pull_source(group: &Group, index: usize) -> (Option<(usize, Term)>, u64) {
    let leader = group.leader_for(index);
    let end = leader.map_or(0, |(leader, _)| group.slot(leader).log.end().0);
    (leader, end)
}

impl Group {
    /// Pulls one batch into a slot and applies the records whose apply time has come. Returns when to pull or apply
    /// next; `None` when nothing is pending.
    pub fn pull(&self, index: usize, now: Instant) -> Option<Instant> {
        let member = &self.members[index];
        let faults = member.faults();
        if faults.freeze || faults.down {
            return None;
        }
        let lag = Duration::from_millis(faults.lag_ms);
        let leader = self.leader_for(index);
        let batch = leader
            .and_then(|(leader, _)| self.build_batch(leader, index, now.checked_sub(lag).unwrap_or(now)));
        let (received, leader_end) = batch.map_or((false, LogPosition(0)), |batch| {
            let end = batch.leader_end;
            let apply_at = now + Duration::from_millis(faults.apply_lag_ms);
            (member.slot().receive(batch, apply_at), end)
        });
        let mut slot = member.slot();
        let applied = slot.apply_ready(now);
        let behind = slot.log.end() < leader_end;
        let next_batch = behind.then(|| now + lag.clamp(MIN_PULL_DELAY, POLL_INTERVAL));
        let next = [next_batch, slot.next_apply_at()].into_iter().flatten().min();
        drop(slot);
        if received || applied {
            member.changed.notify_all();
        }
        next
    }

    /// The primary that a slot pulls from, with its term: the reachable one of the highest term. A slot that is itself a
    /// primary pulls only from one of a higher term.
    fn leader_for(&self, index: usize) -> Option<(usize, Term)> {
        if !self.faults(index).can_replicate() {
            return None;
        }
        let own = {
            let slot = self.slot(index);
            (slot.role, slot.term)
        };
        let others = (0..self.len()).filter(|&other| other != index && self.faults(other).can_replicate());
        let leader = others
            .filter_map(|other| {
                let slot = self.slot(other);
                (slot.role == Role::Primary).then_some((other, slot.term))
            })
            .max_by_key(|(_, term)| *term)?;
        (own.0 == Role::Replica || leader.1 > own.1).then_some(leader)
    }

    /// Builds the next batch for a slot, of records written by `until`. `None` when `leader` is no primary any more.
    fn build_batch(&self, leader: usize, index: usize, until: Instant) -> Option<ReplicationBatch> {
        // Never locks two slots at the same time, which could deadlock. `Slot::receive` therefore checks that the log of
        // the replica still ends at `expected_end`.
        let (expected_end, replica_history) = {
            let slot = self.slot(index);
            (slot.log.end(), slot.log.history().to_vec())
        };
        let slot = self.slot(leader);
        if slot.role != Role::Primary {
            return None;
        }
        let common_end = slot.log.common_end(&replica_history, expected_end);
        Some(ReplicationBatch {
            term: slot.term,
            owner: slot.fence_owner.clone(),
            expected_end,
            common_end,
            leader_end: slot.log.end(),
            records: slot.log.records_after(common_end, until, MAX_BATCH_RECORDS),
        })
    }
}

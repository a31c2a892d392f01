//! The replicated state of one slot: its log, its tables, its role and its fence.

use super::log::{Change, Log, Record};
use super::sql_error::SqlError;
use super::tables::Tables;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;
use wasabiyard_model::{LogPoint, LogPosition, Term};

/// Role of a slot as the slot itself sees it. A deposed primary that cannot be reached keeps the role `Primary`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates from a primary and rejects writes.
    Replica,
}

/// The database state of a member of a replication group.
#[derive(Debug)]
pub struct Slot {
    pub(crate) id: String,
    pub(crate) role: Role,
    /// The last term in which the slot was the primary or received records.
    pub(crate) term: Term,
    /// Records of primaries of lower terms are rejected.
    pub(crate) fence_term: Term,
    /// The owner that set the fence, the only one that may promote this slot in that term.
    pub(crate) fence_owner: String,
    pub(crate) log: Log,
    /// Position of the last record that the tables contain.
    pub(crate) applied: LogPosition,
    pub(crate) tables: Tables,
    /// Received log ends with the time at which the records up to each may be applied, see `apply_lag_ms`.
    apply_queue: VecDeque<(Instant, LogPosition)>,
}

/// Result of `group_status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SlotStatus {
    /// Name of the slot, such as `s0`.
    pub slot: String,
    /// Role as the slot itself sees it.
    pub role: Role,
    /// The last term in which the slot was the primary or received records.
    pub term: Term,
    /// Records of primaries of lower terms are rejected.
    pub fenced_term: Term,
    /// Position of the last record in the log.
    pub received: LogPosition,
    /// Position of the last record that the tables contain.
    pub applied: LogPosition,
    /// Each term with the last position before it, such as `1:0,2:130`.
    pub history: String,
}

/// Result of `group_fence`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FenceResult {
    /// Whether the requested fence is in force for the requesting owner.
    pub granted: bool,
    /// The fence in force after the request.
    pub fenced_term: Term,
    /// Term of the last record in the log, 0 when the log is empty.
    pub last_term: Term,
    /// Position of the last record in the log.
    pub received: LogPosition,
}

impl Slot {
    /// A slot with an empty log at the start of term 1, whose fence `owner` holds.
    pub fn new(id: &str, role: Role, owner: &str) -> Self {
        Self {
            id: id.to_owned(),
            role,
            term: Term(1),
            fence_term: Term(1),
            fence_owner: owner.to_owned(),
            log: Log::default(),
            applied: LogPosition(0),
            tables: Tables::default(),
            apply_queue: VecDeque::new(),
        }
    }

    /// A summary for `group_status` and `GET /status`.
    pub fn status(&self) -> SlotStatus {
        SlotStatus {
            slot: self.id.clone(),
            role: self.role,
            term: self.term,
            fenced_term: self.fence_term,
            received: self.log.end(),
            applied: self.applied,
            history: self.log.history_text(),
        }
    }

    /// Rejects records of primaries of terms lower than `term` from now on. A slot that leads in a lower term becomes a
    /// replica. A term is granted to one owner only; this owner may ask again.
    pub fn fence(&mut self, term: Term, owner: &str) -> FenceResult {
        let granted = term > self.fence_term || (term == self.fence_term && owner == self.fence_owner);
        if granted && term > self.fence_term {
            self.fence_term = term;
            owner.clone_into(&mut self.fence_owner);
            self.role = Role::Replica;
        }
        FenceResult {
            granted,
            fenced_term: self.fence_term,
            last_term: self.log.last_term(),
            received: self.log.end(),
        }
    }

    /// Makes the slot the primary of `term` if the fence of this term and owner is in force. All received records are
    /// applied first. True also when it is the primary of this term already.
    pub fn promote(&mut self, term: Term, owner: &str) -> bool {
        if term != self.fence_term || owner != self.fence_owner {
            return false;
        }
        if self.role == Role::Replica {
            // The slot already replicates from another primary of this term.
            if self.term >= term {
                return false;
            }
            self.apply_up_to(self.log.end());
            self.apply_queue.clear();
            self.log.start_term(term);
            self.term = term;
            self.role = Role::Primary;
        }
        true
    }

    /// Appends the changes of a transaction to the log of the primary and applies them. Returns their log point.
    ///
    /// # Errors
    /// When the slot is not the primary, or a unique key exists; nothing is written then.
    pub fn commit(&mut self, changes: Vec<Change>, now: Instant) -> Result<LogPoint, SqlError> {
        self.check_writable()?;
        for (i, change) in changes.iter().enumerate() {
            self.tables.check_unique(change, &changes[..i])?;
        }
        self.log.append(Record {
            term: self.term,
            written_at: now,
            changes: Arc::from(changes),
        });
        self.apply_up_to(self.log.end());
        Ok(LogPoint {
            term: self.term,
            position: self.log.end(),
        })
    }

    /// Checks that the slot is the primary.
    ///
    /// # Errors
    /// [`SqlError::ReadOnly`] on a replica.
    pub fn check_writable(&self) -> Result<(), SqlError> {
        match self.role {
            Role::Primary => Ok(()),
            Role::Replica => Err(SqlError::ReadOnly),
        }
    }

    /// Appends the records of a batch after the common prefix of both logs; other records after this prefix are
    /// removed. Returns false and changes nothing when the batch brings nothing new, comes from a primary below the
    /// fence, or was built for a state of this log that has changed since.
    pub(crate) fn receive(&mut self, batch: ReplicationBatch, apply_at: Instant) -> bool {
        let outdated = batch.term < self.fence_term
            || (self.role == Role::Primary && batch.term <= self.term)
            || batch.expected_end != self.log.end();
        if outdated {
            return false;
        }
        if batch.records.is_empty() && batch.common_end == self.log.end() && batch.term == self.term {
            return false;
        }
        self.role = Role::Replica;
        self.term = batch.term;
        if batch.term > self.fence_term {
            self.fence_term = batch.term;
            self.fence_owner = batch.owner;
        }
        if batch.common_end < self.log.end() {
            self.truncate(batch.common_end);
        }
        for record in batch.records {
            self.log.append(record);
        }
        self.apply_queue.push_back((apply_at, self.log.end()));
        true
    }

    /// Applies the records whose apply time has come; false when there are none.
    pub(crate) fn apply_ready(&mut self, now: Instant) -> bool {
        let before = self.applied;
        while let Some((_, end)) = self.apply_queue.pop_front_if(|(at, _)| *at <= now) {
            self.apply_up_to(end);
        }
        self.applied > before
    }

    /// When the next records may be applied; `None` when none are waiting.
    pub(crate) fn next_apply_at(&self) -> Option<Instant> {
        self.apply_queue.front().map(|(at, _)| *at)
    }

    fn apply_up_to(&mut self, end: LogPosition) {
        while self.applied < end {
            self.applied.0 += 1;
            let record = self.log.record(self.applied).expect("received before applied");
            for change in record.changes.iter() {
                self.tables.apply(change);
            }
        }
    }

    /// Removes the records after `end`, and rebuilds the tables when some of them were applied.
    fn truncate(&mut self, end: LogPosition) {
        log::warn!(
            "{}: truncating the log to position {end}, it ended at {}",
            self.id,
            self.log.end()
        );
        self.log.truncate(end);
        for (_, queued_end) in &mut self.apply_queue {
            *queued_end = (*queued_end).min(end);
        }
        if self.applied > end {
            self.tables = Tables::default();
            self.applied = LogPosition(0);
            self.apply_up_to(end);
        }
    }
}

/// Records that a replica pulls from a primary at once.
#[derive(Debug)]
pub(crate) struct ReplicationBatch {
    /// Term of the primary.
    pub(crate) term: Term,
    /// Owner that holds the fence of the primary.
    pub(crate) owner: String,
    /// End of the replica's log when the batch was built.
    pub(crate) expected_end: LogPosition,
    /// Last position of the common prefix of both logs.
    pub(crate) common_end: LogPosition,
    /// End of the primary's log, which may lie after the last record of the batch.
    pub(crate) leader_end: LogPosition,
    pub(crate) records: Vec<Record>,
}

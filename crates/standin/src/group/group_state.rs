//! A replication group: its slots with their faults and connection counters, and its cancel keys.

use super::faults::SlotFaults;
use super::slot::{Role, Slot};
use crate::condition::Condition;
use pgwire::messages::startup::SecretKey;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicI32, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// Owner of the first primary's fence, as the object that `wasabiyard-standin group` registers states it.
const INITIAL_FENCE_OWNER: &str = "standin/0";

/// User name and password that all slots of a group accept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Credentials {
    /// User name.
    pub user: String,
    /// Password, which a slot requests in clear text.
    pub password: String,
}

/// A replication group, shared by the tasks of all its slots.
#[derive(Debug)]
pub struct Group {
    pub(crate) credentials: Credentials,
    pub(crate) members: Vec<Member>,
    /// Notified when there may be records to pull: a log, a role or a fault has changed.
    pub(crate) replication_changed: Condition,
    next_pid: AtomicI32,
    /// Cancel tokens of the logged-in connections, by the process id and the secret of `BackendKeyData`.
    cancel_tokens: Mutex<HashMap<i32, (SecretKey, Arc<CancelToken>)>>,
}

/// A slot with its injected faults and its connection and statement counters.
#[derive(Debug)]
pub(crate) struct Member {
    slot: Mutex<Slot>,
    faults: Mutex<SlotFaults>,
    /// Notified when the log, the applied position, the role or the fence of the slot changes.
    pub(crate) changed: Condition,
    /// Notified when the faults change.
    pub(crate) faults_changed: Condition,
    /// Logged-in connections, bounded by `SlotFaults::cap`.
    pub(crate) connections: AtomicU32,
    /// Statements run since the start.
    pub(crate) statements: AtomicU64,
    /// Logins rejected because of `SlotFaults::cap` since the start.
    pub(crate) refused_connections: AtomicU64,
}

/// Cancel flag of a connection, set by a `CancelRequest` on another connection.
#[derive(Debug, Default)]
pub(crate) struct CancelToken {
    requested: AtomicBool,
    changed: Condition,
}

/// Keeps a connection registered for `CancelRequest`; dropping it removes the registration.
#[derive(Debug)]
pub(crate) struct CancelRegistration {
    group: Arc<Group>,
    pub(crate) pid: i32,
    pub(crate) token: Arc<CancelToken>,
}

impl Group {
    /// A group of the slots `s0`, `s1`, …, whose first is the primary of term 1. All slots start with `faults`.
    pub fn new(slots: usize, credentials: Credentials, faults: SlotFaults) -> Self {
        let members = (0..slots).map(|i| {
            let role = if i == 0 { Role::Primary } else { Role::Replica };
            Member {
                slot: Mutex::new(Slot::new(&format!("s{i}"), role, INITIAL_FENCE_OWNER)),
                faults: Mutex::new(faults),
                changed: Condition::default(),
                faults_changed: Condition::default(),
                connections: AtomicU32::new(0),
                statements: AtomicU64::new(0),
                refused_connections: AtomicU64::new(0),
            }
        });
        Self {
            credentials,
            members: members.collect(),
            replication_changed: Condition::default(),
            next_pid: AtomicI32::new(1),
            cancel_tokens: Mutex::new(HashMap::new()),
        }
    }

    /// Index of the slot with this name, `None` when the group has no such slot.
    pub fn index_of(&self, slot: &str) -> Option<usize> {
        let number: usize = slot.strip_prefix('s')?.parse().ok()?;
        (number < self.members.len()).then_some(number)
    }

    /// Number of slots.
    pub const fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the group has no slots.
    pub const fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Locks the state of a slot. Panics when the index is out of range.
    pub fn slot(&self, index: usize) -> MutexGuard<'_, Slot> {
        self.members[index].slot()
    }

    /// Replaces the faults of a slot, for its open connections too.
    pub fn set_faults(&self, index: usize, faults: SlotFaults) {
        self.members[index].set_faults(faults);
        self.replication_changed.notify_all();
    }

    /// A copy of the present faults of a slot.
    pub fn faults(&self, index: usize) -> SlotFaults {
        self.members[index].faults()
    }

    /// Assigns a process id to a connection and registers it for `CancelRequest`.
    pub(crate) fn register_cancel(self: &Arc<Self>, secret: SecretKey) -> CancelRegistration {
        let pid = self.next_pid.fetch_add(1, Ordering::Relaxed);
        let token = Arc::new(CancelToken::default());
        self.cancel_tokens().insert(pid, (secret, Arc::clone(&token)));
        CancelRegistration {
            group: Arc::clone(self),
            pid,
            token,
        }
    }

    /// Handles a `CancelRequest`. Unknown process ids and wrong secrets are ignored.
    pub(crate) fn cancel(&self, pid: i32, secret: &SecretKey) {
        let cancel_tokens = self.cancel_tokens();
        if let Some((_, token)) = cancel_tokens.get(&pid).filter(|(key, _)| key.eq_value(secret)) {
            token.requested.store(true, Ordering::Release);
            token.changed.notify_all();
        }
    }

    fn cancel_tokens(&self) -> MutexGuard<'_, HashMap<i32, (SecretKey, Arc<CancelToken>)>> {
        self.cancel_tokens.lock().expect("no panic under this lock")
    }
}

impl Member {
    pub(crate) fn slot(&self) -> MutexGuard<'_, Slot> {
        self.slot.lock().expect("no panic under this lock")
    }

    pub(crate) fn faults(&self) -> SlotFaults {
        *self.faults.lock().expect("no panic under this lock")
    }

    fn set_faults(&self, faults: SlotFaults) {
        *self.faults.lock().expect("no panic under this lock") = faults;
        self.faults_changed.notify_all();
    }
}

impl CancelToken {
    /// Clears a request that arrived before the statement that starts now.
    pub(crate) fn reset(&self) {
        self.requested.store(false, Ordering::Release);
    }

    pub(crate) fn is_requested(&self) -> bool {
        self.requested.load(Ordering::Acquire)
    }

    /// Completes when cancellation is requested.
    pub(crate) async fn requested(&self) {
        self.changed.wait(|| self.is_requested().then_some(())).await;
    }
}

impl Drop for CancelRegistration {
    fn drop(&mut self) {
        self.group.cancel_tokens().remove(&self.pid);
    }
}

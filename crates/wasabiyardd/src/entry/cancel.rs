//! Cancel requests. They arrive on separate connections and identify the session to cancel by its key.

use async_channel::Sender;
use std::collections::HashMap;
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use wasabiyard_wire::{StreamId, StreamMessage};

/// The stream of one session that a cancel request reaches; `None` between transactions.
#[derive(Debug, Default)]
pub struct CancelTarget(Mutex<Option<(StreamId, Sender<StreamMessage>)>>);

impl CancelTarget {
    /// Sets or clears the running stream.
    pub fn set(&self, running: Option<(StreamId, Sender<StreamMessage>)>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = running;
    }

    fn cancel(&self) {
        let running = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((id, tx)) = running.as_ref() {
            // Sending fails only when the home has ended the stream; there is nothing left to cancel then.
            drop(tx.try_send(StreamMessage::Cancel(*id)));
        }
    }
}

/// The key of `BackendKeyData` that a caller presents to cancel a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CancelKey {
    /// Number of the session, sent in the place of a process id.
    pub process_id: i32,
    /// Random number that keeps other callers from cancelling the session.
    pub secret: i32,
}

/// All sessions by their cancel keys.
#[derive(Debug, Default)]
pub struct CancelTable {
    next_process_id: AtomicI32,
    sessions: Mutex<HashMap<CancelKey, Arc<CancelTarget>>>,
}

/// Keeps a session in the table until it is dropped.
#[derive(Debug)]
pub struct CancelRegistration {
    table: Arc<CancelTable>,
    key: CancelKey,
    target: Arc<CancelTarget>,
}

impl CancelTable {
    /// Adds a session under a new key.
    pub fn register(self: &Arc<Self>) -> CancelRegistration {
        let key = CancelKey {
            process_id: self.next_process_id.fetch_add(1, Ordering::Relaxed) & i32::MAX,
            secret: rand::random(),
        };
        let target = Arc::new(CancelTarget::default());
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        sessions.insert(key, Arc::clone(&target));
        CancelRegistration {
            table: Arc::clone(self),
            key,
            target,
        }
    }

    /// Forwards a cancel request to the session with this key. The protocol requires that unknown keys are ignored.
    pub fn cancel(&self, key: CancelKey) {
        let target = {
            let sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
            sessions.get(&key).cloned()
        };
        if let Some(target) = target {
            target.cancel();
        }
    }
}

impl CancelRegistration {
    /// The key to send to the caller.
    pub const fn key(&self) -> CancelKey {
        self.key
    }

    /// Where the session registers its running stream.
    pub fn target(&self) -> &CancelTarget {
        &self.target
    }
}

impl Drop for CancelRegistration {
    fn drop(&mut self) {
        let mut sessions = self.table.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        sessions.remove(&self.key);
    }
}

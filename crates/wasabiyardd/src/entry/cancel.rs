//! Cancel requests of callers.

use async_channel::Sender;
use std::collections::HashMap;
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use wasabiyard_wire::{StreamId, StreamMessage};

/// The running stream of one session.
#[derive(Debug, Default)]
pub struct CancelTarget(Mutex<Option<(StreamId, Sender<StreamMessage>)>>);

impl CancelTarget {
    /// Sets the stream that a cancel request reaches.
    pub fn set(&self, running: Option<(StreamId, Sender<StreamMessage>)>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = running;
    }

    fn cancel(&self) {
        let running = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((id, tx)) = running.as_ref() {
            // The home is gone when this fails, and there is nothing left to cancel.
            drop(tx.try_send(StreamMessage::Cancel(*id)));
        }
    }
}

/// The key that a caller presents to cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CancelKey {
    /// Number of the session, told as its process id.
    pub process: i32,
    /// Random.
    pub secret: i32,
}

/// All sessions by their cancel keys.
#[derive(Debug, Default)]
pub struct CancelTable {
    next_process: AtomicI32,
    sessions: Mutex<HashMap<CancelKey, Arc<CancelTarget>>>,
}

/// Keeps a session in the table.
#[derive(Debug)]
pub struct CancelRegistration {
    table: Arc<CancelTable>,
    key: CancelKey,
    target: Arc<CancelTarget>,
}

impl CancelTable {
    /// Adds a session.
    pub fn register(self: &Arc<Self>) -> CancelRegistration {
        let key = CancelKey {
            process: self.next_process.fetch_add(1, Ordering::Relaxed) & i32::MAX,
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

    /// Passes a cancel request on. A key that is not known is ignored, as the protocol asks.
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
    /// The key for the caller.
    pub const fn key(&self) -> CancelKey {
        self.key
    }

    /// The running stream of the session.
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

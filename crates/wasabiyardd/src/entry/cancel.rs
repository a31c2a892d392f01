//! Cancel requests of callers.

use async_channel::Sender;
use std::collections::HashMap;
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use wasabiyard_wire::{StreamId, StreamMessage};

/// The running stream of one session.
#[derive(Debug, Default)]
pub struct CancelSlot(Mutex<Option<(StreamId, Sender<StreamMessage>)>>);

impl CancelSlot {
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
    next: AtomicI32,
    sessions: Mutex<HashMap<CancelKey, Arc<CancelSlot>>>,
}

/// Keeps a session in the table.
#[derive(Debug)]
pub struct CancelGuard {
    table: Arc<CancelTable>,
    key: CancelKey,
    slot: Arc<CancelSlot>,
}

impl CancelTable {
    /// Adds a session.
    pub fn register(self: &Arc<Self>) -> CancelGuard {
        let key = CancelKey {
            process: self.next.fetch_add(1, Ordering::Relaxed) & i32::MAX,
            secret: rand::random(),
        };
        let slot = Arc::new(CancelSlot::default());
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        sessions.insert(key, Arc::clone(&slot));
        CancelGuard {
            table: Arc::clone(self),
            key,
            slot,
        }
    }

    /// Passes a cancel request on. A key that is not known is ignored, as the protocol asks.
    pub fn cancel(&self, key: CancelKey) {
        let slot = {
            let sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
            sessions.get(&key).cloned()
        };
        if let Some(slot) = slot {
            slot.cancel();
        }
    }
}

impl CancelGuard {
    /// The key for the caller.
    pub const fn key(&self) -> CancelKey {
        self.key
    }

    /// The running stream of the session.
    pub fn slot(&self) -> &CancelSlot {
        &self.slot
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let mut sessions = self.table.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        sessions.remove(&self.key);
    }
}

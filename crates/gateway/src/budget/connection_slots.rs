//! Bounds the number of connections to a port.
//!
//! A connection is provisional until it is kept, as that of a caller is at its login. When all slots are taken, the
//! provisional connection that has been open longest is closed for a new one.

use super::accounts::Closable;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// Connections that may be open beyond the limit while those that were closed for them end.
const MAX_ENDING: usize = 16;

/// The slots of a port.
#[derive(Clone)]
pub struct ConnectionSlots {
    inner: Rc<Inner>,
}

struct Inner {
    limit: usize,
    open: Cell<usize>,
    /// Connections that were closed for others and have not ended.
    ending: Cell<usize>,
    next_id: Cell<u64>,
    /// Provisional connections in the order of their arrival.
    provisional: RefCell<BTreeMap<u64, Rc<dyn Closable>>>,
}

impl fmt::Debug for ConnectionSlots {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionSlots")
            .field("limit", &self.inner.limit)
            .field("open", &self.inner.open)
            .finish_non_exhaustive()
    }
}

impl ConnectionSlots {
    /// Slots for `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            inner: Rc::new(Inner {
                limit,
                open: Cell::new(0),
                ending: Cell::new(0),
                next_id: Cell::new(0),
                provisional: RefCell::default(),
            }),
        }
    }

    /// Takes a slot for a new connection; `None` if all are taken by kept connections or by connections that are ending.
    pub fn take(&self, connection: Rc<dyn Closable>) -> Option<ConnectionSlot> {
        let inner = &self.inner;
        if inner.open.get() - inner.ending.get() >= inner.limit {
            if inner.ending.get() >= MAX_ENDING {
                return None;
            }
            let (_, longest) = inner.provisional.borrow_mut().pop_first()?;
            inner.ending.set(inner.ending.get() + 1);
            longest.close();
        }
        let id = inner.next_id.get();
        inner.next_id.set(id + 1);
        inner.open.set(inner.open.get() + 1);
        inner.provisional.borrow_mut().insert(id, connection);
        Some(ConnectionSlot {
            slots: self.clone(),
            id,
            kept: Cell::new(false),
        })
    }

    /// Number of taken slots.
    pub fn taken(&self) -> usize {
        self.inner.open.get()
    }
}

/// The slot of one connection. Dropping it frees the slot.
#[derive(Debug)]
pub struct ConnectionSlot {
    slots: ConnectionSlots,
    id: u64,
    kept: Cell<bool>,
}

impl ConnectionSlot {
    /// Keeps the connection from being closed for others. Returns false if it was closed before.
    pub fn keep(&self) -> bool {
        let removed = self.slots.inner.provisional.borrow_mut().remove(&self.id);
        self.kept.set(removed.is_some());
        removed.is_some()
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let inner = &self.slots.inner;
        let waited = inner.provisional.borrow_mut().remove(&self.id).is_some();
        if !waited && !self.kept.get() {
            inner.ending.set(inner.ending.get() - 1);
        }
        inner.open.set(inner.open.get() - 1);
    }
}

//! Bounds the number of connections of callers.
//!
//! When all slots are taken, the connection that has waited longest without a login is closed for a new one; sessions are
//! kept.

use super::accounts::Closable;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// Connections that may be open beyond the limit while those that were closed for them end.
const MAX_ENDING: usize = 16;

/// The slots of an instance.
#[derive(Clone)]
pub struct CallerSlots {
    inner: Rc<Inner>,
}

struct Inner {
    limit: usize,
    open: Cell<usize>,
    /// Connections that were closed for others and have not ended.
    ending: Cell<usize>,
    next_id: Cell<u64>,
    /// Connections without a login, in the order of their arrival.
    without_login: RefCell<BTreeMap<u64, Rc<dyn Closable>>>,
}

impl fmt::Debug for CallerSlots {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerSlots")
            .field("limit", &self.inner.limit)
            .field("open", &self.inner.open)
            .finish_non_exhaustive()
    }
}

impl CallerSlots {
    /// Slots for `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            inner: Rc::new(Inner {
                limit,
                open: Cell::new(0),
                ending: Cell::new(0),
                next_id: Cell::new(0),
                without_login: RefCell::default(),
            }),
        }
    }

    /// Takes a slot for a new connection; `None` if all are taken by sessions or by connections that are ending.
    pub fn take(&self, connection: Rc<dyn Closable>) -> Option<CallerSlot> {
        let inner = &self.inner;
        if inner.open.get() - inner.ending.get() >= inner.limit {
            if inner.ending.get() >= MAX_ENDING {
                return None;
            }
            let (_, longest) = inner.without_login.borrow_mut().pop_first()?;
            inner.ending.set(inner.ending.get() + 1);
            longest.close();
        }
        let id = inner.next_id.get();
        inner.next_id.set(id + 1);
        inner.open.set(inner.open.get() + 1);
        inner.without_login.borrow_mut().insert(id, connection);
        Some(CallerSlot {
            slots: self.clone(),
            id,
            logged_in: Cell::new(false),
        })
    }

    /// Number of taken slots.
    pub fn taken(&self) -> usize {
        self.inner.open.get()
    }
}

/// The slot of one connection. Dropping it frees the slot.
#[derive(Debug)]
pub struct CallerSlot {
    slots: CallerSlots,
    id: u64,
    logged_in: Cell<bool>,
}

impl CallerSlot {
    /// Keeps the connection from being closed for others. Returns whether it was not closed yet.
    pub fn on_login(&self) -> bool {
        let removed = self.slots.inner.without_login.borrow_mut().remove(&self.id);
        self.logged_in.set(removed.is_some());
        removed.is_some()
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        let inner = &self.slots.inner;
        let waited = inner.without_login.borrow_mut().remove(&self.id).is_some();
        if !waited && !self.logged_in.get() {
            inner.ending.set(inner.ending.get() - 1);
        }
        inner.open.set(inner.open.get() - 1);
    }
}

//! Handles of the memory budget: one account for each connection, and claims that return their bytes when dropped.

use super::memory_budget::{ClaimId, Decision, MemoryBudget, Purpose, UNCOUNTED_BYTES};
use crate::clock;
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::{Rc, Weak};
use std::time::Duration;
use thiserror::Error;
use wasabiyard_model::Time;

/// Longest time that a message or an answer in progress waits for memory.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Pause before the second attempt; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(5);

/// Why memory was not granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the memory for callers is used up")]
pub struct ClaimError;

/// A connection that can be closed for others.
pub trait Closable {
    /// Ends pending reads and writes of the connection.
    fn close(&self);
}

/// The budget and the connections that hold claims, shared by all connections of the traffic thread.
#[derive(Clone)]
pub struct MemoryAccounts {
    inner: Rc<Inner>,
}

struct Inner {
    budget: RefCell<MemoryBudget>,
    holders: RefCell<BTreeMap<ClaimId, Weak<Account>>>,
}

impl fmt::Debug for MemoryAccounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemoryAccounts")
            .field("budget", &self.inner.budget)
            .finish_non_exhaustive()
    }
}

impl MemoryAccounts {
    /// Accounts that share `total` bytes.
    pub fn new(total: usize) -> Self {
        Self {
            inner: Rc::new(Inner {
                budget: RefCell::new(MemoryBudget::new(total)),
                holders: RefCell::default(),
            }),
        }
    }

    /// Opens the account of a connection.
    pub fn open(&self, connection: Rc<dyn Closable>) -> Rc<Account> {
        Rc::new(Account {
            accounts: self.clone(),
            connection,
            closed_for: Cell::new(None),
            state_claim: Cell::new(None),
        })
    }

    /// Bytes claimed for a purpose.
    pub fn used(&self, purpose: Purpose) -> usize {
        self.inner.budget.borrow().used(purpose)
    }

    /// Closes the connection that holds a claim.
    fn close_holder(&self, id: ClaimId) {
        let holder = self.inner.holders.borrow().get(&id).and_then(Weak::upgrade);
        let holder = holder.expect("a claim belongs to an open account");
        holder.closed_for.set(Some(id));
        holder.connection.close();
    }
}

/// The account of one connection.
pub struct Account {
    accounts: MemoryAccounts,
    connection: Rc<dyn Closable>,
    /// Claim for which the connection was closed.
    closed_for: Cell<Option<ClaimId>>,
    /// Claim for the state of the session.
    state_claim: Cell<Option<ClaimId>>,
}

impl fmt::Debug for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Account")
            .field("closed_for", &self.closed_for)
            .finish_non_exhaustive()
    }
}

impl Account {
    /// Opens a claim of no bytes.
    pub fn claim(self: &Rc<Self>, purpose: Purpose) -> Claim {
        Claim {
            account: Some(Rc::clone(self)),
            purpose,
            id: None,
        }
    }

    /// Whether the connection was closed for others.
    pub fn is_closed(&self) -> bool {
        self.closed_for.get().is_some()
    }

    /// Marks whether a statement of the session runs; the state of an idle session may be given up for others.
    pub fn set_busy(&self, busy: bool) {
        if let Some(id) = self.state_claim.get() {
            let mut budget = self.accounts.inner.budget.borrow_mut();
            budget.set_busy(id, busy, clock::now());
        }
    }
}

/// Bytes that a connection holds for one purpose. Dropping it returns them.
#[derive(Debug)]
pub struct Claim {
    /// `None` where memory is not limited.
    account: Option<Rc<Account>>,
    purpose: Purpose,
    /// `None` while the bytes are few enough not to be counted.
    id: Option<ClaimId>,
}

impl Claim {
    /// A claim to which everything is granted.
    pub const fn unlimited(purpose: Purpose) -> Self {
        Self {
            account: None,
            purpose,
            id: None,
        }
    }

    /// Changes the claim to `bytes`, without waiting.
    ///
    /// # Errors
    ///
    /// If the bytes are neither free nor about to be returned by a connection that is closed for them. The claim is
    /// unchanged.
    pub fn resize(&mut self, bytes: usize) -> Result<(), ClaimError> {
        let Some((accounts, id)) = self.registered(bytes) else {
            return Ok(());
        };
        loop {
            let decision = accounts.inner.budget.borrow_mut().resize(id, bytes, clock::now());
            match decision {
                Decision::Granted => return Ok(()),
                Decision::Wait => {
                    accounts.inner.budget.borrow_mut().force(id, bytes);
                    return Ok(());
                }
                Decision::Close(other) => accounts.close_holder(other),
                Decision::Exhausted => return Err(ClaimError),
            }
        }
    }

    /// Changes the claim to `bytes`, and waits a moment for others to return theirs.
    ///
    /// # Errors
    ///
    /// If the bytes are not free in time. The claim is unchanged.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), ClaimError> {
        let Some((accounts, id)) = self.registered(bytes) else {
            return Ok(());
        };
        let mut pause = FIRST_PAUSE;
        let mut end: Option<Time> = None;
        loop {
            let now = clock::now();
            let decision = accounts.inner.budget.borrow_mut().resize(id, bytes, now);
            match decision {
                Decision::Granted => return Ok(()),
                Decision::Close(other) => {
                    accounts.close_holder(other);
                    continue;
                }
                Decision::Wait | Decision::Exhausted => {}
            }
            if now >= *end.get_or_insert(now + MAX_WAIT) || self.is_closed() {
                return Err(ClaimError);
            }
            Timer::after(pause).await;
            pause *= 2;
        }
    }

    /// Returns all bytes.
    pub fn release(&mut self) {
        let Some(id) = self.id.take() else {
            return;
        };
        let account = self.account.as_ref().expect("only accounts register claims");
        if account.state_claim.get() == Some(id) {
            account.state_claim.set(None);
        }
        account.accounts.inner.holders.borrow_mut().remove(&id);
        account.accounts.inner.budget.borrow_mut().close(id);
    }

    /// Whether the connection was closed for others.
    pub fn is_closed(&self) -> bool {
        self.account.as_ref().is_some_and(|a| a.is_closed())
    }

    /// The accounts and the key of the claim, `None` if `bytes` need not be counted.
    fn registered(&mut self, bytes: usize) -> Option<(MemoryAccounts, ClaimId)> {
        if bytes <= UNCOUNTED_BYTES {
            self.release();
            return None;
        }
        let account = self.account.as_ref()?;
        let id = *self.id.get_or_insert_with(|| {
            let inner = &account.accounts.inner;
            let id = inner.budget.borrow_mut().open(self.purpose, clock::now());
            inner.holders.borrow_mut().insert(id, Rc::downgrade(account));
            if self.purpose == Purpose::SessionState {
                account.state_claim.set(Some(id));
                inner.budget.borrow_mut().set_busy(id, true, clock::now());
            }
            id
        });
        Some((account.accounts.clone(), id))
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.release();
    }
}

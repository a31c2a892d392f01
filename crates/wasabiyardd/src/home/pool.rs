//! The connection pool of one database.
//!
//! A transaction that needs the primary waits in the primary queue, which is served by whichever slot is the primary; a
//! read from a certain replica waits in the queue of that slot. One lock covers the pool of a database. Every change
//! ends with a dispatch, which gives idle connections to waiting transactions and opens connections for the rest.

use super::pool_state::{ConnectionGrant, PoolState};
use super::pooled_connection::PooledConnection;
use super::slot_connection::{Credential, SlotConnection};
use crate::clock;
use crate::counters::{self, Counter};
use async_executor::Executor;
use async_io::Timer;
use futures_lite::future;
use log::debug;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;
use wasabiyard_model::{NotRun, Slot, Time};
use wasabiyard_platform::ReplicationGroup;
use wasabiyard_schedule::QueuedRequest;

/// Longest time to open one connection, authentication included.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The slot that a transaction needs a connection to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Whichever slot is the primary.
    Primary,
    /// This slot, whatever its role.
    Slot(Slot),
}

/// The connection pool of one database.
#[derive(Debug)]
pub struct Pool {
    database: String,
    credential: Credential,
    executor: Weak<Executor<'static>>,
    state: Mutex<PoolState>,
}

impl Pool {
    /// Creates a pool without slots; [`Self::configure`] adds them.
    pub fn new(database: &str, credential: &Credential, executor: &Arc<Executor<'static>>) -> Arc<Self> {
        Arc::new(Self {
            database: database.to_owned(),
            credential: credential.clone(),
            executor: Arc::downgrade(executor),
            state: Mutex::new(PoolState::default()),
        })
    }

    /// Applies the slots of a group object. A slot is identified by its index in the group; the connections of a slot
    /// that moved to another address are closed.
    pub fn configure(self: &Arc<Self>, group: &ReplicationGroup, in_service: impl Fn(usize) -> bool) {
        let to_close = self.lock().configure(group, in_service);
        drop(to_close);
        self.dispatch();
    }

    /// Sets the slot that serves the primary queue.
    pub fn set_primary(self: &Arc<Self>, primary: Option<Slot>) {
        let changed = self.lock().set_primary(primary);
        if changed {
            self.dispatch();
        }
    }

    /// Pauses or resumes the primary queue. While it is paused, no transaction starts at the primary.
    pub fn pause_primary_queue(self: &Arc<Self>, paused: bool) {
        let changed = self.lock().set_primary_queue_paused(paused);
        if changed {
            self.dispatch();
        }
    }

    /// Closes the idle connections, and each other one when it is returned and no transaction waits. Transactions that
    /// wait are still served.
    pub fn close_when_unused(&self) {
        let to_close = self.lock().close_when_unused();
        drop(to_close);
    }

    /// Number of connections of a slot that are in use.
    pub fn in_use(&self, slot: Slot) -> usize {
        self.lock().in_use(slot)
    }

    /// Number of connections of a slot that are idle or may be opened; 0 when the last connect failed.
    pub fn available(&self, slot: Slot) -> u32 {
        self.lock().available(slot)
    }

    /// Waits for a usable connection.
    ///
    /// # Errors
    ///
    /// When no connection was available by the deadline, or the request was refused because of overload.
    pub async fn acquire(
        self: &Arc<Self>,
        target: Target,
        request: &QueuedRequest,
    ) -> Result<PooledConnection, NotRun> {
        loop {
            let mut conn = self.acquire_unchecked(target, request).await?;
            if conn.is_usable().await {
                return Ok(conn);
            }
            debug!(
                "closed an idle connection to {} that is no longer usable",
                self.database
            );
        }
    }

    async fn acquire_unchecked(
        self: &Arc<Self>,
        target: Target,
        request: &QueuedRequest,
    ) -> Result<PooledConnection, NotRun> {
        let (tx, rx) = async_channel::bounded(1);
        let now = clock::now();
        let ticket = self.lock().enqueue(target, request, tx, now)?;
        let guard = QueueGuard {
            pool: self,
            target,
            ticket,
        };
        self.dispatch();
        let granted = future::or(async { rx.recv().await.ok() }, async {
            Timer::after(request.deadline.saturating_since(clock::now())).await;
            None
        })
        .await;
        drop(guard);
        match granted.or_else(|| rx.try_recv().ok()) {
            Some(result) => result.map_err(|reason| self.timeout_reason(target, reason)),
            None => Err(self.timeout_reason(target, NotRun::Deadline)),
        }
    }

    /// Replaces a passed deadline by a more specific reason, if there is one.
    fn timeout_reason(&self, target: Target, reason: NotRun) -> NotRun {
        match reason {
            NotRun::Deadline => self.lock().timeout_reason(target),
            other => other,
        }
    }

    /// Records for admission control that a transaction held a connection for `service`.
    pub(super) fn count_service_time(&self, service: Duration, now: Time) {
        self.lock().admission.record_service_time(service, now);
    }

    pub(super) fn return_connection(
        self: &Arc<Self>,
        slot: Slot,
        conn: Option<SlotConnection>,
        address: SocketAddr,
    ) {
        let to_close = self.lock().return_connection(slot, conn, address, clock::now());
        drop(to_close);
        self.dispatch();
    }

    /// Gives idle connections to waiting transactions, and opens connections for the others.
    fn dispatch(self: &Arc<Self>) {
        let now = clock::now();
        let (grants, connects, wake, retired) = {
            let mut state = self.lock();
            let grants = state.dispatch(now);
            let connects = state.start_connects(now);
            (grants, connects, state.schedule_wake(now), state.take_retired())
        };
        drop(retired);
        for ConnectionGrant {
            waiter,
            conn,
            slot,
            address,
            idle_since,
        } in grants
        {
            let conn = PooledConnection::new(self, slot, address, conn, idle_since);
            let _gone = waiter.tx.try_send(Ok(conn));
        }
        let Some(executor) = self.executor.upgrade() else {
            return;
        };
        for (slot, address) in connects {
            executor.spawn(Arc::clone(self).connect(slot, address)).detach();
        }
        if let Some(wake_delay) = wake {
            let pool = Arc::downgrade(self);
            let wake = async move {
                Timer::after(wake_delay).await;
                if let Some(pool) = pool.upgrade() {
                    pool.lock().wake_fired();
                    pool.dispatch();
                }
            };
            executor.spawn(wake).detach();
        }
    }

    async fn connect(self: Arc<Self>, slot: Slot, address: SocketAddr) {
        let result =
            SlotConnection::connect(address, &self.database, &self.credential, CONNECT_TIMEOUT).await;
        if let Err(e) = &result {
            counters::add(Counter::SlotConnectsFailed, 1);
            debug!("cannot connect to {slot} of {}: {e}", self.database);
        }
        counters::add(Counter::SlotConnects, u64::from(result.is_ok()));
        let to_close = self
            .lock()
            .connect_finished(slot, address, result.ok(), clock::now());
        drop(to_close);
        self.dispatch();
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().expect("no holder of this lock panics")
    }
}

/// Removes a transaction from its queue when it stops waiting.
struct QueueGuard<'a> {
    pool: &'a Arc<Pool>,
    target: Target,
    ticket: wasabiyard_schedule::Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let waiter = self.pool.lock().remove_waiter(self.target, self.ticket);
        drop(waiter);
    }
}

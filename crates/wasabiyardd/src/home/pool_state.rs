//! The state of a [`Pool`](super::pool::Pool), without I/O. Methods that return connections leave it to the caller to
//! close them, after the lock is released.

use super::pool::Target;
use super::pooled_connection::PooledConnection;
use super::slot_connection::SlotConnection;
use async_channel::Sender;
use cranelift_entity::{EntityRef, PrimaryMap};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use wasabiyard_model::{NotRun, Slot, Time};
use wasabiyard_platform::{ReplicationGroup, SlotState};
use wasabiyard_schedule::{AdmissionControl, ConnectLimiter, FairQueue, QueuedRequest, Ticket};

/// Connections of each slot that the pool leaves free: one for the slot monitor and one for promotion commands.
const RESERVED_CONNECTIONS: u32 = 2;
/// Connection limit of a slot when the group object states none.
const DEFAULT_MAX_CONNECTIONS: u32 = 20;
/// Shortest delay until the next dispatch. A connect takes about as long, so a shorter delay would only repeat the
/// dispatch without result.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(1);

/// A transaction that waits for a connection.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) tx: Sender<Result<PooledConnection, NotRun>>,
    /// Whether no connection was available when it was enqueued. Only then can it be refused for overload later.
    queued: bool,
}

/// A connection that is assigned to a waiting transaction.
pub(super) struct ConnectionGrant {
    pub(super) waiter: Waiter,
    pub(super) conn: SlotConnection,
    pub(super) slot: Slot,
    pub(super) address: SocketAddr,
    pub(super) idle_since: Option<Time>,
}

#[derive(Debug)]
struct SlotPool {
    address: SocketAddr,
    in_service: bool,
    /// Most connections that the pool may have open to the slot.
    limit: u32,
    /// Idle connections, each with the time since which it is idle; `None` for one that was never used.
    idle: VecDeque<(SlotConnection, Option<Time>)>,
    in_use: u32,
    connect_limiter: ConnectLimiter,
    last_connect_succeeded: bool,
    queue: FairQueue<Waiter>,
}

/// The connections of one database and the queues for them.
#[derive(Debug)]
pub(super) struct PoolState {
    slots: PrimaryMap<Slot, SlotPool>,
    primary: Option<Slot>,
    primary_queue_paused: bool,
    /// Whether connections are closed instead of kept once no transaction waits.
    closing: bool,
    /// Transactions that wait for whichever slot is the primary.
    primary_queue: FairQueue<Waiter>,
    pub(super) admission: AdmissionControl,
    /// When a connect limiter next allows a connect that was held back.
    wake_at: Option<Time>,
    wake_scheduled: bool,
    /// Idle connections to slots out of service, which are to be closed.
    retired: Vec<SlotConnection>,
    rng: SmallRng,
}

impl Default for PoolState {
    fn default() -> Self {
        Self {
            slots: PrimaryMap::new(),
            primary: None,
            primary_queue_paused: false,
            closing: false,
            primary_queue: FairQueue::default(),
            admission: AdmissionControl::default(),
            wake_at: None,
            wake_scheduled: false,
            retired: Vec::new(),
            rng: SmallRng::seed_from_u64(rand::rng().random()),
        }
    }
}

impl SlotPool {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            in_service: true,
            limit: 1,
            idle: VecDeque::new(),
            in_use: 0,
            connect_limiter: ConnectLimiter::default(),
            last_connect_succeeded: true,
            queue: FairQueue::default(),
        }
    }

    /// Connections that are open or being opened.
    fn open(&self) -> u32 {
        self.in_use + self.idle.len() as u32 + self.connect_limiter.running()
    }
}

impl PoolState {
    /// Applies the slots of a group object. Returns the connections that must be closed.
    pub(super) fn configure(
        &mut self,
        group: &ReplicationGroup,
        in_service: impl Fn(usize) -> bool,
    ) -> Vec<SlotConnection> {
        let mut to_close = Vec::new();
        let max = match group.max_connections {
            0 => DEFAULT_MAX_CONNECTIONS,
            n => n,
        };
        for (index, slot) in group.slots.iter().enumerate() {
            let Ok(address) = slot.address.parse() else {
                continue;
            };
            while self.slots.len() <= index {
                self.slots.push(SlotPool::new(address));
            }
            let pool = &mut self.slots[Slot::new(index)];
            pool.in_service = slot.state == SlotState::Live && in_service(index);
            pool.limit = max.saturating_sub(RESERVED_CONNECTIONS).max(1);
            if pool.address != address {
                pool.address = address;
                to_close.extend(pool.idle.drain(..).map(|(conn, _)| conn));
            }
        }
        to_close
    }

    pub(super) fn set_primary(&mut self, primary: Option<Slot>) -> bool {
        std::mem::replace(&mut self.primary, primary) != primary
    }

    pub(super) fn set_primary_queue_paused(&mut self, primary_queue_paused: bool) -> bool {
        std::mem::replace(&mut self.primary_queue_paused, primary_queue_paused) != primary_queue_paused
    }

    pub(super) fn close_when_unused(&mut self) -> Vec<SlotConnection> {
        self.closing = true;
        let idle = self.slots.values_mut().flat_map(|pool| pool.idle.drain(..));
        idle.map(|(conn, _)| conn).collect()
    }

    pub(super) fn in_use(&self, slot: Slot) -> usize {
        self.slots.get(slot).map_or(0, |s| s.in_use as usize)
    }

    pub(super) fn available(&self, slot: Slot) -> u32 {
        self.slots.get(slot).map_or(0, |s| {
            if s.last_connect_succeeded {
                s.limit.saturating_sub(s.in_use)
            } else {
                0
            }
        })
    }

    /// The reason to report when the deadline passes while a transaction waits for `target`.
    pub(super) fn timeout_reason(&self, target: Target) -> NotRun {
        let slot = match target {
            Target::Primary if self.primary_queue_paused => return NotRun::NoPrimary,
            Target::Primary => self.primary,
            Target::Slot(slot) => Some(slot),
        };
        match slot.and_then(|s| self.slots.get(s)) {
            None => NotRun::NoPrimary,
            Some(pool) if pool.in_use == 0 && pool.idle.is_empty() => NotRun::CannotConnect,
            Some(_) => NotRun::Deadline,
        }
    }

    /// Adds a transaction to the queue of `target`, or refuses it if all connections are in use and the queue could not
    /// serve it by its deadline.
    pub(super) fn enqueue(
        &mut self,
        target: Target,
        request: &QueuedRequest,
        tx: Sender<Result<PooledConnection, NotRun>>,
        now: Time,
    ) -> Result<Ticket, NotRun> {
        let slot = match target {
            Target::Primary => self.primary,
            Target::Slot(slot) => Some(slot),
        };
        let connections = slot.and_then(|s| self.slots.get(s)).map_or(1, |s| s.limit);
        let available_connections = slot
            .and_then(|s| self.slots.get(s))
            .map_or(0, |s| s.limit.saturating_sub(s.in_use));
        let queue = self.queue(target).ok_or(NotRun::CannotConnect)?;
        let ahead = queue.requests_ahead(&request.organisation, request.weight, request.class);
        if available_connections == 0 {
            self.admission
                .admit(ahead + 1, connections as usize, request.deadline, now)?;
        }
        let waiter = Waiter {
            tx,
            queued: available_connections == 0,
        };
        let queue = self.queue(target).ok_or(NotRun::CannotConnect)?;
        queue
            .push(request.clone(), waiter, now)
            .map_err(|(_, reason)| reason)
    }

    pub(super) fn remove_waiter(&mut self, target: Target, ticket: Ticket) -> Option<Waiter> {
        self.queue(target)?.remove(ticket)
    }

    fn queue(&mut self, target: Target) -> Option<&mut FairQueue<Waiter>> {
        match target {
            Target::Primary => Some(&mut self.primary_queue),
            Target::Slot(slot) => self.slots.get_mut(slot).map(|s| &mut s.queue),
        }
    }

    /// Takes back a connection, or only its place when it was closed. Returns the connection if it must be closed.
    pub(super) fn return_connection(
        &mut self,
        slot: Slot,
        conn: Option<SlotConnection>,
        address: SocketAddr,
        now: Time,
    ) -> Option<SlotConnection> {
        let closing = self.closing && self.primary_queue.is_empty();
        let pool = &mut self.slots[slot];
        assert!(pool.in_use > 0, "a connection was returned that was not in use");
        pool.in_use -= 1;
        if (closing && pool.queue.is_empty()) || pool.address != address {
            return conn;
        }
        // The connection used last is used next, so that connections above the current need stay idle.
        pool.idle.extend(conn.map(|c| (c, Some(now))));
        None
    }

    /// Records the end of a connect, with the connection if it succeeded. Returns the connection if it must be closed.
    pub(super) fn connect_finished(
        &mut self,
        slot: Slot,
        address: SocketAddr,
        conn: Option<SlotConnection>,
        now: Time,
    ) -> Option<SlotConnection> {
        let closing = self.closing && self.primary_queue.is_empty();
        let pool = &mut self.slots[slot];
        match conn {
            _ if (closing && pool.queue.is_empty()) || pool.address != address => {
                pool.connect_limiter.abandoned();
                conn
            }
            Some(conn) => {
                pool.connect_limiter.succeeded(now, &mut self.rng);
                pool.last_connect_succeeded = true;
                pool.idle.push_back((conn, None));
                None
            }
            None => {
                pool.connect_limiter.failed(now, &mut self.rng);
                pool.last_connect_succeeded = false;
                None
            }
        }
    }

    /// Assigns idle connections to waiting transactions in queue order. At the primary, its queue comes before the
    /// queue of the slot.
    pub(super) fn dispatch(&mut self, now: Time) -> Vec<ConnectionGrant> {
        let mut grants = Vec::new();
        let primary = self.primary.filter(|_| !self.primary_queue_paused);
        for (slot, pool) in &mut self.slots {
            while !pool.idle.is_empty() {
                let from_primary_queue = if Some(slot) == primary {
                    self.primary_queue.pop(now)
                } else {
                    None
                };
                let Some((request, waiter)) = from_primary_queue.or_else(|| pool.queue.pop(now)) else {
                    break;
                };
                if waiter.queued && !self.admission.can_meet_deadline(request.deadline, now) {
                    let _gone = waiter.tx.try_send(Err(NotRun::Overload));
                    continue;
                }
                let (conn, idle_since) = pool
                    .idle
                    .pop_back()
                    .expect("the loop condition checked that a connection is idle");
                pool.in_use += 1;
                grants.push(ConnectionGrant {
                    waiter,
                    conn,
                    slot,
                    address: pool.address,
                    idle_since,
                });
            }
            if !pool.in_service && Some(slot) != self.primary {
                self.retired.extend(pool.idle.drain(..).map(|(conn, _)| conn));
            }
        }
        self.refuse_dropped(now);
        grants
    }

    /// Refuses the transactions that a queue dropped because their deadline passed or others displaced them.
    fn refuse_dropped(&mut self, now: Time) {
        let queues = self.slots.values_mut().map(|pool| &mut pool.queue);
        for queue in queues.chain([&mut self.primary_queue]) {
            for (waiter, reason) in queue.take_dropped(now) {
                let _gone = waiter.tx.try_send(Err(reason));
            }
        }
    }

    /// Takes the idle connections of slots that are out of service, to be closed outside of the lock.
    pub(super) fn take_retired(&mut self) -> Vec<SlotConnection> {
        std::mem::take(&mut self.retired)
    }

    /// Starts up to one connect for each waiting transaction, within the limits of the slot and of its connect limiter.
    pub(super) fn start_connects(&mut self, now: Time) -> Vec<(Slot, SocketAddr)> {
        let mut connects = Vec::new();
        let primary = self.primary.filter(|_| !self.primary_queue_paused);
        for (slot, pool) in &mut self.slots {
            let waiting = pool.queue.len()
                + if Some(slot) == primary {
                    self.primary_queue.len()
                } else {
                    0
                };
            while waiting > pool.connect_limiter.running() as usize && pool.open() < pool.limit {
                if !pool.connect_limiter.try_start(now) {
                    if let Some(at) = pool.connect_limiter.next_start() {
                        self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at)));
                    }
                    break;
                }
                assert!(
                    pool.open() <= pool.limit,
                    "the connections of a slot exceed its limit"
                );
                connects.push((slot, pool.address));
            }
        }
        connects
    }

    /// Delay until the connect limiter allows the next connect, if a dispatch is needed then and none is scheduled yet.
    pub(super) fn schedule_wake(&mut self, now: Time) -> Option<Duration> {
        let at = self.wake_at.take().filter(|_| !self.wake_scheduled)?;
        self.wake_scheduled = true;
        Some(at.saturating_since(now).max(MIN_WAKE_DELAY))
    }

    /// Records that the scheduled dispatch runs now.
    pub(super) const fn wake_fired(&mut self) {
        self.wake_scheduled = false;
    }
}

//! The connections of this instance to one backend server, and the measured state of that server.

use super::ordered_connection::OrderedConnection;
use super::overload_yield::OverloadYield;
use super::pace::{PaceShare, ServerPace};
use super::placement::ReplicaLag;
use super::server_health::ServerHealth;
use super::server_latency::ServerLatency;
use crate::BackendServer;
use crate::connection_state::ConnectionState;
use async_channel::{Receiver, Sender};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, PriorityClass, Time};

/// An idle connection, which only its organisation may reuse.
#[derive(Debug)]
pub(super) struct IdleConnection<C> {
    pub(super) conn: OrderedConnection<C>,
    pub(super) organisation: Arc<str>,
    pub(super) connection_state: ConnectionState,
    pub(super) since: Time,
}

/// The connections to one server.
#[derive(Debug)]
pub(super) struct ServerPool<C> {
    pub(super) server: Arc<BackendServer>,
    pub(super) idle: Vec<IdleConnection<C>>,
    /// Connections that are leased or being opened.
    pub(super) in_use: u32,
    /// Smoothed latency of commands.
    pub(super) latency: ServerLatency,
    /// Last log point that the server reported, `None` before the first one.
    pub(super) applied: Option<LogPoint>,
    pub(super) lag: ReplicaLag,
    pub(super) health: ServerHealth,
    pub(super) pace: ServerPace,
    /// Not used where an overload delays all classes alike.
    pub(super) yielding: OverloadYield,
    /// Classes of the transactions that wait to send a refused statement again.
    pub(super) waiting_transactions: Vec<PriorityClass>,
    /// Closing the channel revokes the leases, which hold clones of the receiver.
    revocation: (Sender<()>, Receiver<()>),
}

impl<C> ServerPool<C> {
    pub(super) fn new(server: Arc<BackendServer>, pace: ServerPace) -> Self {
        Self {
            server,
            pace,
            idle: Vec::new(),
            in_use: 0,
            latency: ServerLatency::default(),
            applied: None,
            lag: ReplicaLag::default(),
            health: ServerHealth::default(),
            yielding: OverloadYield::default(),
            waiting_transactions: Vec::new(),
            revocation: async_channel::bounded(1),
        }
    }

    /// Whether one more connection can be leased without waiting.
    pub(super) fn available(&self, limit: u32, now: Time) -> bool {
        self.in_use < limit
            && self.health.allows_request(self.in_use, now)
            && self.pace.allows_statement(now)
            && (!self.idle.is_empty() || self.health.allows_connect(now))
    }

    /// Whether a connection can be leased to a statement of `class` without waiting.
    pub(super) fn available_to(&self, class: PriorityClass, limit: u32, now: Time) -> bool {
        self.available(limit, now)
            && self.yielding.allows(class, self.in_use, now)
            && self.waiting_transactions.iter().all(|waiting| class < *waiting)
    }

    /// Whether the server takes no statement of `class` before `at`, as far as is known.
    pub(super) fn is_closed_to(&self, class: PriorityClass, at: Time) -> bool {
        self.is_unreachable(at)
            || at < self.overload_pause_until(class)
            || (self.idle.is_empty() && !self.health.allows_connect(at))
    }

    /// When the pause of a class after refusals as overloaded ends.
    pub(super) fn overload_pause_until(&self, class: PriorityClass) -> Time {
        let health = self.health.overload_pause_until();
        health.max(self.yielding.pause_until(class))
    }

    /// Takes the idle connection of an organisation that needs the fewest commands before the session can use it, by
    /// `adjustment_cost`.
    pub(super) fn take_idle<F>(&mut self, organisation: &str, adjustment_cost: F) -> Option<IdleConnection<C>>
    where
        F: Fn(&ConnectionState) -> usize,
    {
        let reusable = self.idle.iter().enumerate();
        let reusable = reusable.filter(|(_, c)| *c.organisation == *organisation);
        let (best, _) = reusable.min_by_key(|(_, c)| adjustment_cost(&c.connection_state))?;
        Some(self.idle.swap_remove(best))
    }

    /// Closes the connection that has been idle longest, to make room for one of another organisation. Returns whether
    /// there was one.
    pub(super) fn evict(&mut self) -> bool {
        let oldest = self.idle.iter().enumerate().min_by_key(|(_, c)| c.since);
        let Some((oldest, _)) = oldest else {
            return false;
        };
        self.idle.swap_remove(oldest);
        true
    }

    pub(super) const fn open_connections(&self) -> u32 {
        self.in_use + self.idle.len() as u32
    }

    /// Records an answer other than a refusal as overloaded. Only the answer to a statement shows that the server is
    /// healthy.
    pub(super) fn on_answer<R>(&mut self, took: Duration, is_statement: bool, now: Time, rng: &mut R)
    where
        R: Rng,
    {
        self.latency.on_answer(took);
        if is_statement {
            self.health.on_answer(now);
            self.pace.on_answer(took, now, rng);
        }
    }

    /// Records the log point that the server reported.
    pub(super) const fn on_point(&mut self, point: Option<LogPoint>) {
        if point.is_some() {
            self.applied = point;
        }
    }

    /// Records that a request sent at `started` got no answer, unless the server has answered since.
    pub(super) fn on_failure(&mut self, started: Time, now: Time) {
        if self.health.on_failure(started, now) {
            // The idle connections may be broken by the same failure.
            self.idle.clear();
            self.pace.on_failure(started, now);
        }
    }

    /// Whether all recent requests to the server failed.
    pub(super) fn is_unreachable(&self, now: Time) -> bool {
        self.health.is_unreachable(now)
    }

    pub(super) fn revocation(&self) -> Receiver<()> {
        self.revocation.1.clone()
    }

    /// Revokes all leases and closes the idle connections.
    pub(super) fn revoke(&mut self) {
        self.idle.clear();
        self.revocation.0.close();
        self.revocation = async_channel::bounded(1);
    }
}

/// The part of this instance at a server, in a fleet of `instances`.
pub(super) fn pace_share(server: &BackendServer, instances: usize) -> PaceShare {
    PaceShare {
        capacity: server.capacity,
        instances,
        senders: instances,
        warmup_left: Duration::from_millis(u64::from(server.warmup_left_ms)),
    }
}

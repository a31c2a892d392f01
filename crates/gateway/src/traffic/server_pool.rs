//! The connections of this instance to one backend server, and the measured state of that server.

use super::connection_limits::ConnectionLimits;
use super::held_server::GateWaiter;
use super::ordered_connection::OrderedConnection;
use super::overload_yield::OverloadYield;
use super::pace::{PaceShare, ServerPace};
use super::placement::ReplicaLag;
use super::server_health::ServerHealth;
use super::server_latency::ServerLatency;
use crate::BackendServer;
use crate::connection_state::ConnectionState;
use crate::sharing::{RelayRoute, ServerGate};
use async_channel::{Receiver, Sender};
use rand::Rng;
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, LogPoint, PriorityClass, Time};

/// An idle connection, which only its organisation may reuse.
#[derive(Debug)]
pub(super) struct IdleConnection<C> {
    pub(super) conn: OrderedConnection<C>,
    pub(super) organisation: Arc<str>,
    pub(super) connection_state: ConnectionState,
    pub(super) since: Time,
}

/// Limits of the connections that this instance opens to a server on behalf of the fleet.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldLimits {
    pub(super) max_open: u32,
    pub(super) max_idle: u32,
    pub(super) idle_timeout: Duration,
}

/// Wait that a connection holder expected.
#[derive(Debug, Clone, Copy)]
pub(super) struct HolderWait {
    pub(super) expected: Duration,
    pub(super) at: Time,
}

/// Age from which on an expected wait is of no use.
const HOLDER_WAIT_LIFETIME: Duration = Duration::from_millis(500);

/// Age from which on an answer no longer shows that the server is reachable from this instance.
const DIRECT_ANSWER_LIFETIME: Duration = Duration::from_secs(2);

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
    /// The way through a connection holder; `None` when connections to the server are not shared.
    pub(super) relay: Option<RelayRoute>,
    /// Leases of this instance through a holder.
    pub(super) relayed: u32,
    /// Last wait that the holder reported.
    pub(super) holder_wait: Option<HolderWait>,
    /// When the server last answered on a connection of this instance.
    pub(super) last_direct_answer: Time,
    /// Limits for connections that are shared; `None` when they are not.
    pub(super) held_limits: Option<HeldLimits>,
    /// Work that passes through this instance as a holder.
    pub(super) gate: ServerGate<GateWaiter>,
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
            relay: None,
            relayed: 0,
            holder_wait: None,
            last_direct_answer: Time::ZERO,
            held_limits: None,
            gate: ServerGate::default(),
            revocation: async_channel::bounded(1),
        }
    }

    /// The pool of the same server after a restart, with what counts work that has not ended.
    pub(super) fn restarted(&mut self, server: Arc<BackendServer>) -> Self {
        Self {
            in_use: self.in_use,
            relayed: self.relayed,
            relay: self.relay.take(),
            held_limits: self.held_limits,
            gate: std::mem::take(&mut self.gate),
            ..Self::new(server, self.pace.clone())
        }
    }

    /// Whether one more connection can be leased without waiting. At a holder, the statement waits in its queue.
    pub(super) fn available(&self, limit: u32, now: Time) -> bool {
        if let Some(target) = self.relay_target(now) {
            let is_own = self.relay.as_ref().is_some_and(|r| r.is_own(target));
            return !is_own || !self.health.is_failing() || self.health.allows_request(0, now);
        }
        self.in_use < limit
            && self.health.allows_request(self.in_use, now)
            && self.pace.allows_statement(now)
            && (!self.idle.is_empty() || self.health.allows_connect(now))
    }

    /// Whether a connection can be leased to a statement of `class` without waiting.
    pub(super) fn available_to(&self, class: PriorityClass, limit: u32, now: Time) -> bool {
        if self.relay_target(now).is_some() {
            // The holder orders the classes.
            return self.available(limit, now);
        }
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
        // Among equal ones the last used is taken, so that those beyond the usual need expire.
        let (best, _) =
            reusable.min_by_key(|(_, c)| (adjustment_cost(&c.connection_state), Reverse(c.since)))?;
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

    /// The instance through which the next statement goes; `None` for a direct connection.
    pub(super) fn relay_target(&self, now: Time) -> Option<&InstanceId> {
        let answers_directly = now.saturating_since(self.last_direct_answer) < DIRECT_ANSWER_LIFETIME;
        self.relay.as_ref()?.target(answers_directly, now)
    }

    /// Maximum number of idle connections.
    pub(super) fn max_idle(&self, limits: &ConnectionLimits) -> u32 {
        self.held_limits.map_or(limits.max_idle, |l| l.max_idle)
    }

    /// Idle time after which a connection is closed.
    pub(super) fn idle_timeout(&self, limits: &ConnectionLimits) -> Duration {
        self.held_limits.map_or(limits.idle_timeout, |l| l.idle_timeout)
    }

    /// Requests of this instance that the server runs or that wait at its holder.
    pub(super) const fn running(&self) -> u32 {
        if self.relay.is_some() {
            self.relayed
        } else {
            self.in_use
        }
    }

    /// Whether this instance holds the connections of the fleet to the server.
    pub(super) fn is_holder(&self) -> bool {
        self.relay.as_ref().is_some_and(RelayRoute::is_holder)
    }

    /// Latency that a new statement can expect.
    pub(super) fn expected_latency(&self, now: Time) -> Duration {
        let wait = self
            .holder_wait
            .filter(|w| now.saturating_since(w.at) < HOLDER_WAIT_LIFETIME);
        self.latency.estimate() + wait.map_or(Duration::ZERO, |w| w.expected)
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

/// The part of this instance at a server, in a fleet of `instances`. A connection holder sends for all of them.
pub(super) fn pace_share(server: &BackendServer, instances: usize, is_holder: bool) -> PaceShare {
    PaceShare {
        capacity: server.capacity,
        instances,
        senders: if is_holder { 1 } else { instances },
        warmup_left: Duration::from_millis(u64::from(server.warmup_left_ms)),
    }
}

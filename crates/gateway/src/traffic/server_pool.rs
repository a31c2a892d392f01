//! The connections of this instance to one backend server, and the measured state of that server.

use super::placement::ReplicaLag;
use crate::BackendServer;
use crate::connection_state::ConnectionState;
use async_channel::{Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Time};

/// Latency assumed for a server that has not answered yet.
const INITIAL_LATENCY: Duration = Duration::from_millis(20);
/// Weight of a new sample in the smoothed latency, as a right shift: 3 stands for one eighth.
const LATENCY_WEIGHT_SHIFT: u32 = 3;
/// Initial backoff after a failure of the server; doubled with each further one.
const INITIAL_CONNECT_BACKOFF: Duration = Duration::from_millis(40);
/// Upper bound of the backoff after failures.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(640);
/// Initial backoff after the server refused a connection because it has too many; doubled with each
/// further refusal until a connection is opened.
const INITIAL_FULL_BACKOFF: Duration = Duration::from_millis(80);
/// Upper bound of the backoff after such refusals.
const MAX_FULL_BACKOFF: Duration = Duration::from_millis(640);
/// Time for which requests were failing without any answer, after which the server counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(600);
/// Age from which on a failure no longer shows that the server is unreachable, when nothing was sent to it since.
const FAILURE_LIFETIME: Duration = Duration::from_millis(1_200);

/// An idle connection, which only its organisation may reuse.
#[derive(Debug)]
pub(super) struct IdleConnection<C> {
    pub(super) conn: C,
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
    pub(super) latency: Duration,
    /// Last log point that the server reported, `None` before the first one.
    pub(super) applied: Option<LogPoint>,
    pub(super) lag: ReplicaLag,
    /// Failures since the last answer.
    consecutive_failures: u32,
    connect_backoff_until: Time,
    /// Consecutive connection attempts that the server refused because it had too many connections.
    consecutive_full_refusals: u32,
    full_backoff_until: Time,
    /// Start of the first request to fail since the last answer.
    failing_since: Option<Time>,
    last_failure: Time,
    last_contact: Time,
    /// Closing the channel revokes the leases, which hold clones of the receiver.
    revocation: (Sender<()>, Receiver<()>),
}

impl<C> ServerPool<C> {
    pub(super) fn new(server: Arc<BackendServer>) -> Self {
        Self {
            server,
            idle: Vec::new(),
            in_use: 0,
            latency: INITIAL_LATENCY,
            applied: None,
            lag: ReplicaLag::default(),
            consecutive_failures: 0,
            connect_backoff_until: Time::ZERO,
            consecutive_full_refusals: 0,
            full_backoff_until: Time::ZERO,
            failing_since: None,
            last_failure: Time::ZERO,
            last_contact: Time::ZERO,
            revocation: async_channel::bounded(1),
        }
    }

    /// Whether one more connection can be leased without waiting.
    pub(super) fn available(&self, limit: u32, now: Time) -> bool {
        if self.in_use >= limit {
            return false;
        }
        !self.idle.is_empty() || (now >= self.connect_backoff_until && now >= self.full_backoff_until)
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

    pub(super) fn on_answer(&mut self, took: Duration, point: Option<LogPoint>, now: Time) {
        self.latency =
            (self.latency * ((1 << LATENCY_WEIGHT_SHIFT) - 1) + took) / (1 << LATENCY_WEIGHT_SHIFT);
        self.on_contact(point, now);
    }

    /// Records that the server responded, with the log point that it reported, and ends the backoff after failures.
    pub(super) fn on_contact(&mut self, point: Option<LogPoint>, now: Time) {
        self.consecutive_failures = 0;
        self.connect_backoff_until = Time::ZERO;
        self.failing_since = None;
        self.last_contact = now;
        if point.is_some() {
            self.applied = point;
        }
    }

    /// Records that the server refused a connection because it has too many.
    pub(super) fn on_full(&mut self, now: Time) {
        let backoff = INITIAL_FULL_BACKOFF * (1 << self.consecutive_full_refusals.min(4));
        self.consecutive_full_refusals += 1;
        self.full_backoff_until = now + backoff.min(MAX_FULL_BACKOFF);
    }

    pub(super) const fn on_opened(&mut self) {
        self.consecutive_full_refusals = 0;
        self.full_backoff_until = Time::ZERO;
    }

    /// Records that a request sent at `started` got no answer. Ignored when the server has answered since.
    pub(super) fn on_failure(&mut self, started: Time, now: Time) {
        if started < self.last_contact {
            return;
        }
        self.failing_since.get_or_insert(started);
        self.last_failure = now;
        let backoff = INITIAL_CONNECT_BACKOFF * (1 << self.consecutive_failures.min(4));
        self.consecutive_failures += 1;
        self.connect_backoff_until = now + backoff.min(MAX_CONNECT_BACKOFF);
        // The idle connections may be broken by the same failure.
        self.idle.clear();
    }

    /// Whether all recent requests to the server failed, for at least [`UNREACHABLE_AFTER`].
    pub(super) fn is_unreachable(&self, now: Time) -> bool {
        now.saturating_since(self.last_failure) < FAILURE_LIFETIME
            && self
                .failing_since
                .is_some_and(|since| now.saturating_since(since) > UNREACHABLE_AFTER)
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

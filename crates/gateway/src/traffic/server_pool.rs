//! The connections of this instance to one backend server, and what it knows of the server.

use super::placement::ReplicaLag;
use crate::BackendServer;
use crate::profile::Profile;
use async_channel::{Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Time};

/// Latency assumed of a server that has not answered yet.
const INITIAL_LATENCY: Duration = Duration::from_millis(20);
/// Weight of the newest latency, as a power of two.
const LATENCY_SHIFT: u32 = 3;
/// Pause after a failed attempt to connect; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// Longest pause between attempts to connect.
const MAX_PAUSE: Duration = Duration::from_millis(640);
/// Pause after the server said that it has too many connections; doubled each time until one is opened.
const FULL_PAUSE: Duration = Duration::from_millis(80);
/// Longest of these pauses.
const MAX_FULL_PAUSE: Duration = Duration::from_millis(640);
/// Time without any answer, while answers are due, after which the server counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(600);
/// A failure older than this says nothing of a server that was not asked since.
const FAILURE_LIFETIME: Duration = Duration::from_millis(1_200);

/// An idle connection.
#[derive(Debug)]
pub(super) struct IdleConnection<C> {
    pub(super) conn: C,
    pub(super) organisation: Arc<str>,
    pub(super) profile: Profile,
    pub(super) since: Time,
}

/// Connections to one server.
#[derive(Debug)]
pub(super) struct ServerPool<C> {
    pub(super) server: Arc<BackendServer>,
    pub(super) idle: Vec<IdleConnection<C>>,
    /// Connections that are leased or being opened.
    pub(super) busy: u32,
    pub(super) latency: Duration,
    pub(super) applied: Option<LogPoint>,
    pub(super) lag: ReplicaLag,
    failures: u32,
    pause_until: Time,
    /// Connections refused in a row because the server had too many.
    refusals: u32,
    full_until: Time,
    /// When the oldest of the attempts that have failed or hang since the last answer was made.
    failing_since: Option<Time>,
    last_failure: Time,
    last_heard: Time,
    /// Receivers are held by leases; dropping the sender ends them.
    revocation: (Sender<()>, Receiver<()>),
}

impl<C> ServerPool<C> {
    pub(super) fn new(server: Arc<BackendServer>) -> Self {
        Self {
            server,
            idle: Vec::new(),
            busy: 0,
            latency: INITIAL_LATENCY,
            applied: None,
            lag: ReplicaLag::default(),
            failures: 0,
            pause_until: Time::ZERO,
            refusals: 0,
            full_until: Time::ZERO,
            failing_since: None,
            last_failure: Time::ZERO,
            last_heard: Time::ZERO,
            revocation: async_channel::bounded(1),
        }
    }

    /// Whether one more lease can be had without waiting.
    pub(super) fn available(&self, cap: u32, now: Time) -> bool {
        if self.busy >= cap {
            return false;
        }
        !self.idle.is_empty() || (now >= self.pause_until && now >= self.full_until)
    }

    /// Takes the idle connection of an organisation whose values are closest to those of the session.
    pub(super) fn take_idle<F>(&mut self, organisation: &str, fits: F) -> Option<IdleConnection<C>>
    where
        F: Fn(&Profile) -> usize,
    {
        let own = self.idle.iter().enumerate();
        let own = own.filter(|(_, c)| *c.organisation == *organisation);
        let (best, _) = own.min_by_key(|(_, c)| fits(&c.profile))?;
        Some(self.idle.swap_remove(best))
    }

    /// Closes the connection that has been idle longest, to make room for one of another organisation.
    pub(super) fn evict(&mut self) -> bool {
        let oldest = self.idle.iter().enumerate().min_by_key(|(_, c)| c.since);
        let Some((oldest, _)) = oldest else {
            return false;
        };
        self.idle.swap_remove(oldest);
        true
    }

    pub(super) const fn open(&self) -> u32 {
        self.busy + self.idle.len() as u32
    }

    pub(super) fn on_answer(&mut self, took: Duration, point: Option<LogPoint>, now: Time) {
        self.latency = (self.latency * ((1 << LATENCY_SHIFT) - 1) + took) / (1 << LATENCY_SHIFT);
        self.on_heard(point, now);
    }

    pub(super) fn on_heard(&mut self, point: Option<LogPoint>, now: Time) {
        self.failures = 0;
        self.pause_until = Time::ZERO;
        self.failing_since = None;
        self.last_heard = now;
        if point.is_some() {
            self.applied = point;
        }
    }

    pub(super) fn on_full(&mut self, now: Time) {
        let pause = FULL_PAUSE * (1 << self.refusals.min(4));
        self.refusals += 1;
        self.full_until = now + pause.min(MAX_FULL_PAUSE);
    }

    pub(super) const fn on_opened(&mut self) {
        self.refusals = 0;
        self.full_until = Time::ZERO;
    }

    /// An attempt that was made at `started` got no answer.
    pub(super) fn on_failure(&mut self, started: Time, now: Time) {
        if started < self.last_heard {
            return;
        }
        self.failing_since.get_or_insert(started);
        self.last_failure = now;
        let pause = FIRST_PAUSE * (1 << self.failures.min(4));
        self.failures += 1;
        self.pause_until = now + pause.min(MAX_PAUSE);
        // Connections that were opened before may be as dead as the one that failed.
        self.idle.clear();
    }

    /// Whether the server has not answered for a while although it was asked.
    pub(super) fn is_unreachable(&self, now: Time) -> bool {
        now.saturating_since(self.last_failure) < FAILURE_LIFETIME
            && self
                .failing_since
                .is_some_and(|since| now.saturating_since(since) > UNREACHABLE_AFTER)
    }

    pub(super) fn revocation(&self) -> Receiver<()> {
        self.revocation.1.clone()
    }

    /// Ends all leases and closes all connections.
    pub(super) fn revoke(&mut self) {
        self.idle.clear();
        self.revocation.0.close();
        self.revocation = async_channel::bounded(1);
    }
}

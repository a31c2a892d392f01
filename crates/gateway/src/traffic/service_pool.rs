//! The connections of one service, and the queues of requests that wait for them.

use super::connection_limits::ConnectionLimits;
use super::placement::{Candidate, choose_server};
use super::requirement::ServerRequirement;
use super::server_pool::{IdleConnection, ServerPool};
use crate::connection_state::{ConnectionState, SessionValues};
use crate::{ClusterSnapshot, PrimaryView};
use async_channel::Sender;
use rand::Rng;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, LogPoint, Time};
use wasabiyard_schedule::{AdmissionControl, FairQueue, QueuedRequest, RetryBudget};
use wasabiyard_session::{PositionSample, PositionSamples};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Minimum time between two samples of the primary's log point, unless the term has increased.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which a server stays in use after it disappeared from the list. Entries of live servers expire while the
/// store is unavailable.
const UNLISTED_SERVER_GRACE: Duration = Duration::from_secs(3);

/// A queued request for a connection, with the channel that takes the result.
#[derive(Debug)]
pub(super) struct Waiter<R> {
    pub(super) organisation: Arc<str>,
    pub(super) requirement: ServerRequirement,
    pub(super) values: Rc<SessionValues>,
    pub(super) reply: Sender<R>,
}

/// Where the connection of a waiter comes from.
#[derive(Debug)]
pub(super) enum ConnectionSource<C> {
    /// An idle connection of the pool.
    Idle(IdleConnection<C>),
    /// A new connection, which has to be opened.
    Connect,
    /// A connection that this instance holds.
    Relay(InstanceId),
}

/// A waiter with the server that was chosen for it.
#[derive(Debug)]
pub(super) struct Assignment<C, R> {
    pub(super) queued: QueuedRequest,
    pub(super) waiter: Waiter<R>,
    pub(super) server: Arc<str>,
    pub(super) source: ConnectionSource<C>,
}

/// The two queues of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueueKind {
    /// Requests that only the primary is expected to be able to serve.
    Primary,
    /// Reads that a replica is expected to be able to serve.
    Reads,
}

/// The servers of one service with their connections, and the requests that wait for a connection.
#[derive(Debug)]
pub(super) struct ServicePool<C, R> {
    pub(super) servers: BTreeMap<Arc<str>, ServerPool<C>>,
    pub(super) primary: PrimaryView,
    /// When this instance first saw that the primary is being replaced, `None` when it is not.
    pub(super) failover_since: Option<Time>,
    /// Since when this instance has used no primary, `None` while it may use one.
    pub(super) unusable_since: Option<Time>,
    pub(super) limits: ConnectionLimits,
    pub(super) samples: PositionSamples,
    primary_queue: FairQueue<Waiter<R>>,
    read_queue: FairQueue<Waiter<R>>,
    pub(super) primary_admission: AdmissionControl,
    pub(super) read_admission: AdmissionControl,
    /// Limits retries of statements that a server refused.
    pub(super) retries: RetryBudget,
    /// Servers that are no longer listed, with the time at which this was noticed.
    unlisted: BTreeMap<Arc<str>, Time>,
    /// Ids of the servers that may get new work.
    accepting_servers: Vec<Arc<str>>,
}

impl<C, R> ServicePool<C, R> {
    pub(super) fn new() -> Self {
        Self {
            servers: BTreeMap::new(),
            primary: PrimaryView::Unknown,
            failover_since: None,
            unusable_since: None,
            limits: ConnectionLimits::per_instance(0, 1),
            samples: PositionSamples::default(),
            primary_queue: FairQueue::default(),
            read_queue: FairQueue::default(),
            primary_admission: AdmissionControl::default(),
            read_admission: AdmissionControl::default(),
            retries: RetryBudget::default(),
            unlisted: BTreeMap::new(),
            accepting_servers: Vec::new(),
        }
    }

    /// Applies the servers, limits and failure domains of a new cluster snapshot to the service.
    pub(super) fn update(&mut self, service: &str, snapshot: &ClusterSnapshot, now: Time) {
        let listed = snapshot.servers.values().filter(|s| *s.service == *service);
        for server in listed {
            self.unlisted.remove(&server.id);
            match self.servers.get_mut(&server.id) {
                Some(known)
                    if known.server.address == server.address
                        && known.server.started_ms == server.started_ms =>
                {
                    known.server = Arc::clone(server);
                }
                Some(known) => {
                    known.revoke();
                    *known = known.restarted(Arc::clone(server));
                }
                None => {
                    let pool = ServerPool::new(Arc::clone(server));
                    self.servers.insert(Arc::clone(&server.id), pool);
                }
            }
        }
        self.remove_unlisted(snapshot, now);
        let rule = snapshot
            .configuration
            .as_ref()
            .and_then(|c| c.services.get(service));
        let server_limit = rule.map_or(0, |rule| rule.max_connections);
        self.limits = ConnectionLimits::per_instance(server_limit, snapshot.fleet_size());
        self.accepting_servers = self
            .servers
            .values()
            .filter(|s| snapshot.accepts_new_work(&s.server))
            .map(|s| Arc::clone(&s.server.id))
            .collect();
        for pool in self.servers.values_mut() {
            if !self.accepting_servers.contains(&pool.server.id) {
                pool.idle.clear();
            }
        }
    }

    fn remove_unlisted(&mut self, snapshot: &ClusterSnapshot, now: Time) {
        for id in self.servers.keys() {
            if !snapshot.servers.contains_key(id) {
                self.unlisted.entry(Arc::clone(id)).or_insert(now);
            }
        }
        let expired: Vec<_> = self
            .unlisted
            .iter()
            .filter(|(_, since)| now.saturating_since(**since) > UNLISTED_SERVER_GRACE)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in expired {
            self.unlisted.remove(&id);
            if let Some(mut pool) = self.servers.remove(&id) {
                pool.revoke();
            }
        }
    }

    /// Sets the primary. Returns the former primary when it must no longer be used as such.
    pub(super) fn set_primary(&mut self, primary: PrimaryView, now: Time) -> Option<Arc<str>> {
        if self.primary == primary {
            return None;
        }
        let old = std::mem::replace(&mut self.primary, primary);
        match &self.primary {
            PrimaryView::FailoverInProgress => {
                self.failover_since.get_or_insert(now);
            }
            _ => self.failover_since = None,
        }
        match &self.primary {
            PrimaryView::Usable { .. } => self.unusable_since = None,
            _ => {
                self.unusable_since.get_or_insert(now);
            }
        }
        let PrimaryView::Usable { server: old, .. } = old else {
            return None;
        };
        match &self.primary {
            PrimaryView::Usable { server, .. } if *server == old => None,
            _ => Some(old),
        }
    }

    /// Id and epoch of the primary that may be used.
    pub(super) const fn usable_primary(&self) -> Option<(&Arc<str>, u64)> {
        match &self.primary {
            PrimaryView::Usable { server, epoch } => Some((server, *epoch)),
            _ => None,
        }
    }

    pub(super) fn is_primary(&self, server: &str) -> bool {
        self.usable_primary().is_some_and(|(p, _)| **p == *server)
    }

    /// Whether a primary may be used and is not unreachable.
    pub(super) fn primary_is_reachable(&self, now: Time) -> bool {
        self.usable_primary()
            .and_then(|(id, _)| self.servers.get(id))
            .is_some_and(|p| !p.is_unreachable(now))
    }

    /// When the usable primary gets its next request after it refused one as overloaded; the start of time when it did
    /// not, or when there is no usable primary.
    pub(super) fn primary_pause_until(&self) -> Time {
        let primary = self.usable_primary().and_then(|(id, _)| self.servers.get(id));
        primary.map_or(Time::ZERO, |p| p.health.overload_pause_until())
    }

    /// The queue for a request: that of the primary, unless a replica is expected to have reached the required log
    /// point.
    pub(super) fn queue_kind(&self, requirement: ServerRequirement, now: Time) -> QueueKind {
        let ServerRequirement::AtLeast(point) = requirement else {
            return QueueKind::Primary;
        };
        let reached = self.samples.first_reached_at(point);
        let replica = self.accepting_servers.iter().any(|id| {
            let pool = &self.servers[id];
            !self.is_primary(id)
                && !pool.is_unreachable(now)
                && pool.lag.expects_point(pool.applied, point, reached, now)
        });
        if replica {
            QueueKind::Reads
        } else {
            QueueKind::Primary
        }
    }

    pub(super) fn queue(&mut self, queue_kind: QueueKind) -> &mut FairQueue<Waiter<R>> {
        match queue_kind {
            QueueKind::Primary => &mut self.primary_queue,
            QueueKind::Reads => &mut self.read_queue,
        }
    }

    pub(super) const fn admission(&mut self, queue_kind: QueueKind) -> &mut AdmissionControl {
        match queue_kind {
            QueueKind::Primary => &mut self.primary_admission,
            QueueKind::Reads => &mut self.read_admission,
        }
    }

    /// Number of connections of this instance that can serve a queue.
    pub(super) fn connection_capacity(&self, queue_kind: QueueKind) -> usize {
        let servers = match queue_kind {
            QueueKind::Primary => 1,
            QueueKind::Reads => self.accepting_servers.len().max(1),
        };
        servers * self.limits.max_open as usize
    }

    /// Removes the next waiter for which a server is available from its queue. The primary's queue goes first.
    pub(super) fn next_assignment<G>(
        &mut self,
        domain: &str,
        now: Time,
        rng: &mut G,
    ) -> Option<Assignment<C, R>>
    where
        G: Rng,
    {
        self.next_primary_assignment(now)
            .or_else(|| self.next_read_assignment(domain, now, rng))
    }

    fn next_primary_assignment(&mut self, now: Time) -> Option<Assignment<C, R>> {
        let (id, _) = self.usable_primary()?;
        let id = Arc::clone(id);
        // The primary is not checked for draining or for a failure domain out of service: it gets writes until the
        // primary record says that it is being replaced.
        let pool = self.servers.get(&id)?;
        if !pool.available(self.limits.max_open, now) {
            return None;
        }
        let (queued, waiter) = self.primary_queue.pop(now)?;
        Some(self.assign(queued, waiter, id, now))
    }

    fn next_read_assignment<G>(&mut self, domain: &str, now: Time, rng: &mut G) -> Option<Assignment<C, R>>
    where
        G: Rng,
    {
        if self.read_queue.is_empty() || !self.any_available(now) {
            return None;
        }
        let (queued, waiter) = self.read_queue.pop(now)?;
        let ids: Vec<_> = self.read_servers().map(Arc::clone).collect();
        let preferred = self.preferred_replica(&waiter.organisation);
        let candidates: Vec<_> = ids
            .iter()
            .map(|id| self.candidate(id, preferred.as_ref(), &waiter, domain, now))
            .collect();
        let chosen = choose_server(&candidates, rng).expect("an available server");
        Some(self.assign(queued, waiter, Arc::clone(&ids[chosen]), now))
    }

    /// Servers for queued reads. The primary is left out while requests wait in its own queue.
    fn read_servers(&self) -> impl Iterator<Item = &Arc<str>> {
        let primary_has_waiters = !self.primary_queue.is_empty();
        self.accepting_servers
            .iter()
            .filter(move |id| !primary_has_waiters || !self.is_primary(id))
    }

    fn any_available(&self, now: Time) -> bool {
        self.read_servers()
            .any(|id| self.servers[id].available(self.limits.max_open, now))
    }

    /// The replica whose holder keeps most connections of an organisation, if the holders keep them: all instances prefer the
    /// same one, so that an organisation needs connections at one replica.
    fn preferred_replica(&self, organisation: &str) -> Option<Arc<str>> {
        let replicas = self.accepting_servers.iter().filter(|id| !self.is_primary(id));
        let shared = replicas.filter(|id| self.servers[*id].relay.is_some());
        let preferred =
            shared.max_by_key(|id| xxh3_64_with_seed(id.as_bytes(), xxh3_64(organisation.as_bytes())));
        preferred.map(Arc::clone)
    }

    fn candidate(
        &self,
        id: &Arc<str>,
        preferred: Option<&Arc<str>>,
        waiter: &Waiter<R>,
        domain: &str,
        now: Time,
    ) -> Candidate {
        let pool = &self.servers[id];
        let primary = self.is_primary(id);
        let holds_point = match waiter.requirement {
            ServerRequirement::Primary => primary,
            ServerRequirement::AtLeast(point) => {
                let reached = self.samples.first_reached_at(point);
                primary || pool.lag.expects_point(pool.applied, point, reached, now)
            }
        };
        Candidate {
            primary,
            local: *pool.server.domain == *domain,
            latency: pool.expected_latency(now),
            running: pool.running(),
            has_idle_connection: match preferred {
                Some(preferred) if pool.relay.is_some() => preferred == id,
                _ => pool.idle.iter().any(|c| c.organisation == waiter.organisation),
            },
            available: pool.available(self.limits.max_open, now),
            holds_point,
        }
    }

    fn assign(
        &mut self,
        queued: QueuedRequest,
        waiter: Waiter<R>,
        server: Arc<str>,
        now: Time,
    ) -> Assignment<C, R> {
        let limit = self.limits.max_open;
        let pool = self.servers.get_mut(&server).expect("a known server");
        if let Some(holder) = pool.relay_target(now).cloned() {
            return Assignment {
                queued,
                waiter,
                server,
                source: ConnectionSource::Relay(holder),
            };
        }
        let values = &waiter.values;
        let adjustment_cost = |connection_state: &ConnectionState| {
            let adjustment = connection_state.adjustment(values);
            adjustment.set.len() + usize::from(adjustment.reset)
        };
        let source = if let Some(idle) = pool.take_idle(&waiter.organisation, adjustment_cost) {
            ConnectionSource::Idle(idle)
        } else {
            while pool.open_connections() >= limit && pool.evict() {}
            ConnectionSource::Connect
        };
        pool.in_use += 1;
        Assignment {
            queued,
            waiter,
            server,
            source,
        }
    }

    /// Records the log point that the primary had when it answered a statement sent at `requested_at`.
    pub(super) fn on_primary_point(&mut self, requested_at: Time, point: LogPoint) {
        let due = self.samples.newest().is_none_or(|n| {
            requested_at.saturating_since(n.requested_at) >= MIN_SAMPLE_INTERVAL || n.point.term < point.term
        });
        if due {
            // The view lease proves that the server was the primary when the statement was sent, so one answer
            // confirms the sample.
            self.samples
                .add_if_confirmed(PositionSample { requested_at, point }, 1, 1);
        }
    }
}

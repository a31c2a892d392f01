//! The connections of one service, and the queues of requests that wait for them.

use super::connection_limits::ConnectionLimits;
use super::pace::ServerPace;
use super::primary_room::{primary_connection_limit, wait_for_replica};
use super::requirement::ServerRequirement;
use super::retry_times::RetryTimes;
use super::server_pool::{ServerPool, pace_share};
use crate::connection_state::SessionValues;
use crate::{ClusterSnapshot, OverloadOrder, PrimaryView};
use async_channel::Sender;
use rand::Rng;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, PriorityClass, Time};
use wasabiyard_schedule::{AdmissionControl, FairQueue, RetryBudget};
use wasabiyard_session::{PositionSample, PositionSamples};

/// Minimum time between two samples of the primary's log point, unless the term has increased.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which a server stays in use after it disappeared from the list. Entries of live servers expire while the
/// store is unavailable.
const UNLISTED_SERVER_GRACE: Duration = Duration::from_secs(3);

/// Target latency of the most urgent route of a service whose routes have none.
const DEFAULT_URGENT_TARGET: Duration = Duration::from_millis(200);
/// Part of the most urgent target that a statement may wait at a server; the rest is for its execution, the way to the
/// caller and the wait for a connection.
const TOLERATED_PART: f64 = 0.25;

/// A queued request for a connection, with the channel that takes the result.
#[derive(Debug)]
pub(super) struct Waiter<R> {
    pub(super) organisation: Arc<str>,
    pub(super) requirement: ServerRequirement,
    pub(super) values: Rc<SessionValues>,
    pub(super) reply: Sender<R>,
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
    pub(super) overload_order: OverloadOrder,
    /// How long a server may let the most urgent statements of the service wait.
    pub(super) urgent_tolerance: Duration,
    pub(super) samples: PositionSamples,
    pub(super) primary_queue: FairQueue<Waiter<R>>,
    pub(super) read_queue: FairQueue<Waiter<R>>,
    pub(super) primary_admission: AdmissionControl,
    pub(super) read_admission: AdmissionControl,
    /// When callers that the queue of the primary or of the replicas refused come back.
    primary_retry_times: RetryTimes,
    read_retry_times: RetryTimes,
    /// Limits retries of statements that a server refused.
    pub(super) retries: RetryBudget,
    /// Servers that are no longer listed, with the time at which this was noticed.
    unlisted: BTreeMap<Arc<str>, Time>,
    /// Ids of the servers that may get new work.
    pub(super) accepting_servers: Vec<Arc<str>>,
}

impl<C, R> ServicePool<C, R> {
    pub(super) fn new() -> Self {
        Self {
            servers: BTreeMap::new(),
            primary: PrimaryView::Unknown,
            failover_since: None,
            unusable_since: None,
            limits: ConnectionLimits::per_instance(0, 1),
            overload_order: OverloadOrder::default(),
            urgent_tolerance: DEFAULT_URGENT_TARGET.mul_f64(TOLERATED_PART),
            samples: PositionSamples::default(),
            primary_queue: FairQueue::default(),
            read_queue: FairQueue::default(),
            primary_admission: AdmissionControl::default(),
            read_admission: AdmissionControl::default(),
            primary_retry_times: RetryTimes::default(),
            read_retry_times: RetryTimes::default(),
            retries: RetryBudget::default(),
            unlisted: BTreeMap::new(),
            accepting_servers: Vec::new(),
        }
    }

    /// Applies the servers, limits and failure domains of a new cluster snapshot to the service.
    pub(super) fn update<G>(&mut self, service: &str, snapshot: &ClusterSnapshot, now: Time, rng: &mut G)
    where
        G: Rng,
    {
        // A server of the first list did not start just now, as far as this instance knows.
        let is_first_list = self.servers.is_empty();
        let listed = snapshot.servers.values().filter(|s| *s.service == *service);
        for server in listed {
            self.unlisted.remove(&server.id);
            let known = self.servers.get(&server.id);
            let is_holder = known.is_some_and(ServerPool::is_holder);
            let share = pace_share(server, snapshot.fleet_size(), is_holder);
            match self.servers.get_mut(&server.id) {
                Some(known)
                    if known.server.address == server.address
                        && known.server.started_ms == server.started_ms =>
                {
                    known.server = Arc::clone(server);
                    known.pace.set_share(share, now);
                }
                Some(known) => {
                    known.revoke();
                    known.pace.set_share(share, now);
                    known.pace.on_started(now, rng);
                    *known = known.restarted(Arc::clone(server));
                }
                None => {
                    let mut pace = ServerPace::new(share);
                    if !is_first_list {
                        pace.on_started(now, rng);
                    }
                    let pool = ServerPool::new(Arc::clone(server), pace);
                    self.servers.insert(Arc::clone(&server.id), pool);
                }
            }
        }
        self.remove_unlisted(snapshot, now);
        let configuration = snapshot.configuration.as_ref();
        self.overload_order = configuration.map_or_else(OverloadOrder::default, |c| c.overload_order);
        let urgent_target = configuration.and_then(|c| c.urgent_target(service));
        self.urgent_tolerance = urgent_target
            .unwrap_or(DEFAULT_URGENT_TARGET)
            .mul_f64(TOLERATED_PART);
        let rule = configuration.and_then(|c| c.services.get(service));
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

    /// When the usable primary gets its next request of a class after it refused one as overloaded; the start of time when
    /// it did not, or when there is no usable primary.
    pub(super) fn primary_pause_until(&self, class: PriorityClass) -> Time {
        let primary = self.usable_primary().and_then(|(id, _)| self.servers.get(id));
        primary.map_or(Time::ZERO, |p| p.overload_pause_until(class))
    }

    /// The queue for a request: that of the primary, unless a replica is expected to have reached the required log
    /// point.
    pub(super) fn queue_kind(&self, requirement: ServerRequirement, now: Time) -> QueueKind {
        let ServerRequirement::AtLeast(point) = requirement else {
            return QueueKind::Primary;
        };
        let reached = self.samples.first_reached_at(point);
        let replica = self
            .reachable_replicas(now)
            .any(|pool| pool.lag.expects_point(pool.applied, point, reached, now));
        if replica {
            QueueKind::Reads
        } else {
            QueueKind::Primary
        }
    }

    /// When a request that would go to the queue of the primary goes to the replicas instead, because they are expected to
    /// have its log point by then. `None` if it does not.
    pub(super) fn replica_catch_up(
        &self,
        requirement: ServerRequirement,
        wait_deadline: Time,
        now: Time,
    ) -> Option<Time> {
        let ServerRequirement::AtLeast(point) = requirement else {
            return None;
        };
        if self.overload_order == OverloadOrder::Shared {
            return None;
        }
        let reached = self.samples.first_reached_at(point)?;
        let expected = self
            .reachable_replicas(now)
            .map(|r| r.lag.expected_at(reached, now));
        wait_for_replica(self.is_primary_strained(now), expected.min(), wait_deadline)
    }

    /// Whether the usable primary has refused work lately, or has let it wait for too long.
    pub(super) fn is_primary_strained(&self, now: Time) -> bool {
        let primary = self.usable_primary().and_then(|(id, _)| self.servers.get(id));
        primary.is_some_and(|p| p.yielding.is_strained(now))
    }

    /// Servers besides the primary that may get new work and have not become unreachable.
    fn reachable_replicas(&self, now: Time) -> impl Iterator<Item = &ServerPool<C>> {
        let replicas = self.accepting_servers.iter().filter(|id| !self.is_primary(id));
        replicas
            .map(|id| &self.servers[id])
            .filter(move |pool| !pool.is_unreachable(now))
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

    /// Number of connections of this instance that can serve a class of a queue.
    pub(super) fn connection_capacity(
        &self,
        queue_kind: QueueKind,
        class: PriorityClass,
        now: Time,
    ) -> usize {
        let max_open = self.limits.max_open;
        match (self.overload_order, queue_kind) {
            (OverloadOrder::Shared, QueueKind::Primary) => max_open as usize,
            (OverloadOrder::Shared, QueueKind::Reads) => {
                self.accepting_servers.len().max(1) * max_open as usize
            }
            (OverloadOrder::ByRank, QueueKind::Primary) => {
                let primary = self.usable_primary().and_then(|(id, _)| self.servers.get(id));
                let limit = primary_connection_limit(class, max_open);
                primary.map_or(limit, |p| p.yielding.limit_connections(class, limit)) as usize
            }
            (OverloadOrder::ByRank, QueueKind::Reads) => {
                let servers = self.read_servers(class, now).map(|id| &self.servers[id]);
                let limits = servers.map(|pool| pool.yielding.limit_connections(class, max_open) as usize);
                limits.sum::<usize>().max(1)
            }
        }
    }

    /// When the first server of a queue gets its next request of a class, after pauses; the start of time if one may get
    /// it now. Pauses of replicas count only where each class has its own.
    pub(super) fn pause_until(&self, queue_kind: QueueKind, class: PriorityClass, now: Time) -> Time {
        match (queue_kind, self.overload_order) {
            (QueueKind::Primary, _) => self.primary_pause_until(class),
            (QueueKind::Reads, OverloadOrder::Shared) => Time::ZERO,
            (QueueKind::Reads, OverloadOrder::ByRank) => {
                let servers = self.read_servers(class, now).map(|id| &self.servers[id]);
                let pauses = servers
                    .filter(|pool| !pool.is_unreachable(now))
                    .map(|pool| pool.overload_pause_until(class));
                pauses.min().unwrap_or(Time::ZERO)
            }
        }
    }

    /// The time to come back for a caller that is refused, when its request could start `after` now. Later refusals within
    /// one pause get later times, where the classes are ordered by rank.
    pub(super) fn retry_after(
        &mut self,
        queue_kind: QueueKind,
        class: PriorityClass,
        after: Duration,
        now: Time,
    ) -> Duration {
        let retry_times = match (self.overload_order, queue_kind) {
            (OverloadOrder::Shared, _) => return after,
            (OverloadOrder::ByRank, QueueKind::Primary) => &mut self.primary_retry_times,
            (OverloadOrder::ByRank, QueueKind::Reads) => &mut self.read_retry_times,
        };
        retry_times.next(class, now + after, now)
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

//! The connection pool of an instance: its connections to all backend servers, by service and server.

use super::connection_lease::ConnectionLease;
use super::leased_connection::LeasedConnection;
use super::position_requests::PositionRequests;
use super::region_distances::RegionDistances;
use super::service_pool::ServicePool;
use crate::connection_state::ConnectionState;
use crate::control::ServerContacts;
use crate::metrics::Metrics;
use crate::sharing::ConnectionSharing;
use crate::{ClusterSnapshot, Connector, Regions};
use async_executor::LocalExecutor;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cell::{OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, PriorityClass, Time};
use wasabiyard_schedule::QueuedRequest;

/// Settings of the pool.
#[derive(Debug, Clone)]
pub struct PoolSettings {
    /// Failure domain of this instance.
    pub domain: Arc<str>,
    /// Regions of the failure domains.
    pub regions: Regions,
    /// Seed of the random choices between servers.
    pub seed: u64,
}

/// For whom a connection is leased.
#[derive(Debug, Clone, Copy)]
pub(super) struct Requester<'a> {
    /// Organisation whose statements it carries.
    pub(super) organisation: &'a Arc<str>,
    /// Priority class of the statement or transaction.
    pub(super) class: PriorityClass,
}

impl<'a> From<&'a QueuedRequest> for Requester<'a> {
    fn from(queued: &'a QueuedRequest) -> Self {
        Self {
            organisation: &queued.organisation,
            class: queued.class,
        }
    }
}

/// Why no connection could be leased.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolError {
    /// The estimated wait passes the deadline, or the queue is full.
    Overloaded {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The deadline passed in the queue.
    Deadline,
    /// The primary is unknown, its view lease is about to expire, it is unreachable, or its replacement takes longer
    /// than the request can wait.
    NoPrimary {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The service is unknown, or the chosen server was removed meanwhile.
    NoServer,
}

impl PoolError {
    /// Value of the label `cause` in metrics.
    pub(super) const fn cause(self) -> &'static str {
        match self {
            Self::Overloaded { .. } => "overloaded",
            Self::Deadline => "deadline",
            Self::NoPrimary { .. } => "no_primary",
            Self::NoServer => "no_server",
        }
    }
}

pub(super) type LeaseResult<C> = Result<ConnectionLease<C>, PoolError>;
type Services<C> = HashMap<Arc<str>, ServicePool<<C as Connector>::Connection, LeaseResult<C>>>;

/// All connections of an instance to backend servers. Used by the traffic thread only.
pub struct Pool<C>
where
    C: Connector + 'static,
{
    pub(super) connector: C,
    pub(super) settings: PoolSettings,
    pub(super) metrics: Rc<Metrics>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) snapshot: RefCell<Arc<ClusterSnapshot>>,
    pub(super) services: RefCell<Services<C>>,
    pub(super) rng: RefCell<SmallRng>,
    /// Round trips to the regions; `None` if there is only one.
    pub(super) distances: RefCell<Option<RegionDistances>>,
    /// For each service, the epoch of the newest primary record such that this instance uses no primary of a lower
    /// epoch.
    pub(super) released: RefCell<HashMap<Arc<str>, u64>>,
    /// Entries of `released` that were not yet reported to the control thread and the peers.
    pub(super) newly_released: RefCell<Vec<(Arc<str>, u64)>>,
    /// Sharing of connections with other instances; empty when this instance does not take part.
    pub(super) sharing: OnceCell<Rc<ConnectionSharing>>,
    pub(super) positions: OnceCell<PositionRequests>,
}

impl<C> std::fmt::Debug for Pool<C>
where
    C: Connector + 'static,
{
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool").finish_non_exhaustive()
    }
}

impl<C> Pool<C>
where
    C: Connector + 'static,
{
    /// An empty pool. Services and servers come from [`Self::update`].
    pub fn new(
        connector: C,
        settings: PoolSettings,
        metrics: Rc<Metrics>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let rng = RefCell::new(SmallRng::seed_from_u64(settings.seed));
        let distances = settings
            .regions
            .own()
            .map(|own| RegionDistances::new(Arc::clone(own)));
        Rc::new(Self {
            distances: RefCell::new(distances),
            connector,
            settings,
            metrics,
            executor,
            snapshot: RefCell::default(),
            services: RefCell::default(),
            rng,
            released: RefCell::default(),
            newly_released: RefCell::default(),
            sharing: OnceCell::new(),
            positions: OnceCell::new(),
        })
    }

    /// Lets the pool share connections with other instances. Called once, before the first snapshot.
    pub fn enable_sharing(&self, sharing: Rc<ConnectionSharing>) {
        let first = self.sharing.set(sharing).is_ok();
        assert!(first, "sharing is enabled once");
    }

    /// The cluster snapshot that was passed to [`Self::update`] last.
    pub fn snapshot(&self) -> Arc<ClusterSnapshot> {
        Arc::clone(&self.snapshot.borrow())
    }

    /// Applies a new cluster snapshot to the pools of all services.
    pub fn update(self: &Rc<Self>, snapshot: &Arc<ClusterSnapshot>, now: Time) {
        *self.snapshot.borrow_mut() = Arc::clone(snapshot);
        let mut names: Vec<Arc<str>> = snapshot.primaries.keys().map(Arc::clone).collect();
        names.extend(snapshot.servers.values().map(|s| Arc::clone(&s.service)));
        names.extend(self.services.borrow().keys().map(Arc::clone));
        names.sort();
        names.dedup();
        for service in &names {
            self.services
                .borrow_mut()
                .entry(Arc::clone(service))
                .or_insert_with(ServicePool::new)
                .update(service, snapshot, now, &mut *self.rng.borrow_mut());
            self.update_primary(service, snapshot, now);
            self.dispatch(service, now);
        }
        self.update_relays(snapshot, now);
    }

    /// Rejects expired waiters, closes connections that are idle for too long, and stops the use of primaries
    /// whose view lease is about to expire. Called periodically.
    pub fn tick(self: &Rc<Self>, now: Time) {
        self.report_congestion(now);
        let snapshot = self.snapshot();
        let names: Vec<_> = self.services.borrow().keys().map(Arc::clone).collect();
        for service in &names {
            self.update_primary(service, &snapshot, now);
            self.dispatch(service, now);
            self.dispatch_gates(service, now);
            self.close_idle(service, now);
            self.report_paces(service, now);
        }
    }

    /// The primaries that do not answer this instance, and those that have answered a statement within `period`. They are
    /// reported to the holder of the failover lease.
    pub fn primary_contacts(&self, period: Duration, now: Time) -> ServerContacts {
        let services = self.services.borrow();
        let mut contacts = ServerContacts::default();
        let primaries = services
            .values()
            .filter_map(|s| s.servers.get(s.usable_primary()?.0));
        for primary in primaries {
            let id = &primary.server.id;
            if primary.is_unreachable(now) {
                contacts.unreachable.push(Arc::clone(id));
            } else if primary.health.has_answered_within(period, now) {
                contacts.reached.push(Arc::clone(id));
            }
        }
        contacts
    }

    /// The log point that a read must see to be at most `age` stale. `None` when no sample of the primary's log point
    /// proves one.
    pub fn minimum_read_point(&self, service: &str, age: Duration, now: Time) -> Option<LogPoint> {
        let services = self.services.borrow();
        services.get(service)?.samples.minimum_point(age, now)
    }

    pub(super) fn new_lease(
        self: &Rc<Self>,
        service: &Arc<str>,
        server: &Arc<str>,
        requester: Requester<'_>,
        conn: LeasedConnection<C::Connection>,
        connection_state: ConnectionState,
        now: Time,
    ) -> Option<ConnectionLease<C>> {
        let services = self.services.borrow();
        let pool = services.get(service)?;
        let epoch = pool
            .usable_primary()
            .filter(|(p, _)| *p == server)
            .map(|(_, epoch)| epoch);
        Some(ConnectionLease {
            pool: Rc::clone(self),
            service: Arc::clone(service),
            server: Arc::clone(server),
            organisation: Arc::clone(requester.organisation),
            class: requester.class,
            epoch,
            revoked: pool.servers.get(server)?.revocation(),
            relayed: matches!(conn, LeasedConnection::Relayed(_)),
            conn: Some(conn),
            connection_state,
            started: now,
            in_transaction: false,
        })
    }

    /// Takes back the connection of a lease. A connection that failed, is inside a transaction, may mistake a repeated
    /// answer for its next one, belongs to a revoked lease or to a draining server is closed.
    pub(super) fn release(self: &Rc<Self>, lease: &mut ConnectionLease<C>, now: Time) {
        if lease.relayed {
            lease.conn = None;
            self.release_relayed(lease);
            return;
        }
        let conn = lease.conn.take();
        let conn = conn.filter(|c| !lease.in_transaction && c.recognises_repeats());
        let conn = conn.and_then(LeasedConnection::into_direct);
        let connection_state = std::mem::take(&mut lease.connection_state);
        let conn = conn.filter(|_| connection_state.may_be_left());
        if let Some(pool) = self.services.borrow_mut().get_mut(&lease.service) {
            pool.admission(lease.queue_kind())
                .record_service_time(now.saturating_since(lease.started), now);
            let limits = pool.limits;
            if let Some(server) = pool.servers.get_mut(&lease.server) {
                server.in_use = server.in_use.saturating_sub(1);
                if server.idle.len() as u32 >= server.max_idle(&limits) {
                    server.evict();
                }
                let stale = lease.revoked.is_closed() || server.server.draining;
                if let Some(conn) = conn.filter(|_| !stale) {
                    server.idle.push(super::server_pool::IdleConnection {
                        conn,
                        organisation: Arc::clone(&lease.organisation),
                        connection_state,
                        since: now,
                    });
                }
            }
        }
        let (service, server) = (Arc::clone(&lease.service), Arc::clone(&lease.server));
        self.dispatch(&service, now);
        self.dispatch_gate(&service, &server, now);
    }

    pub(super) fn on_failure(&self, service: &str, server: &str, started: Time, now: Time) {
        self.with_server(service, server, |s| s.on_failure(started, now));
    }

    /// Smoothed latency of the lease's server, zero when the server is no longer known.
    pub(super) fn latency(&self, lease: &ConnectionLease<C>) -> Duration {
        let services = self.services.borrow();
        let server = services
            .get(&lease.service)
            .and_then(|p| p.servers.get(&lease.server));
        server.map_or(Duration::ZERO, |s| s.latency.estimate())
    }

    pub(super) fn with_server<F>(&self, service: &str, server: &str, f: F)
    where
        F: FnOnce(&mut super::server_pool::ServerPool<C::Connection>),
    {
        let mut services = self.services.borrow_mut();
        if let Some(server) = services.get_mut(service).and_then(|p| p.servers.get_mut(server)) {
            f(server);
        }
    }

    pub(super) fn close_idle(&self, service: &str, now: Time) {
        let mut services = self.services.borrow_mut();
        let Some(pool) = services.get_mut(service) else {
            return;
        };
        for server in pool.servers.values_mut() {
            let idle_timeout = server.idle_timeout(&pool.limits);
            server
                .idle
                .retain(|c| now.saturating_since(c.since) < idle_timeout);
        }
    }
}

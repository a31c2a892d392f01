//! The connection pool of an instance: its connections to all backend servers, by service and server.

use super::connection_lease::ConnectionLease;
use super::ordered_connection::OrderedConnection;
use super::service_pool::{QueueKind, ServicePool};
use crate::connection_state::ConnectionState;
use crate::control::ServerContacts;
use crate::metrics::Metrics;
use crate::{Answer, CallerError, ClusterSnapshot, Connector};
use async_executor::LocalExecutor;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Time};

/// Settings of the pool.
#[derive(Debug, Clone)]
pub struct PoolSettings {
    /// Failure domain of this instance.
    pub domain: Arc<str>,
    /// Seed of the random choices between servers.
    pub seed: u64,
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
    /// For each service, the epoch of the newest primary record such that this instance uses no primary of a lower
    /// epoch.
    pub(super) released: RefCell<HashMap<Arc<str>, u64>>,
    /// Entries of `released` that were not yet reported to the control thread and the peers.
    pub(super) newly_released: RefCell<Vec<(Arc<str>, u64)>>,
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
        Rc::new(Self {
            connector,
            settings,
            metrics,
            executor,
            snapshot: RefCell::default(),
            services: RefCell::default(),
            rng,
            released: RefCell::default(),
            newly_released: RefCell::default(),
        })
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
                .update(service, snapshot, now);
            self.update_primary(service, snapshot, now);
            self.dispatch(service, now);
        }
    }

    /// Rejects expired waiters, closes connections that are idle for too long, and stops the use of primaries
    /// whose view lease is about to expire. Called periodically.
    pub fn tick(self: &Rc<Self>, now: Time) {
        let snapshot = self.snapshot();
        let names: Vec<_> = self.services.borrow().keys().map(Arc::clone).collect();
        for service in &names {
            self.update_primary(service, &snapshot, now);
            self.dispatch(service, now);
            self.close_idle(service, now);
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
        organisation: &Arc<str>,
        conn: OrderedConnection<C::Connection>,
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
            organisation: Arc::clone(organisation),
            epoch,
            revoked: pool.servers.get(server)?.revocation(),
            conn: Some(conn),
            connection_state,
            started: now,
            in_transaction: false,
        })
    }

    /// Takes back the connection of a lease. A connection that failed, is inside a transaction, may mistake a repeated
    /// answer for its next one, belongs to a revoked lease or to a draining server is closed.
    pub(super) fn release(self: &Rc<Self>, lease: &mut ConnectionLease<C>, now: Time) {
        let conn = lease.conn.take();
        let conn = conn.filter(|c| !lease.in_transaction && c.recognises_repeats());
        let connection_state = std::mem::take(&mut lease.connection_state);
        let conn = conn.filter(|_| connection_state.may_be_left());
        if let Some(pool) = self.services.borrow_mut().get_mut(&lease.service) {
            let queue_kind = if lease.epoch.is_some() {
                QueueKind::Primary
            } else {
                QueueKind::Reads
            };
            pool.admission(queue_kind)
                .record_service_time(now.saturating_since(lease.started), now);
            let limits = pool.limits;
            if let Some(server) = pool.servers.get_mut(&lease.server) {
                server.in_use = server.in_use.saturating_sub(1);
                if server.idle.len() as u32 >= limits.max_idle {
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
        let service = Arc::clone(&lease.service);
        self.dispatch(&service, now);
    }

    /// Records the answer to a command that was sent at `sent_at`. The statement records a refusal as overloaded itself,
    /// with [`Self::on_overloaded`].
    pub(super) fn on_answer(
        &self,
        lease: &ConnectionLease<C>,
        sent_at: Time,
        answer: &Answer,
        is_statement: bool,
        now: Time,
    ) {
        let point = answer.point;
        let mut services = self.services.borrow_mut();
        let Some(pool) = services.get_mut(&lease.service) else {
            return;
        };
        let on_current_primary =
            lease.epoch.is_some() && pool.usable_primary().map(|(_, e)| e) == lease.epoch;
        // Only a digest shows that the answer is not an older one that came late, with an older point.
        let is_recent = is_statement && answer.failure().is_none();
        if let Some(point) = point
            && is_recent
            && on_current_primary
        {
            pool.on_primary_point(sent_at, point);
        }
        if let Some(server) = pool.servers.get_mut(&lease.server) {
            server.on_point(point);
            if answer.failure() != Some(CallerError::Busy) {
                server.on_answer(now.saturating_since(sent_at), is_statement, now);
            }
        }
    }

    /// Updates the lag estimate of a replica that refused or served `point`.
    pub(super) fn on_replica_point(
        &self,
        lease: &ConnectionLease<C>,
        point: LogPoint,
        served: bool,
        now: Time,
    ) {
        let mut services = self.services.borrow_mut();
        let Some(pool) = services.get_mut(&lease.service) else {
            return;
        };
        let Some(reached) = pool.samples.first_reached_at(point) else {
            return;
        };
        let age = now.saturating_since(reached);
        if let Some(server) = pool.servers.get_mut(&lease.server) {
            if served {
                server.lag.on_served(age);
            } else {
                server.lag.on_refused(age, now);
            }
        }
    }

    /// Records that the lease's server refused a statement as overloaded. Other servers are preferred until answers
    /// lower its latency again.
    pub(super) fn on_overloaded(&self, lease: &ConnectionLease<C>, now: Time) {
        let mut rng = self.rng.borrow_mut();
        self.with_server(&lease.service, &lease.server, |s| {
            s.latency.on_overloaded();
            s.health.on_overloaded(s.in_use, now, &mut *rng);
        });
    }

    /// Counts the first attempt of a statement, which earns a part of a retry.
    pub(super) fn on_first_attempt(&self, service: &str) {
        if let Some(pool) = self.services.borrow_mut().get_mut(service) {
            pool.retries.deposit();
        }
    }

    /// Whether a statement that a server refused may be tried again. When not, its caller is told to come back.
    pub(super) fn may_retry(&self, service: &str) -> bool {
        let mut services = self.services.borrow_mut();
        services
            .get_mut(service)
            .is_some_and(|pool| pool.retries.try_withdraw())
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
        let idle_timeout = pool.limits.idle_timeout;
        for server in pool.servers.values_mut() {
            server
                .idle
                .retain(|c| now.saturating_since(c.since) < idle_timeout);
        }
    }
}

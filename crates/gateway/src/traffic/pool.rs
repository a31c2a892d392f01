//! All connections to backend servers, and who gets the next one.

use super::lease::Lease;
use super::service_pool::{Lane, ServicePool};
use crate::metrics::Metrics;
use crate::profile::Profile;
use crate::{Connector, Directory};
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
    /// Seed of random choices.
    pub seed: u64,
}

/// Why there is no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolError {
    /// The wait would pass the deadline.
    Overloaded {
        /// When it is worth coming back.
        retry_after: Duration,
    },
    /// The deadline passed in the queue.
    Deadline,
    /// The primary is unknown, is not proved, or does not answer.
    NoPrimary {
        /// When it is worth coming back.
        retry_after: Duration,
    },
    /// The service has no backend server that takes work.
    NoServer,
}

pub(super) type Reply<C> = Result<Lease<C>, PoolError>;
type Services<C> = HashMap<Arc<str>, ServicePool<<C as Connector>::Connection, Reply<C>>>;

/// The pool of an instance.
pub struct Pool<C>
where
    C: Connector + 'static,
{
    pub(super) connector: C,
    pub(super) settings: PoolSettings,
    pub(super) metrics: Rc<Metrics>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) directory: RefCell<Arc<Directory>>,
    pub(super) services: RefCell<Services<C>>,
    pub(super) rng: RefCell<SmallRng>,
    /// Newest epoch of each service below which no primary is used any more.
    pub(super) released: RefCell<HashMap<Arc<str>, u64>>,
    /// Releases that the control thread and the peers have not been told.
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
    /// An empty pool.
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
            directory: RefCell::default(),
            services: RefCell::default(),
            rng,
            released: RefCell::default(),
            newly_released: RefCell::default(),
        })
    }

    /// The directory in force.
    pub fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory.borrow())
    }

    /// Takes over a new directory.
    pub fn update(self: &Rc<Self>, directory: &Arc<Directory>, now: Time) {
        *self.directory.borrow_mut() = Arc::clone(directory);
        let mut names: Vec<Arc<str>> = directory.primaries.keys().map(Arc::clone).collect();
        names.extend(directory.servers.values().map(|s| Arc::clone(&s.service)));
        names.extend(self.services.borrow().keys().map(Arc::clone));
        names.sort();
        names.dedup();
        for service in &names {
            self.services
                .borrow_mut()
                .entry(Arc::clone(service))
                .or_insert_with(ServicePool::new)
                .update(service, directory, now);
            self.update_primary(service, directory, now);
            self.dispatch(service, now);
        }
    }

    /// Ends what has waited too long, and use of primaries that are not proved any more.
    pub fn tick(self: &Rc<Self>, now: Time) {
        let directory = self.directory();
        let names: Vec<_> = self.services.borrow().keys().map(Arc::clone).collect();
        for service in &names {
            self.update_primary(service, &directory, now);
            self.dispatch(service, now);
            self.close_idle(service, now);
        }
    }

    /// Ids of servers that do not answer this instance.
    pub fn unreachable(&self, now: Time) -> Vec<Arc<str>> {
        let services = self.services.borrow();
        let servers = services.values().flat_map(|s| s.servers.values());
        servers
            .filter(|s| s.is_unreachable(now))
            .map(|s| Arc::clone(&s.server.id))
            .collect()
    }

    /// The point that a read must see so that it misses nothing older than `age`. `None` when no sample proves it.
    pub fn point_for(&self, service: &str, age: Duration, now: Time) -> Option<LogPoint> {
        let services = self.services.borrow();
        services.get(service)?.samples.minimum_point(age, now)
    }

    pub(super) fn lease(
        self: &Rc<Self>,
        service: &Arc<str>,
        server: &Arc<str>,
        organisation: &Arc<str>,
        conn: C::Connection,
        profile: Profile,
        now: Time,
    ) -> Option<Lease<C>> {
        let services = self.services.borrow();
        let pool = services.get(service)?;
        let epoch = pool
            .usable_primary()
            .filter(|(p, _)| *p == server)
            .map(|(_, epoch)| epoch);
        Some(Lease {
            pool: Rc::clone(self),
            service: Arc::clone(service),
            server: Arc::clone(server),
            organisation: Arc::clone(organisation),
            epoch,
            revoked: pool.servers.get(server)?.revocation(),
            conn: Some(conn),
            profile,
            started: now,
            in_transaction: false,
        })
    }

    /// Takes a connection back, or counts it as closed when `conn` is `None`.
    pub(super) fn release(self: &Rc<Self>, lease: &mut Lease<C>, now: Time) {
        let conn = lease.conn.take().filter(|_| !lease.in_transaction);
        let profile = std::mem::take(&mut lease.profile);
        if let Some(pool) = self.services.borrow_mut().get_mut(&lease.service) {
            let lane = if lease.epoch.is_some() {
                Lane::Primary
            } else {
                Lane::Reads
            };
            pool.admission(lane)
                .record_service_time(now.saturating_since(lease.started), now);
            let caps = pool.caps;
            if let Some(server) = pool.servers.get_mut(&lease.server) {
                server.busy = server.busy.saturating_sub(1);
                if server.idle.len() as u32 >= caps.idle {
                    server.evict();
                }
                let stale = lease.revoked.is_closed() || server.server.draining;
                if let Some(conn) = conn.filter(|_| !stale) {
                    server.idle.push(super::server_pool::IdleConnection {
                        conn,
                        organisation: Arc::clone(&lease.organisation),
                        profile,
                        since: now,
                    });
                }
            }
        }
        let service = Arc::clone(&lease.service);
        self.dispatch(&service, now);
    }

    /// Records an answer to a statement that was sent at `asked`.
    pub(super) fn on_answer(&self, lease: &Lease<C>, asked: Time, point: Option<LogPoint>, now: Time) {
        let mut services = self.services.borrow_mut();
        let Some(pool) = services.get_mut(&lease.service) else {
            return;
        };
        let leads = lease.epoch.is_some() && pool.usable_primary().map(|(_, e)| e) == lease.epoch;
        if let Some(point) = point
            && leads
        {
            pool.on_primary_point(asked, point);
        }
        if let Some(server) = pool.servers.get_mut(&lease.server) {
            server.on_answer(now.saturating_since(asked), point, now);
        }
    }

    /// A replica refused or served `point`.
    pub(super) fn on_replica_point(&self, lease: &Lease<C>, point: LogPoint, served: bool, now: Time) {
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

    /// The server refused a statement because it has too many; others are preferred until it answers faster again.
    pub(super) fn on_busy(&self, lease: &Lease<C>) {
        self.with_server(&lease.service, &lease.server, |s| s.latency = s.latency * 3 / 2);
    }

    pub(super) fn on_failure(&self, service: &str, server: &str, started: Time, now: Time) {
        self.with_server(service, server, |s| s.on_failure(started, now));
    }

    /// Smoothed time of a statement at a server.
    pub(super) fn latency(&self, lease: &Lease<C>) -> Duration {
        let services = self.services.borrow();
        let server = services
            .get(&lease.service)
            .and_then(|p| p.servers.get(&lease.server));
        server.map_or(Duration::ZERO, |s| s.latency)
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
        let idle_time = pool.caps.idle_time;
        for server in pool.servers.values_mut() {
            server.idle.retain(|c| now.saturating_since(c.since) < idle_time);
        }
    }
}

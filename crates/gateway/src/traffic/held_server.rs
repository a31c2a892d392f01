//! The holder's side of shared connections: work for a server passes its gate and gets a connection of the holder.

use super::connection_lease::{ConnectionLease, LeaseError};
use super::leased_connection::LeasedConnection;
use super::ordered_connection::OrderedConnection;
use super::pool::{Pool, Requester};
use super::pool_connect::CONNECT_TIMEOUT;
use super::server_pool::ServerPool;
use crate::connection_state::ConnectionState;
use crate::metrics::{ConnectResult, HeldLeaseResult};
use crate::sharing::{GatePass, GateRefusal, LeaseServer, LeaseSpec, NewWork, Refusal, ServerState};
use crate::{ConnectOutcome, ConnectionError, Connector, OverloadOrder, PrimaryView, clock};
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;

/// Pause before another attempt when the server accepts no more connections and none can be freed.
const NO_CONNECTION_PAUSE: Duration = Duration::from_millis(40);

/// The place of waiting work in the gate's queue; receives its permission.
pub(super) type GateWaiter = Sender<Result<GatePass, Refusal>>;

/// Why the holder has no connection for a lease now.
enum NoConnection {
    /// All connections are leased, or the server accepts no more.
    Later,
    /// The lease cannot be served here.
    Refused(Refusal),
}

impl<C> Pool<C>
where
    C: Connector + 'static,
{
    /// Whether a lease may be served now, apart from whether its server responds. Checked again when its connection is
    /// ready.
    pub(super) fn check_held(&self, spec: &LeaseSpec, now: Time) -> Result<(), Refusal> {
        let services = self.services.borrow();
        let Some(pool) = services.get(&spec.service) else {
            return Err(Refusal::NotInService);
        };
        let server = pool.servers.get(&spec.server);
        let Some(server) = server.filter(|s| s.held_limits.is_some()) else {
            return Err(Refusal::NotInService);
        };
        let snapshot = self.snapshot.borrow();
        if let Some(epoch) = spec.epoch {
            let known_epoch = snapshot.primaries.get(&spec.service).map_or(0, |r| r.epoch);
            match snapshot.primary(&spec.service, now) {
                PrimaryView::Usable { .. } if pool.usable_primary() == Some((&spec.server, epoch)) => {}
                // Another instance may know more.
                PrimaryView::Stale | PrimaryView::Unknown => return Err(Refusal::NotInService),
                _ if known_epoch < epoch => return Err(Refusal::NotInService),
                _ => return Err(Refusal::NotPrimary),
            }
        } else if !snapshot.accepts_new_work(&server.server) {
            return Err(Refusal::NotInService);
        }
        Ok(())
    }

    /// Refuses a lease while its server does not respond. A statement that is let through to try the server counts as
    /// running there, so this must not be asked after the gate.
    fn check_responds(&self, spec: &LeaseSpec, now: Time) -> Result<(), Refusal> {
        let services = self.services.borrow();
        let server = services
            .get(&spec.service)
            .and_then(|pool| pool.servers.get(&spec.server));
        if server.is_some_and(|s| s.is_failing(now)) {
            return Err(Refusal::ServerUnreachable);
        }
        Ok(())
    }

    /// Waits until `spec` is let through, and leases a connection of its organisation with its session values.
    pub(super) async fn acquire_held(
        self: &Rc<Self>,
        spec: &LeaseSpec,
        deadline: Time,
    ) -> Result<(ConnectionLease<C>, GatePass), Refusal> {
        loop {
            let arrived = clock::now();
            self.check_held(spec, arrived)?;
            self.check_responds(spec, arrived)?;
            let work = NewWork {
                organisation: Arc::clone(&spec.organisation),
                class: spec.class,
                deadline,
            };
            let pass = self
                .enter_gate(&spec.service, &spec.server, Some(&work), deadline)
                .await;
            let pass = pass?;
            let now = clock::now();
            self.metrics
                .on_gate_wait(&spec.service, now.saturating_since(arrived));
            match self.held_connection(spec).await {
                Ok(lease) => {
                    // The wait may have been long.
                    self.check_held(spec, clock::now())?;
                    if lease.epoch != spec.epoch && spec.epoch.is_some() {
                        return Err(Refusal::NotPrimary);
                    }
                    return Ok((lease, pass));
                }
                Err(NoConnection::Refused(refusal)) => return Err(refusal),
                Err(NoConnection::Later) => {
                    drop(pass);
                    if clock::now() + NO_CONNECTION_PAUSE >= deadline {
                        return Err(Refusal::Overloaded {
                            retry_after_ms: NO_CONNECTION_PAUSE.as_millis() as u64,
                        });
                    }
                    Timer::after(NO_CONNECTION_PAUSE).await;
                }
            }
        }
    }

    /// Waits until the gate of a server lets new work, or a statement of an open transaction without `work`, through.
    pub(super) async fn enter_gate(
        self: &Rc<Self>,
        service: &Arc<str>,
        server: &Arc<str>,
        work: Option<&NewWork>,
        deadline: Time,
    ) -> Result<GatePass, Refusal> {
        let now = clock::now();
        let (tx, rx) = async_channel::bounded(1);
        self.with_server(service, server, |s| {
            let slots = s.server.capacity;
            match work {
                None => s.gate.push_open(deadline, tx),
                Some(work) => {
                    if let Err((waiter, refusal)) = s.gate.push_new(work, slots, tx, now) {
                        drop(waiter.try_send(Err(overloaded(refusal))));
                    }
                }
            }
        });
        self.dispatch_gate(service, server, now);
        // The channel is closed without a result when the server was removed or does not respond.
        rx.recv().await.unwrap_or(Err(Refusal::ServerUnreachable))
    }

    /// Lets as much work through as the server can take.
    pub(super) fn dispatch_gate(self: &Rc<Self>, service: &Arc<str>, server: &Arc<str>, now: Time) {
        let (order, is_primary) = {
            let services = self.services.borrow();
            let Some(pool) = services.get(service) else {
                return;
            };
            (pool.overload_order, pool.is_primary(server))
        };
        loop {
            let mut dropped = Vec::new();
            let mut refusal = GateRefusal {
                retry_after: NO_CONNECTION_PAUSE,
            };
            let mut next = None;
            self.with_server(service, server, |s| {
                if s.is_failing(now) {
                    s.gate.drop_new();
                }
                next = s.start_held_work(order, is_primary, now);
                dropped = s.gate.take_dropped(now);
                let wait = s.gate.expected_wait(s.server.capacity, now);
                refusal.retry_after = wait.max(refusal.retry_after);
            });
            for waiter in dropped {
                drop(waiter.try_send(Err(overloaded(refusal))));
            }
            let Some(waiter) = next else {
                return;
            };
            let owner: Rc<dyn LeaseServer> = Rc::clone(self) as Rc<dyn LeaseServer>;
            let pass = GatePass::new(owner, Arc::clone(service), Arc::clone(server), now);
            // A waiter that was cancelled drops its pass, which lets the next one through.
            drop(waiter.try_send(Ok(pass)));
        }
    }

    /// Lets work through for which no statement has to finish first, and refuses work whose time is over.
    pub(super) fn dispatch_gates(self: &Rc<Self>, service: &Arc<str>, now: Time) {
        let held: Vec<_> = {
            let services = self.services.borrow();
            let Some(pool) = services.get(service) else {
                return;
            };
            let servers = pool.servers.iter().filter(|(_, s)| !s.gate.is_empty());
            servers.map(|(id, _)| Arc::clone(id)).collect()
        };
        for server in &held {
            self.dispatch_gate(service, server, now);
        }
    }

    /// Records that a held server refused a statement as overloaded.
    pub(super) fn on_held_overloaded(&self, lease: &ConnectionLease<C>, now: Time) {
        let mut rng = self.rng.borrow_mut();
        self.with_server(&lease.service, &lease.server, |s| {
            s.health.on_overloaded(s.gate.running(), now, &mut *rng);
            s.pace.on_overloaded(now);
        });
    }

    /// Expected wait of new work for a held server.
    pub(super) fn held_wait(&self, spec: &LeaseSpec, now: Time) -> Duration {
        let mut wait = Duration::ZERO;
        self.with_server(&spec.service, &spec.server, |s| {
            wait = s.gate.expected_wait(s.server.capacity, now);
        });
        wait
    }

    /// Leases an idle connection of the organisation, or opens one. Session values are set.
    async fn held_connection(self: &Rc<Self>, spec: &LeaseSpec) -> Result<ConnectionLease<C>, NoConnection> {
        while let Some(mut lease) = self.idle_held_connection(spec) {
            let ready = async {
                lease.check_idle().await?;
                lease.apply_session_values(&spec.values).await
            };
            match ready.await {
                Ok(()) => {
                    self.metrics.on_held_lease(&spec.service, HeldLeaseResult::Idle);
                    return Ok(lease);
                }
                Err(e) => {
                    log::debug!(server:% = spec.server, error:? = e; "an idle connection could not be used again");
                    lease.discard();
                }
            }
        }
        let mut lease = self.connect_held(spec).await?;
        if let Err(e) = lease.apply_session_values(&spec.values).await {
            log::debug!(server:% = spec.server, error:? = e; "session values could not be set");
            lease.discard();
            let refusal = match e {
                LeaseError::Connection(ConnectionError::Unreadable(_)) => overloaded(GateRefusal {
                    retry_after: NO_CONNECTION_PAUSE,
                }),
                _ => Refusal::ServerUnreachable,
            };
            return Err(NoConnection::Refused(refusal));
        }
        self.metrics.on_held_lease(&spec.service, HeldLeaseResult::Opened);
        Ok(lease)
    }

    fn idle_held_connection(self: &Rc<Self>, spec: &LeaseSpec) -> Option<ConnectionLease<C>> {
        let adjustment_cost = |state: &ConnectionState| {
            let adjustment = state.adjustment(&spec.values);
            adjustment.set.len() + usize::from(adjustment.reset)
        };
        let mut idle = None;
        self.with_server(&spec.service, &spec.server, |s| {
            idle = s.take_idle(&spec.organisation, adjustment_cost);
            s.in_use += u32::from(idle.is_some());
        });
        let idle = idle?;
        self.new_held_lease(spec, idle.conn, idle.connection_state)
    }

    fn new_held_lease(
        self: &Rc<Self>,
        spec: &LeaseSpec,
        conn: OrderedConnection<C::Connection>,
        state: ConnectionState,
    ) -> Option<ConnectionLease<C>> {
        let conn = LeasedConnection::Direct(conn);
        let now = clock::now();
        let requester = Requester {
            organisation: &spec.organisation,
            class: spec.class,
        };
        let lease = self.new_lease(&spec.service, &spec.server, requester, conn, state, now);
        if lease.is_none() {
            self.forget_held_connection(spec);
        }
        lease
    }

    fn forget_held_connection(&self, spec: &LeaseSpec) {
        self.with_server(&spec.service, &spec.server, |s| {
            s.in_use = s.in_use.saturating_sub(1);
        });
    }

    async fn connect_held(self: &Rc<Self>, spec: &LeaseSpec) -> Result<ConnectionLease<C>, NoConnection> {
        let Some(target) = self.target(&spec.service, &spec.server, &spec.organisation) else {
            return Err(NoConnection::Refused(Refusal::NotInService));
        };
        let mut reserved = false;
        self.with_server(&spec.service, &spec.server, |s| {
            reserved = s.reserve_held_connection(clock::now());
        });
        if !reserved {
            return Err(NoConnection::Later);
        }
        // A task that is cancelled meanwhile must not keep the connection counted.
        let mut reservation = HeldReservation {
            pool: Rc::clone(self),
            spec,
            kept: false,
        };
        let started = clock::now();
        let connecting = async { Some(self.connector.connect(&target).await) };
        let expired = async {
            Timer::after(CONNECT_TIMEOUT).await;
            None
        };
        let connected = connecting.or(expired).await;
        let now = clock::now();
        match connected {
            Some(Ok(ConnectOutcome::Open(conn, point))) => {
                self.metrics.on_connect(&spec.service, ConnectResult::Opened);
                self.with_server(&spec.service, &spec.server, |s| {
                    s.on_point(point);
                    s.health.on_connected();
                });
                reservation.kept = true;
                let lease =
                    self.new_held_lease(spec, OrderedConnection::new(conn), ConnectionState::default());
                lease.ok_or(NoConnection::Refused(Refusal::NotInService))
            }
            Some(Ok(ConnectOutcome::Full)) => {
                self.metrics.on_connect(&spec.service, ConnectResult::Full);
                self.with_server(&spec.service, &spec.server, |s| {
                    s.health.on_full(now);
                    // The next attempt has a better chance with one connection less.
                    s.evict();
                });
                Err(NoConnection::Later)
            }
            Some(Ok(ConnectOutcome::WrongServer | ConnectOutcome::Refused)) | None => {
                self.metrics.on_connect(&spec.service, ConnectResult::Failed);
                self.with_server(&spec.service, &spec.server, |s| s.on_failure(started, now));
                Err(NoConnection::Refused(Refusal::ServerUnreachable))
            }
            Some(Err(e)) => {
                self.metrics.on_connect(&spec.service, ConnectResult::Failed);
                log::debug!(server:% = spec.server, error:% = e; "cannot connect to a backend server");
                self.with_server(&spec.service, &spec.server, |s| s.on_failure(started, now));
                Err(NoConnection::Refused(Refusal::ServerUnreachable))
            }
        }
    }
}

/// A connection that is being opened, counted as in use.
struct HeldReservation<'a, C>
where
    C: Connector + 'static,
{
    pool: Rc<Pool<C>>,
    spec: &'a LeaseSpec,
    /// Whether the connection was opened, so that its lease counts it from now on.
    kept: bool,
}

impl<C> Drop for HeldReservation<'_, C>
where
    C: Connector + 'static,
{
    fn drop(&mut self) {
        if !self.kept {
            self.pool.forget_held_connection(self.spec);
        }
    }
}

impl<C> ServerPool<C> {
    /// Whether the server does not respond: its requests failed, and the next attempt is not due or under way.
    fn is_failing(&self, now: Time) -> bool {
        self.health.is_failing() && (self.gate.running() > 0 || !self.health.allows_request(0, now))
    }

    /// Removes the next work that the server can take from its gate.
    fn start_held_work(&mut self, order: OverloadOrder, is_primary: bool, now: Time) -> Option<GateWaiter> {
        let max_open = self.held_limits.map_or(0, |l| l.max_open);
        let state = ServerState {
            slots: self.server.capacity,
            allows_request: self.health.allows_request(self.gate.running(), now)
                && self.pace.allows_statement(now),
            has_connection: self.in_use < max_open
                && (!self.idle.is_empty() || self.health.allows_connect(now)),
            order,
            is_primary,
        };
        loop {
            let next = self.gate.start_next(state, now)?;
            if next.is_closed() {
                // Its requester no longer waits.
                self.gate.cancel_start();
                continue;
            }
            self.pace.on_sent(now);
            return Some(next);
        }
    }

    /// Counts a connection that is about to be opened, and closes the one that has been idle longest if there are too
    /// many. Returns whether there is room for it.
    fn reserve_held_connection(&mut self, now: Time) -> bool {
        let max_open = self.held_limits.map_or(0, |l| l.max_open);
        if !self.health.allows_connect(now) {
            return false;
        }
        while self.open_connections() >= max_open {
            if !self.evict() {
                return false;
            }
        }
        self.in_use += 1;
        true
    }
}

/// The refusal for work that the gate did not let through.
pub(super) const fn overloaded(refusal: GateRefusal) -> Refusal {
    Refusal::Overloaded {
        retry_after_ms: refusal.retry_after.as_millis() as u64,
    }
}

//! Opening of new backend connections for waiters.

use super::leased_connection::LeasedConnection;
use super::ordered_connection::OrderedConnection;
use super::pool::{LeaseResult, Pool, PoolError, Requester};
use super::pool_queue::deliver_lease;
use super::primary_wait::{check_primary_wait, queue_error};
use super::region_distances::RoundTripKind;
use super::service_pool::{QueueKind, Waiter};
use crate::connection_state::ConnectionState;
use crate::metrics::ConnectResult;
use crate::{ConnectOutcome, Connector, Target, clock};
use async_io::Timer;
use futures_lite::FutureExt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;
use wasabiyard_schedule::QueuedRequest;

/// Timeout for opening a connection, the login at the backend server included.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

impl<C> Pool<C>
where
    C: Connector + 'static,
{
    /// Opens a connection to `server` for a waiter. After a failure the waiter is queued again.
    pub(super) async fn connect(
        self: Rc<Self>,
        service: Arc<str>,
        server: Arc<str>,
        queued: QueuedRequest,
        waiter: Waiter<LeaseResult<C>>,
    ) {
        let started = clock::now();
        let Some(target) = self.target(&service, &server, &waiter.organisation) else {
            drop(waiter.reply.try_send(Err(PoolError::NoServer)));
            return;
        };
        let connecting = async { Some(self.connector.connect(&target).await) };
        let expired = async {
            Timer::after(CONNECT_TIMEOUT).await;
            None
        };
        let connected = connecting.or(expired).await;
        let now = clock::now();
        match connected {
            Some(Ok(ConnectOutcome::Open(conn, point))) => {
                self.metrics.on_connect(&service, ConnectResult::Opened);
                self.with_server(&service, &server, |s| {
                    s.on_point(point);
                    s.health.on_connected();
                });
                let took = now.saturating_since(started);
                self.on_round_trip(&service, &server, RoundTripKind::Login, took, now);
                let connection_state = ConnectionState::default();
                let lease = self.new_lease(
                    &service,
                    &server,
                    Requester::from(&queued),
                    LeasedConnection::Direct(OrderedConnection::new(conn)),
                    connection_state,
                    now,
                );
                deliver_lease(&waiter, lease);
                return;
            }
            Some(Ok(ConnectOutcome::Full)) => {
                self.metrics.on_connect(&service, ConnectResult::Full);
                self.with_server(&service, &server, |s| s.health.on_full(now));
            }
            Some(Ok(ConnectOutcome::WrongServer | ConnectOutcome::Refused)) | None => {
                self.metrics.on_connect(&service, ConnectResult::Failed);
                self.with_server(&service, &server, |s| s.on_failure(started, now));
            }
            Some(Err(e)) => {
                self.metrics.on_connect(&service, ConnectResult::Failed);
                log::debug!(server:% = server, error:% = e; "cannot connect to a backend server");
                self.with_server(&service, &server, |s| s.on_failure(started, now));
            }
        }
        self.with_server(&service, &server, |s| s.in_use = s.in_use.saturating_sub(1));
        self.requeue(&service, queued, waiter, now);
        self.dispatch(&service, now);
    }

    /// Requeues a waiter whose connection could not be opened, with its old deadline.
    pub(super) fn requeue(
        &self,
        service: &Arc<str>,
        queued: QueuedRequest,
        waiter: Waiter<LeaseResult<C>>,
        now: Time,
    ) {
        let mut services = self.services.borrow_mut();
        let Some(pool) = services.get_mut(service) else {
            drop(waiter.reply.try_send(Err(PoolError::NoServer)));
            return;
        };
        let queue_kind = pool.queue_kind(waiter.requirement, now);
        if queue_kind == QueueKind::Primary
            && let Err(e) = check_primary_wait(pool, queued.deadline, now)
        {
            drop(waiter.reply.try_send(Err(e)));
            return;
        }
        if let Err((waiter, e)) = pool.queue(queue_kind).push(queued, waiter, now) {
            drop(waiter.reply.try_send(Err(queue_error(e))));
        }
    }

    pub(super) fn target(&self, service: &Arc<str>, server: &str, organisation: &Arc<str>) -> Option<Target> {
        let services = self.services.borrow();
        let pool = services.get(service)?.servers.get(server)?;
        Some(Target {
            service: Arc::clone(service),
            organisation: Arc::clone(organisation),
            server: Arc::clone(&pool.server.id),
            address: pool.server.address,
        })
    }
}

//! Opening connections for waiters that got the right to one.

use super::pool::{Pool, PoolError, Reply};
use super::pool_queue::hand_over;
use super::primary_wait::{check_primary, refusal};
use super::service_pool::{Lane, Waiter};
use crate::metrics::ConnectResult;
use crate::profile::Profile;
use crate::{ConnectOutcome, Connector, Target, clock};
use async_io::Timer;
use futures_lite::FutureExt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;
use wasabiyard_schedule::QueuedRequest;

/// Longest time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

impl<C> Pool<C>
where
    C: Connector + 'static,
{
    pub(super) async fn connect(
        self: Rc<Self>,
        service: Arc<str>,
        server: Arc<str>,
        waiting: QueuedRequest,
        waiter: Waiter<Reply<C>>,
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
                    s.on_heard(point, now);
                    s.on_opened();
                });
                let profile = Profile::default();
                let lease = self.lease(&service, &server, &waiter.organisation, conn, profile, now);
                hand_over(&waiter, lease);
                return;
            }
            Some(Ok(ConnectOutcome::Full)) => {
                self.metrics.on_connect(&service, ConnectResult::Full);
                self.with_server(&service, &server, |s| s.on_full(now));
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
        self.with_server(&service, &server, |s| s.busy = s.busy.saturating_sub(1));
        self.queue_again(&service, waiting, waiter, now);
        self.dispatch(&service, now);
    }

    /// A statement whose connection could not be opened waits again, under its old deadline.
    pub(super) fn queue_again(
        &self,
        service: &Arc<str>,
        waiting: QueuedRequest,
        waiter: Waiter<Reply<C>>,
        now: Time,
    ) {
        let mut services = self.services.borrow_mut();
        let Some(pool) = services.get_mut(service) else {
            drop(waiter.reply.try_send(Err(PoolError::NoServer)));
            return;
        };
        let lane = pool.lane(waiter.need, now);
        if lane == Lane::Primary
            && let Err(e) = check_primary(pool, waiting.deadline, now)
        {
            drop(waiter.reply.try_send(Err(e)));
            return;
        }
        if let Err((waiter, e)) = pool.queue(lane).push(waiting, waiter, now) {
            drop(waiter.reply.try_send(Err(refusal(e))));
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

//! The queues of the pool: who waits for a connection, and who gets the next one.

use super::lease::Lease;
use super::patience::patience_end;
use super::pool::{Pool, PoolError, Reply};
use super::primary_wait::{check_primary, refusal};
use super::requirement::Need;
use super::service_pool::{Grant, Granted, Lane, Waiter};
use crate::profile::SessionValues;
use crate::{Connector, clock};
use async_io::Timer;
use futures_lite::FutureExt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{PriorityClass, Time};
use wasabiyard_schedule::QueuedRequest;

/// A request for a connection.
#[derive(Debug, Clone)]
pub(super) struct Ask<'a> {
    pub(super) service: &'a Arc<str>,
    pub(super) organisation: &'a Arc<str>,
    pub(super) class: PriorityClass,
    pub(super) need: Need,
    pub(super) values: &'a Rc<SessionValues>,
    pub(super) deadline: Time,
}

impl<C> Pool<C>
where
    C: Connector + 'static,
{
    /// Leases a connection.
    ///
    /// # Errors
    ///
    /// See [`PoolError`]; nothing was sent to a backend server for this request.
    pub(super) async fn acquire(self: &Rc<Self>, ask: &Ask<'_>) -> Reply<C> {
        let now = clock::now();
        let (tx, rx) = async_channel::bounded(1);
        let waiter = Waiter {
            organisation: Arc::clone(ask.organisation),
            need: ask.need,
            values: Rc::clone(ask.values),
            reply: tx,
        };
        let give_up = patience_end(ask.deadline, now);
        self.enqueue(ask, waiter, give_up, now)?;
        self.dispatch(ask.service, now);
        let wait = give_up.saturating_since(now) + Duration::from_millis(5);
        let expired = async {
            Timer::after(wait).await;
            Err(PoolError::Deadline)
        };
        let served = async { rx.recv().await.unwrap_or(Err(PoolError::Deadline)) };
        let lease = served.or(expired).await?;
        let waited = clock::now().saturating_since(now);
        self.metrics.on_placed(ask.service, lease.epoch.is_some(), waited);
        Ok(lease)
    }

    pub(super) fn enqueue(
        &self,
        ask: &Ask<'_>,
        waiter: Waiter<Reply<C>>,
        give_up: Time,
        now: Time,
    ) -> Result<(), PoolError> {
        let mut services = self.services.borrow_mut();
        let pool = services.get_mut(ask.service).ok_or(PoolError::NoServer)?;
        let lane = pool.lane(ask.need, now);
        if lane == Lane::Primary {
            check_primary(pool, give_up, now)?;
        }
        let ahead = pool.queue(lane).requests_ahead(ask.organisation, 1, ask.class);
        let connections = pool.connections(lane);
        if !pool.queue(lane).is_empty() {
            let admission = pool.admission(lane);
            let retry_after = admission.estimated_wait(ahead, connections, now);
            let in_time = admission.admit(ahead, connections, ask.deadline, now).is_ok();
            if !in_time || now + retry_after >= give_up {
                return Err(PoolError::Overloaded { retry_after });
            }
        }
        let waiting = QueuedRequest {
            organisation: Arc::clone(ask.organisation),
            weight: 1,
            class: ask.class,
            deadline: give_up,
        };
        pool.queue(lane)
            .push(waiting, waiter, now)
            .map(drop)
            .map_err(|(_, e)| refusal(e))
    }

    /// Serves as many waiters as can start now.
    pub(super) fn dispatch(self: &Rc<Self>, service: &Arc<str>, now: Time) {
        self.end_expired(service, now);
        loop {
            let granted = {
                let mut services = self.services.borrow_mut();
                let Some(pool) = services.get_mut(service) else {
                    return;
                };
                pool.next_grant(&self.settings.domain, now, &mut *self.rng.borrow_mut())
            };
            let Some(granted) = granted else {
                return;
            };
            self.serve(service, granted, now);
        }
    }

    pub(super) fn end_expired(&self, service: &Arc<str>, now: Time) {
        let mut ended = Vec::new();
        if let Some(pool) = self.services.borrow_mut().get_mut(service) {
            for lane in [Lane::Primary, Lane::Reads] {
                ended.extend(pool.queue(lane).take_dropped(now));
            }
        }
        for (waiter, e) in ended {
            // A waiter that has gone needs no answer.
            drop(waiter.reply.try_send(Err(refusal(e))));
        }
    }

    pub(super) fn serve(
        self: &Rc<Self>,
        service: &Arc<str>,
        granted: Granted<C::Connection, Reply<C>>,
        now: Time,
    ) {
        let Granted {
            waiting,
            waiter,
            server,
            grant,
        } = granted;
        match grant {
            Grant::Idle(idle) => {
                let lease = self.lease(
                    service,
                    &server,
                    &waiter.organisation,
                    idle.conn,
                    idle.profile,
                    now,
                );
                hand_over(&waiter, lease);
            }
            Grant::Connect => {
                let pool = Rc::clone(self);
                let service = Arc::clone(service);
                let task = async move { pool.connect(service, server, waiting, waiter).await };
                self.executor.spawn(task).detach();
            }
        }
    }
}

pub(super) fn hand_over<C>(waiter: &Waiter<Reply<C>>, lease: Option<Lease<C>>)
where
    C: Connector + 'static,
{
    // Without a lease the server went away while it was chosen. Dropping a lease whose waiter has gone returns the
    // connection.
    drop(waiter.reply.try_send(lease.ok_or(PoolError::NoServer)));
}

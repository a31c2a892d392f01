//! The queues of requests that wait for a connection, and their assignment to servers.

use super::assignment::{Assignment, ConnectionSource};
use super::connection_lease::ConnectionLease;
use super::connection_wait::connection_wait_deadline;
use super::crossing::CROSSING_RETRY;
use super::leased_connection::LeasedConnection;
use super::pool::{LeaseResult, Pool, PoolError, Requester};
use super::primary_wait::{check_primary_wait, queue_error};
use super::requirement::ServerRequirement;
use super::service_pool::{QueueKind, Waiter};
use crate::connection_state::SessionValues;
use crate::{Connector, clock};
use async_io::Timer;
use futures_lite::FutureExt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{PriorityClass, Time};
use wasabiyard_schedule::QueuedRequest;

/// Time after its turn by which a statement at a paced server is sent: such turns are noticed by a periodic check.
const MAX_DISPATCH_DELAY: Duration = Duration::from_millis(25);

/// A request of a session for a connection.
#[derive(Debug, Clone)]
pub(super) struct LeaseRequest<'a> {
    pub(super) service: &'a Arc<str>,
    pub(super) organisation: &'a Arc<str>,
    pub(super) class: PriorityClass,
    pub(super) requirement: ServerRequirement,
    /// Session values; an idle connection that already has most of them is preferred.
    pub(super) values: &'a Rc<SessionValues>,
    /// When the statement must be answered. The wait ends earlier, at [`connection_wait_deadline`].
    pub(super) deadline: Time,
}

impl<C> Pool<C>
where
    C: Connector + 'static,
{
    /// Waits in the queue of the service for a connection and leases it.
    ///
    /// # Errors
    ///
    /// See [`PoolError`]; nothing was sent to a backend server for this request.
    pub(super) async fn acquire(self: &Rc<Self>, lease_request: &LeaseRequest<'_>) -> LeaseResult<C> {
        let (service, class) = (lease_request.service, lease_request.class);
        let requested_at = clock::now();
        let result = self.wait_for_lease(lease_request, requested_at).await;
        match &result {
            Ok(lease) => {
                let waited = clock::now().saturating_since(requested_at);
                self.count_crossing(lease);
                self.metrics
                    .on_placed(service, class, lease.epoch.is_some(), waited);
            }
            Err(e) => self.metrics.on_not_placed(service, class, e.cause()),
        }
        result
    }

    async fn wait_for_lease(
        self: &Rc<Self>,
        lease_request: &LeaseRequest<'_>,
        requested_at: Time,
    ) -> LeaseResult<C> {
        let wait_deadline = connection_wait_deadline(lease_request.deadline, requested_at);
        self.wait_for_replicas(lease_request, wait_deadline, requested_at)
            .await;
        let now = clock::now();
        let (tx, rx) = async_channel::bounded(1);
        let waiter = Waiter {
            organisation: Arc::clone(lease_request.organisation),
            requirement: lease_request.requirement,
            values: Rc::clone(lease_request.values),
            reply: tx,
        };
        self.enqueue(lease_request, waiter, wait_deadline, now)?;
        self.dispatch(lease_request.service, now);
        // The queue rejects an expired waiter only when it is dispatched next, so the wait has a timer of its own.
        let wait = wait_deadline.saturating_since(now) + Duration::from_millis(5);
        let expired = async {
            Timer::after(wait).await;
            Err(PoolError::Deadline)
        };
        let served = async { rx.recv().await.unwrap_or(Err(PoolError::Deadline)) };
        served.or(expired).await
    }

    /// Waits until a replica has the log point of a read that would otherwise go to a primary under strain.
    async fn wait_for_replicas(&self, lease_request: &LeaseRequest<'_>, wait_deadline: Time, now: Time) {
        let catch_up = {
            let services = self.services.borrow();
            let pool = services.get(lease_request.service);
            pool.filter(|p| p.queue_kind(lease_request.requirement, now) == QueueKind::Primary)
                .and_then(|p| p.replica_catch_up(lease_request.requirement, wait_deadline, now))
        };
        if let Some(at) = catch_up {
            Timer::after(at.saturating_since(now)).await;
        }
    }

    /// Queues a request, unless the estimated wait shows that it would not be answered in time.
    pub(super) fn enqueue(
        &self,
        lease_request: &LeaseRequest<'_>,
        waiter: Waiter<LeaseResult<C>>,
        wait_deadline: Time,
        now: Time,
    ) -> Result<(), PoolError> {
        let mut services = self.services.borrow_mut();
        let pool = services
            .get_mut(lease_request.service)
            .ok_or(PoolError::NoServer)?;
        let queue_kind = pool.queue_kind(lease_request.requirement, now);
        if queue_kind == QueueKind::Primary {
            check_primary_wait(pool, wait_deadline, now)?;
        }
        let class = lease_request.class;
        let pause_until = pool.pause_until(queue_kind, class, now);
        if pause_until >= wait_deadline {
            let pause = pause_until.saturating_since(now);
            return Err(PoolError::Overloaded {
                retry_after: pool.retry_after(queue_kind, class, pause, now),
            });
        }
        let distances = self.distances.borrow();
        let locality = self.locality(distances.as_ref());
        if !pool.may_reach(queue_kind, lease_request.class, &locality, now) {
            self.metrics.on_crossing_refusal(lease_request.service);
            return Err(PoolError::Overloaded {
                retry_after: CROSSING_RETRY,
            });
        }
        let ahead = pool
            .queue(queue_kind)
            .requests_ahead(lease_request.organisation, 1, lease_request.class);
        let turn = pool.paced_turn(queue_kind, class, ahead, now);
        if turn > now && turn + MAX_DISPATCH_DELAY >= wait_deadline {
            self.metrics.on_pace_refusal(lease_request.service);
            let pause = turn.saturating_since(now);
            return Err(PoolError::Overloaded {
                retry_after: pool.retry_after(queue_kind, class, pause, now),
            });
        }
        let connections = pool.connection_capacity(queue_kind, class, now);
        if !pool.queue(queue_kind).is_empty() {
            let admission = pool.admission(queue_kind);
            let retry_after = admission.estimated_wait(ahead, connections, now);
            let in_time = admission
                .admit(ahead, connections, lease_request.deadline, now)
                .is_ok();
            if !in_time || now + retry_after >= wait_deadline {
                return Err(PoolError::Overloaded {
                    retry_after: pool.retry_after(queue_kind, class, retry_after, now),
                });
            }
        }
        let queued = QueuedRequest {
            organisation: Arc::clone(lease_request.organisation),
            weight: 1,
            class: lease_request.class,
            deadline: wait_deadline,
        };
        pool.queue(queue_kind)
            .push(queued, waiter, now)
            .map(drop)
            .map_err(|(_, e)| queue_error(e))
    }

    /// Assigns connections to waiters as long as a server is available.
    pub(super) fn dispatch(self: &Rc<Self>, service: &Arc<str>, now: Time) {
        self.reject_expired(service, now);
        loop {
            let assignment = {
                let mut services = self.services.borrow_mut();
                let Some(pool) = services.get_mut(service) else {
                    return;
                };
                let distances = self.distances.borrow();
                let locality = self.locality(distances.as_ref());
                pool.next_assignment(&locality, now, &mut *self.rng.borrow_mut())
            };
            let Some(assignment) = assignment else {
                return;
            };
            self.serve(service, assignment, now);
        }
    }

    pub(super) fn reject_expired(&self, service: &Arc<str>, now: Time) {
        let mut dropped = Vec::new();
        if let Some(pool) = self.services.borrow_mut().get_mut(service) {
            for queue_kind in [QueueKind::Primary, QueueKind::Reads] {
                dropped.extend(pool.queue(queue_kind).take_dropped(now));
            }
        }
        for (waiter, e) in dropped {
            // The send fails when the waiter was cancelled, which needs no answer.
            drop(waiter.reply.try_send(Err(queue_error(e))));
        }
    }

    /// Rejects the waiters whose class is served again only after their deadline. Called after a refusal, which extends the
    /// pauses.
    pub(super) fn reject_unservable(&self, service: &str, now: Time) {
        let mut rejected = Vec::new();
        if let Some(pool) = self.services.borrow_mut().get_mut(service) {
            for queue_kind in [QueueKind::Primary, QueueKind::Reads] {
                let pauses: Vec<_> = PriorityClass::all()
                    .map(|class| pool.pause_until(queue_kind, class, now))
                    .collect();
                let waiters = pool
                    .queue(queue_kind)
                    .take_unservable(|class| pauses[class.rank()]);
                for (queued, waiter) in waiters {
                    let pause = pauses[queued.class.rank()].saturating_since(now);
                    let retry_after = pool.retry_after(queue_kind, queued.class, pause, now);
                    rejected.push((waiter, retry_after));
                }
            }
        }
        for (waiter, retry_after) in rejected {
            // The send fails when the waiter was cancelled, which needs no answer.
            drop(waiter.reply.try_send(Err(PoolError::Overloaded { retry_after })));
        }
    }

    /// Delivers an idle connection to the waiter, or opens a new one for it in the background.
    pub(super) fn serve(
        self: &Rc<Self>,
        service: &Arc<str>,
        assignment: Assignment<C::Connection, LeaseResult<C>>,
        now: Time,
    ) {
        let Assignment {
            queued,
            waiter,
            server,
            source,
        } = assignment;
        match source {
            ConnectionSource::Idle(idle) => {
                let conn = LeasedConnection::Direct(idle.conn);
                let requester = Requester::from(&queued);
                let lease = self.new_lease(service, &server, requester, conn, idle.connection_state, now);
                deliver_lease(&waiter, lease);
            }
            ConnectionSource::Relay(holder) => {
                self.relay(service, &server, &holder, queued.class, &waiter, now);
            }
            ConnectionSource::Connect => {
                let pool = Rc::clone(self);
                let service = Arc::clone(service);
                let task = async move { pool.connect(service, server, queued, waiter).await };
                self.executor.spawn(task).detach();
            }
        }
    }
}

pub(super) fn deliver_lease<C>(waiter: &Waiter<LeaseResult<C>>, lease: Option<ConnectionLease<C>>)
where
    C: Connector + 'static,
{
    // There is no lease when the server was removed after it was chosen. When the waiter was cancelled, the lease is
    // dropped here, which returns the connection.
    drop(waiter.reply.try_send(lease.ok_or(PoolError::NoServer)));
}

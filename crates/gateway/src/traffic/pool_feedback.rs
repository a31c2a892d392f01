//! What the pool learns from the answers and refusals of backend servers.

use super::connection_lease::ConnectionLease;
use super::pool::Pool;
use super::server_pool::HolderWait;
use super::transaction_wait::TransactionWait;
use crate::sharing::RelayedConnection;
use crate::{Answer, CallerError, Connector, OverloadOrder};
use std::rc::Rc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, PriorityClass, Time};

/// Time after which a refused statement of a transaction that has run others is sent again. A full server of four slots has
/// ended about five statements by then. There is one such try: a second error cannot be told from a repeated one.
const BEGUN_TRANSACTION_DELAY: Duration = Duration::from_millis(40);

impl<C> Pool<C>
where
    C: Connector + 'static,
{
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
        let urgent_tolerance = pool.urgent_tolerance;
        if let Some(server) = pool.servers.get_mut(&lease.server) {
            server.on_point(point);
            let relayed = lease.relayed_connection();
            match relayed {
                Some(conn) => {
                    let expected = conn.expected_wait();
                    server.holder_wait = Some(HolderWait { expected, at: now });
                }
                None => server.last_direct_answer = now,
            }
            // The lease at the holder has recorded the answer if that is this instance.
            let recorded = relayed.is_some_and(RelayedConnection::is_local);
            if answer.failure() != Some(CallerError::Busy) && !recorded {
                let queued = relayed.map_or(Duration::ZERO, RelayedConnection::queued);
                let took = now.saturating_since(sent_at).saturating_sub(queued);
                let mut rng = self.rng.borrow_mut();
                server.on_answer(took, is_statement, now, &mut *rng);
                // A connection holder orders the classes itself.
                let yields = pool.overload_order == OverloadOrder::ByRank && server.relay.is_none();
                if is_statement && yields {
                    let was_strained = server.yielding.is_strained(now);
                    server
                        .yielding
                        .on_answer(lease.class, took, urgent_tolerance, now, &mut *rng);
                    if !was_strained && server.yielding.is_strained(now) {
                        log_strain(lease, "long_wait");
                    }
                }
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
    /// lower its latency again. A connection holder paces the server itself.
    pub(super) fn on_overloaded(&self, lease: &ConnectionLease<C>, now: Time) {
        if lease.relayed {
            return;
        }
        self.metrics.on_server_refusal(&lease.service, lease.class);
        let mut services = self.services.borrow_mut();
        let Some(pool) = services.get_mut(&lease.service) else {
            return;
        };
        let Some(server) = pool.servers.get_mut(&lease.server) else {
            return;
        };
        let mut rng = self.rng.borrow_mut();
        server.latency.on_overloaded();
        server.pace.on_overloaded(now);
        match pool.overload_order {
            OverloadOrder::Shared => server.health.on_overloaded(server.in_use, now, &mut *rng),
            OverloadOrder::ByRank => {
                if !server.yielding.is_strained(now) {
                    log_strain(lease, "refusal");
                }
                server
                    .yielding
                    .on_overloaded(lease.class, server.in_use, now, &mut *rng);
                drop((rng, services));
                self.reject_unservable(&lease.service, now);
            }
        }
    }

    /// Time after which the caller of a statement that the lease's server refused, and that is not tried again, should come
    /// back. `None` where an overload delays all classes alike.
    pub(super) fn retry_after_refusal(&self, lease: &ConnectionLease<C>, now: Time) -> Option<Duration> {
        let mut services = self.services.borrow_mut();
        let pool = services.get_mut(&lease.service)?;
        if pool.overload_order == OverloadOrder::Shared {
            return None;
        }
        let queue_kind = lease.queue_kind();
        let pause = pool
            .pause_until(queue_kind, lease.class, now)
            .saturating_since(now);
        Some(pool.retry_after(queue_kind, lease.class, pause, now))
    }

    /// Counts the first attempt of a statement, which earns a part of a retry.
    pub(super) fn on_first_attempt(&self, service: &str) {
        if let Some(pool) = self.services.borrow_mut().get_mut(service) {
            pool.retries.deposit();
        }
    }

    /// Whether a statement that a server refused may be tried again. When not, its caller is told to come back.
    pub(super) fn may_retry(&self, service: &str, class: PriorityClass) -> bool {
        let mut services = self.services.borrow_mut();
        services
            .get_mut(service)
            .is_some_and(|pool| match pool.overload_order {
                OverloadOrder::Shared => pool.retries.try_withdraw(),
                OverloadOrder::ByRank => pool.retries.try_withdraw_for(class),
            })
    }

    /// Records that the lease's server refused a statement of a transaction, and returns how long the statement waits before
    /// it is sent again. `None` where an overload delays all classes alike.
    ///
    /// The first statement of a transaction waits as new work does. Later ones wait shortly, while new work is held back.
    pub(super) fn wait_in_transaction(
        self: &Rc<Self>,
        lease: &ConnectionLease<C>,
        has_run: bool,
        now: Time,
    ) -> Option<(Duration, Option<TransactionWait<C>>)> {
        {
            let services = self.services.borrow();
            let pool = services.get(&lease.service)?;
            if pool.overload_order == OverloadOrder::Shared {
                return None;
            }
        }
        self.on_overloaded(lease, now);
        if has_run {
            return Some((BEGUN_TRANSACTION_DELAY, Some(TransactionWait::open(lease))));
        }
        let services = self.services.borrow();
        let server = services.get(&lease.service)?.servers.get(&lease.server)?;
        let pause = server.overload_pause_until(lease.class).saturating_since(now);
        Some((pause.max(BEGUN_TRANSACTION_DELAY), None))
    }
}

/// Logs that a server has become strained. At most once in the time for which it counts as strained.
fn log_strain<C>(lease: &ConnectionLease<C>, cause: &'static str)
where
    C: Connector + 'static,
{
    log::info!(
        service:% = lease.service, server:% = lease.server, cause = cause, class = lease.class.rank();
        "backend server under strain; less urgent classes yield"
    );
}

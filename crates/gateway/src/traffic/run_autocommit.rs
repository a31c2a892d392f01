//! Statements outside a transaction, with their retries.

use super::access::ANONYMOUS_ORGANISATION;
use super::backend_statement::BackendStatement;
use super::connection_lease::{ConnectionLease, LeaseError};
use super::not_sent_retries::{NextAttempt, NotSentRetries};
use super::pool_queue::LeaseRequest;
use super::refusal::{
    Refusal, busy_error, given_up_read, lease_error_cause, lease_error_detail, log_unanswered,
    mask_server_error, not_sent_cause, not_sent_refusal, pool_refusal,
};
use super::requirement::{ServerRequirement, required_point};
use super::session::{ANSWER_MARGIN, RETRY_DELAY, Session};
use crate::usage::OperationCount;
use crate::{
    Answer, CallerError, ConnectionError, Connector, Freshness, PreparedStatement, Request, RouteRule,
    TransactionStatus, clock, event_log,
};
use async_io::Timer;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Time};

/// A read that takes this many times the server's smoothed latency is retried on another server.
const READ_TIMEOUT_LATENCY_FACTOR: u32 = 10;
/// Lower bound of the time after which a read is retried on another server.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Upper bound of the exponential backoff between attempts that servers refused without running the statement. After a
/// refusal as overloaded, the pool paces the server instead.
pub(super) const MAX_REFUSED_BACKOFF: Duration = Duration::from_millis(160);
/// Maximum number of retries of a read that ran and failed at a backend server.
const MAX_FAILED_READ_RETRIES: u32 = 2;

impl<C> Session<C>
where
    C: Connector + 'static,
{
    pub(super) async fn run(&mut self, req: &Request, stmt: BackendStatement, now: Time) -> Answer {
        if self.transaction.is_some() {
            return self.run_in_transaction(req, stmt).await;
        }
        let route = match self.route(now) {
            Ok(route) => route,
            Err((error, detail)) => return Answer::error(error, detail, TransactionStatus::Idle),
        };
        if let Err((error, detail)) = self.acquire_rate_token(&route).await {
            return Answer::error(error, detail, TransactionStatus::Idle);
        }
        self.run_autocommit(req, &stmt, &route, now).await
    }

    /// Runs a statement outside a transaction. A write is retried only while no server can have run it; a read is also
    /// retried after it ran, since that has no effect.
    pub(super) async fn run_autocommit(
        &mut self,
        req: &Request,
        stmt: &BackendStatement,
        route: &Arc<RouteRule>,
        received_at: Time,
    ) -> Answer {
        let deadline = received_at + route.timeout.saturating_sub(ANSWER_MARGIN);
        let mut primary_only = stmt.writes;
        let mut read_failures = 0;
        let mut not_sent_retries = NotSentRetries::default();
        let mut backoff = RETRY_DELAY;
        let mut operation = self.new_operation();
        self.cx.pool.on_first_attempt(&route.service);
        loop {
            let requirement = if primary_only {
                ServerRequirement::Primary
            } else {
                self.read_requirement(route, received_at).await
            };
            let (mut lease, at_least) = match self
                .lease_ready_connection(route, requirement, stmt.definition(), deadline)
                .await
            {
                Ok(ready) => ready,
                Err((error, detail)) => return Answer::error(error, detail, TransactionStatus::Idle),
            };
            let result = self
                .send(&mut lease, req, stmt, at_least, deadline, &mut operation)
                .await;
            let now = clock::now();
            let expired = now + RETRY_DELAY >= deadline;
            match result {
                Ok(answer) => match answer.failure() {
                    None if stmt.writes && !lease.is_valid(now) => {
                        return Answer::error(
                            CallerError::InDoubt,
                            "the primary was replaced meanwhile",
                            TransactionStatus::Idle,
                        );
                    }
                    None => {
                        if let Some(point) = at_least {
                            self.cx.pool.on_replica_point(&lease, point, true, now);
                        }
                        if stmt.writes {
                            self.written_point = answer.point.max(self.written_point);
                        }
                        return answer;
                    }
                    Some(error) if expired => return self.final_refusal(answer, error, &lease, now),
                    Some(CallerError::Lagging) => {
                        self.on_retry(req, route, &lease, CallerError::Lagging.name());
                        if let Some(point) = at_least {
                            self.cx.pool.on_replica_point(&lease, point, false, now);
                        }
                        primary_only = self.cx.pool.lagging_read_needs_primary(&route.service, now);
                    }
                    Some(CallerError::UnknownPrepared) => lease.connection_state.prepared.clear(),
                    Some(CallerError::Failed) if !stmt.writes && read_failures < MAX_FAILED_READ_RETRIES => {
                        self.on_retry(req, route, &lease, CallerError::Failed.name());
                        read_failures += 1;
                    }
                    Some(CallerError::TimedOut) if !stmt.writes => {}
                    Some(error) if error.guarantees_not_run() => {
                        if error == CallerError::Busy {
                            self.cx.pool.on_overloaded(&lease, now);
                        }
                        if !self.cx.pool.may_retry(&route.service, route.class) {
                            return self.final_refusal(answer, error, &lease, now);
                        }
                        self.on_retry(req, route, &lease, error.name());
                        drop(lease);
                        if error != CallerError::Busy {
                            if now + backoff >= deadline {
                                return mask_server_error(answer, error);
                            }
                            Timer::after(backoff).await;
                            backoff = (backoff * 2).min(MAX_REFUSED_BACKOFF);
                        }
                    }
                    Some(error) => return mask_server_error(answer, error),
                },
                Err(LeaseError::NotSent(not_sent)) => {
                    let elsewhere = requirement != ServerRequirement::Primary;
                    let next = not_sent_retries.next(not_sent, elsewhere, expired);
                    if next == NextAttempt::Refuse {
                        let (error, detail) = not_sent_refusal(not_sent);
                        return Answer::error(error, detail, TransactionStatus::Idle);
                    }
                    self.on_retry(req, route, &lease, not_sent_cause(not_sent));
                    drop(lease);
                    next.due().await;
                }
                Err(e) if stmt.writes => return unanswered_write(req, &lease, &e),
                Err(e) => match given_up_read(&e, expired) {
                    Some(answer) => return answer,
                    None => self.on_retry(req, route, &lease, lease_error_cause(&e)),
                },
            }
        }
    }

    /// The answer to a statement that a server refused and that is not tried again. Where less urgent classes yield first,
    /// an overload carries the time at which the class is served again.
    fn final_refusal(
        &self,
        answer: Answer,
        error: CallerError,
        lease: &ConnectionLease<C>,
        now: Time,
    ) -> Answer {
        let retry_after = self.cx.pool.retry_after_refusal(lease, now);
        match retry_after.filter(|_| error == CallerError::Busy) {
            Some(retry_after) => {
                let (error, detail) = busy_error("overloaded", retry_after);
                Answer::error(error, detail, TransactionStatus::Idle)
            }
            None => mask_server_error(answer, error),
        }
    }

    /// Sends a statement on a leased connection. A write is sent only to a connection holder that is known to respond.
    async fn send(
        &self,
        lease: &mut ConnectionLease<C>,
        req: &Request,
        stmt: &BackendStatement,
        at_least: Option<LogPoint>,
        deadline: Time,
        operation: &mut OperationCount,
    ) -> Result<Answer, LeaseError> {
        let remaining = || deadline.saturating_since(clock::now());
        let timeout = if stmt.writes {
            lease.reserve(remaining()).await?;
            remaining()
        } else {
            self.read_timeout(lease, remaining())
        };
        lease
            .run_operation(stmt.command(req, at_least), timeout, operation)
            .await
    }

    /// Counts and logs a retry of a statement.
    pub(super) fn on_retry(
        &self,
        req: &Request,
        route: &RouteRule,
        lease: &ConnectionLease<C>,
        cause: &'static str,
    ) {
        self.cx.metrics.on_retry(&route.service, cause);
        event_log::log_retry(&event_log::Retried {
            request: &req.id,
            service: &route.service,
            server: &lease.server,
            primary: lease.epoch.is_some(),
            cause,
        });
    }

    /// The servers on which a read of a route may run. Its freshness is counted back from `started_at`.
    pub(super) async fn read_requirement(&self, route: &RouteRule, started_at: Time) -> ServerRequirement {
        let (age, session_point) = match route.freshness {
            Freshness::Latest => return ServerRequirement::Primary,
            Freshness::Bounded(age) => (age, None),
            Freshness::ReadYourWrites(age) => (age, self.written_point),
        };
        let pool = &self.cx.pool;
        if pool.minimum_read_point(&route.service, age, started_at).is_none() {
            pool.request_positions(&route.service, age).await;
        }
        match pool.minimum_read_point(&route.service, age, started_at) {
            Some(sample) => ServerRequirement::AtLeast(required_point(session_point, sample)),
            None => ServerRequirement::Primary,
        }
    }

    pub(super) async fn acquire(
        &self,
        route: &RouteRule,
        requirement: ServerRequirement,
        deadline: Time,
    ) -> Result<ConnectionLease<C>, Refusal> {
        let lease_request = LeaseRequest {
            service: &route.service,
            organisation: &self.organisation,
            class: route.class,
            requirement,
            values: &self.values,
            deadline,
        };
        self.cx.pool.acquire(&lease_request).await.map_err(pool_refusal)
    }

    /// Leases a connection and sets it up for the session. Also returns the log point that the server must check when
    /// it runs the statement, `None` on the primary. No part of a statement is sent.
    pub(super) async fn lease_ready_connection(
        &self,
        route: &RouteRule,
        requirement: ServerRequirement,
        definition: Option<&PreparedStatement>,
        deadline: Time,
    ) -> Result<(ConnectionLease<C>, Option<LogPoint>), Refusal> {
        loop {
            let mut lease = self.acquire(route, requirement, deadline).await?;
            if let Err(e) = self.prepare_connection(&mut lease, definition).await {
                log::debug!(server:% = lease.server, error:? = e; "connection could not be set up for a session");
                lease.discard();
                continue;
            }
            if requirement == ServerRequirement::Primary && !lease.is_of_current_primary(clock::now()) {
                drop(lease);
                Timer::after(RETRY_DELAY).await;
                continue;
            }
            let at_least = match requirement {
                ServerRequirement::AtLeast(point) if lease.epoch.is_none() => Some(point),
                _ => None,
            };
            return Ok((lease, at_least));
        }
    }

    /// Sets the session values of the connection and prepares the definition on it.
    async fn prepare_connection(
        &self,
        lease: &mut ConnectionLease<C>,
        definition: Option<&PreparedStatement>,
    ) -> Result<(), LeaseError> {
        lease.check_idle().await?;
        lease.apply_session_values(&self.values).await?;
        match definition {
            Some(definition) => lease.prepare(definition).await,
            None => Ok(()),
        }
    }

    /// Time after which a read is retried on another server, at most `remaining`.
    pub(super) fn read_timeout(&self, lease: &ConnectionLease<C>, remaining: Duration) -> Duration {
        if lease.relayed {
            // The time at the server is limited by its holder, in whose queue the read waits first.
            return remaining;
        }
        read_timeout(self.cx.pool.latency(lease), remaining)
    }

    pub(super) async fn acquire_rate_token(&self, route: &RouteRule) -> Result<(), Refusal> {
        if &*self.organisation == ANONYMOUS_ORGANISATION {
            return Ok(());
        }
        self.cx
            .rate_limiter
            .acquire_token(&self.organisation, route)
            .await
            .map_err(|retry_after| {
                let detail = format!("above the rate; retry after {} ms", retry_after.as_millis());
                (CallerError::TooMany, detail.into())
            })
    }
}

/// The answer to a write that was sent and has no answer.
fn unanswered_write<C>(req: &Request, lease: &ConnectionLease<C>, e: &LeaseError) -> Answer
where
    C: Connector + 'static,
{
    log_unanswered(req, lease, e);
    let error = match e {
        LeaseError::Connection(ConnectionError::Timeout) => CallerError::TimedOut,
        _ => CallerError::InDoubt,
    };
    Answer::error(error, lease_error_detail(e), TransactionStatus::Idle)
}

/// Time after which a read is retried, at a server with this smoothed latency and with `remaining` left.
pub(super) fn read_timeout(latency: Duration, remaining: Duration) -> Duration {
    remaining.min((latency * READ_TIMEOUT_LATENCY_FACTOR).max(MIN_READ_TIMEOUT))
}

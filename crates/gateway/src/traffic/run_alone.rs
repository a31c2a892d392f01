//! Statements outside a transaction.

use super::lease::{Lease, LeaseError};
use super::pool_queue::Ask;
use super::refusal::{ANONYMOUS, Refusal, log_unanswered, lost_cause, lost_detail, refusal, relay};
use super::requirement::{Need, required_point};
use super::session::{ANSWER_MARGIN, RETRY_PAUSE, Session};
use super::work::Work;
use crate::{
    Answer, CallerError, ConnectionError, Connector, Freshness, Phase, PreparedStatement, Request, RouteRule,
    clock, event_log,
};
use async_io::Timer;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Time};

/// A read that takes this many times the usual latency is tried on another server.
const SLOW_READ_FACTOR: u32 = 10;
/// Shortest time after which a read is tried on another server.
const MIN_READ_WAIT: Duration = Duration::from_millis(300);
/// Longest pause between runs that a server was too busy for; the pause doubles up to it.
const MAX_BUSY_PAUSE: Duration = Duration::from_millis(160);
/// Runs of one read that may fail at backend servers.
const MAX_FAILED_READS: u32 = 2;

impl<C> Session<C>
where
    C: Connector + 'static,
{
    pub(super) async fn run(&mut self, req: &Request, work: Work, now: Time) -> Answer {
        if self.transaction.is_some() {
            return self.run_in_transaction(req, work).await;
        }
        let route = match self.route() {
            Ok(route) => route,
            Err((error, detail)) => return Answer::error(error, detail, Phase::Idle),
        };
        if let Err((error, detail)) = self.take_rate(&route).await {
            return Answer::error(error, detail, Phase::Idle);
        }
        self.run_alone(req, &work, &route, now).await
    }

    /// Runs a statement outside a transaction. Tries again as long as nothing has run, and reads also after a run.
    pub(super) async fn run_alone(
        &mut self,
        req: &Request,
        work: &Work,
        route: &Arc<RouteRule>,
        asked: Time,
    ) -> Answer {
        let deadline = asked + route.timeout.saturating_sub(ANSWER_MARGIN);
        let mut only_primary = work.writes;
        let mut failed_reads = 0;
        let mut pause = RETRY_PAUSE;
        loop {
            let need = if only_primary {
                Need::Primary
            } else {
                self.need(route, asked)
            };
            let definition = work.execute.as_ref().map(|(definition, _)| definition);
            let (mut lease, at_least) = match self.place(route, need, definition, deadline).await {
                Ok(placed) => placed,
                Err((error, detail)) => return Answer::error(error, detail, Phase::Idle),
            };
            let now = clock::now();
            let left = deadline.saturating_since(now);
            let timeout = if work.writes {
                left
            } else {
                self.read_wait(&lease, left)
            };
            let result = lease.run(work.command(req, at_least), timeout).await;
            let now = clock::now();
            let expired = now + RETRY_PAUSE >= deadline;
            match result {
                Ok(answer) => match answer.failure() {
                    None if work.writes && !lease.in_force(now) => {
                        return Answer::error(
                            CallerError::InDoubt,
                            "the primary was replaced meanwhile",
                            Phase::Idle,
                        );
                    }
                    None => {
                        if let Some(point) = at_least {
                            self.cx.pool.on_replica_point(&lease, point, true, now);
                        }
                        if work.writes {
                            self.written = answer.point.max(self.written);
                        }
                        return answer;
                    }
                    Some(error) if expired => return relay(answer, error),
                    Some(CallerError::Lagging) => {
                        self.on_retry(req, route, &lease, CallerError::Lagging.name());
                        if let Some(point) = at_least {
                            self.cx.pool.on_replica_point(&lease, point, false, now);
                        }
                        only_primary = self.cx.pool.primary_is_usable(&route.service, now);
                    }
                    Some(CallerError::UnknownPrepared) => lease.profile.prepared.clear(),
                    Some(CallerError::Failed) if !work.writes && failed_reads < MAX_FAILED_READS => {
                        self.on_retry(req, route, &lease, CallerError::Failed.name());
                        failed_reads += 1;
                    }
                    Some(CallerError::TimedOut) if !work.writes => {}
                    Some(error) if error.guarantees_not_run() => {
                        self.on_retry(req, route, &lease, error.name());
                        if error == CallerError::Busy {
                            self.cx.pool.on_busy(&lease);
                        }
                        drop(lease);
                        if now + pause >= deadline {
                            return relay(answer, error);
                        }
                        Timer::after(pause).await;
                        pause = (pause * 2).min(MAX_BUSY_PAUSE);
                    }
                    Some(error) => return relay(answer, error),
                },
                Err(e) if work.writes => {
                    log_unanswered(req, &lease, &e);
                    let error = match e {
                        LeaseError::Connection(ConnectionError::Timeout) => CallerError::TimedOut,
                        _ => CallerError::InDoubt,
                    };
                    return Answer::error(error, lost_detail(&e), Phase::Idle);
                }
                Err(e) if expired => {
                    return Answer::error(CallerError::TimedOut, lost_detail(&e), Phase::Idle);
                }
                Err(e) => self.on_retry(req, route, &lease, lost_cause(&e)),
            }
        }
    }

    /// Counts and logs that a statement is tried again.
    pub(super) fn on_retry(&self, req: &Request, route: &RouteRule, lease: &Lease<C>, cause: &'static str) {
        self.cx.metrics.on_retry(&route.service, cause);
        event_log::log_retry(&event_log::Retried {
            request: &req.id,
            service: &route.service,
            server: &lease.server,
            primary: lease.epoch.is_some(),
            cause,
        });
    }

    /// Where a read of a route that started at `began` may run.
    pub(super) fn need(&self, route: &RouteRule, began: Time) -> Need {
        let (age, own) = match route.freshness {
            Freshness::Latest => return Need::Primary,
            Freshness::Bounded(age) => (age, None),
            Freshness::ReadYourWrites(age) => (age, self.written),
        };
        match self.cx.pool.point_for(&route.service, age, began) {
            Some(sample) => Need::Holding(required_point(own, sample)),
            None => Need::Primary,
        }
    }

    pub(super) async fn acquire(
        &self,
        route: &RouteRule,
        need: Need,
        deadline: Time,
    ) -> Result<Lease<C>, Refusal> {
        let ask = Ask {
            service: &route.service,
            organisation: &self.organisation,
            class: route.class,
            need,
            values: &self.values,
            deadline,
        };
        self.cx.pool.acquire(&ask).await.map_err(refusal)
    }

    /// Leases a connection that is ready for the session, with the log point that its server has to be asked for.
    /// Nothing of a statement is sent.
    pub(super) async fn place(
        &self,
        route: &RouteRule,
        need: Need,
        definition: Option<&PreparedStatement>,
        deadline: Time,
    ) -> Result<(Lease<C>, Option<LogPoint>), Refusal> {
        loop {
            let mut lease = self.acquire(route, need, deadline).await?;
            if let Err(e) = self.make_ready(&mut lease, definition).await {
                log::debug!(server:% = lease.server, error:? = e; "connection not usable");
                lease.discard();
                continue;
            }
            if need == Need::Primary && !lease.leads(clock::now()) {
                drop(lease);
                Timer::after(RETRY_PAUSE).await;
                continue;
            }
            let at_least = match need {
                Need::Holding(point) if lease.epoch.is_none() => Some(point),
                _ => None,
            };
            return Ok((lease, at_least));
        }
    }

    /// Brings a connection into the state that the session needs.
    async fn make_ready(
        &self,
        lease: &mut Lease<C>,
        definition: Option<&PreparedStatement>,
    ) -> Result<(), LeaseError> {
        if !lease.is_quiet() {
            return Err(LeaseError::Connection(ConnectionError::Closed));
        }
        lease.adjust(&self.values).await?;
        match definition {
            Some(definition) => lease.prepare(definition).await,
            None => Ok(()),
        }
    }

    /// Longest wait for a read at a server before another one is tried.
    pub(super) fn read_wait(&self, lease: &Lease<C>, left: Duration) -> Duration {
        left.min((self.cx.pool.latency(lease) * SLOW_READ_FACTOR).max(MIN_READ_WAIT))
    }

    pub(super) async fn take_rate(&self, route: &RouteRule) -> Result<(), Refusal> {
        if &*self.organisation == ANONYMOUS {
            return Ok(());
        }
        self.cx
            .gate
            .pass(&self.organisation, route)
            .await
            .map_err(|retry_after| {
                let detail = format!("above the rate; retry after {} ms", retry_after.as_millis());
                (CallerError::TooMany, detail.into())
            })
    }
}

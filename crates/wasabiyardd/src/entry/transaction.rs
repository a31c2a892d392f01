//! Runs one transaction of a caller at the home of its database: admission, routing and retries.

use super::backend;
use super::home_stream::HomeStream;
use super::outcome::{Completed, Failure, UnsentRequest};
use super::relay::RelayOutcome;
use super::request::Request;
use super::session::{LostBlock, ResolvedRoute, Session, SessionEnd, WaitConditions, WakeEvent};
use crate::clock;
use crate::counters::{self, Counter};
use crate::rates::TokenAttempt;
use crate::snapshot::{AdmissionState, Snapshot};
use async_io::Timer;
use futures_lite::future;
use pgwire::messages::response::TransactionStatus;
use std::time::Duration;
use wasabiyard_model::{Access, LogPoint, NotRun, ReadConsistency, Time};
use wasabiyard_schedule::Backoff;
use wasabiyard_wire::{OpenStream, ReadBound, StreamId};

/// Largest request that may be retried, in bytes.
const MAX_RETRIED_REQUEST_BYTES: usize = 64 * 1024;

/// Longest wait for rate limit tokens. When load moves to an instance that holds few units of the quota, its requests
/// for units reach the peers that hold them within a few tries of 100 to 800 ms.
const MAX_RATE_WAIT: Duration = Duration::from_secs(1);
/// Interval at which a waiting request tries again to take a token.
const RATE_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// A failed attempt at a request outside a transaction block.
struct FailedAttempt {
    failure: Failure,
    /// Whether any part of the response was passed on to the caller, which rules out a retry.
    forwarded: bool,
    /// Whether the last message passed on is complete, so that an error can follow it.
    between_messages: bool,
}

impl Session {
    /// Runs a request outside a transaction block, and the block that it may open. Retries where that is safe.
    pub(super) async fn run_transaction(&mut self, request: Request) -> Result<(), SessionEnd> {
        let mut deadline = None;
        let mut backoff = Backoff::default();
        let mut attempt = 0;
        self.retries.deposit();
        loop {
            let failed_attempt = match self.attempt(&request, attempt, &mut deadline).await? {
                Ok(()) => return Ok(()),
                Err(failed_attempt) => failed_attempt,
            };
            let wait = backoff.next_delay(&mut rand::rng());
            if !self.may_retry(&request, &failed_attempt, deadline, wait) {
                return self.report_failure(&request, &failed_attempt).await;
            }
            counters::add(Counter::Retries, 1);
            attempt += 1;
            self.wait_before_retry(clock::now() + wait).await?;
        }
    }

    /// Makes one attempt at a request. The first one that is admitted sets `deadline`. The outer error ends the
    /// session.
    async fn attempt(
        &mut self,
        request: &Request,
        attempt: u32,
        deadline: &mut Option<Time>,
    ) -> Result<Result<(), FailedAttempt>, SessionEnd> {
        let unsent = UnsentRequest::new();
        let refused_before_sending = |failure| {
            Ok(Err(FailedAttempt {
                failure,
                forwarded: false,
                between_messages: true,
            }))
        };
        let snapshot = self.entry.snapshots.load();
        let resolved = match self.admit(&snapshot, request, attempt).await {
            Ok(resolved) => resolved,
            Err(reason) => return refused_before_sending(unsent.refuse(reason)),
        };
        let timeout = snapshot.manifest.routes[resolved.route].timeout;
        let request_deadline = *deadline.get_or_insert_with(|| clock::now() + timeout);
        let mut home_stream = match self.open_home_stream(&snapshot, resolved, attempt, request_deadline) {
            Ok(home_stream) => home_stream,
            Err(reason) => return refused_before_sending(unsent.refuse(reason)),
        };
        drop(snapshot);
        let relayed = self
            .relay(&mut home_stream, request, request_deadline, unsent.send())
            .await?;
        match relayed {
            RelayOutcome::Completed(completed) => {
                self.complete(&home_stream, completed);
                Ok(Ok(()))
            }
            RelayOutcome::Open(status) => {
                backend::ready_for_query(&mut self.io.output, status);
                self.continue_block(home_stream, timeout, status).await.map(Ok)
            }
            RelayOutcome::Failed(failure) => {
                self.cancel.target().set(None);
                Ok(Err(FailedAttempt {
                    failure,
                    forwarded: home_stream.response.forwarded(),
                    between_messages: home_stream.response.is_between_messages(),
                }))
            }
        }
    }

    /// Checks whether a request may run now, and takes its rate limit tokens at the first attempt.
    async fn admit(
        &mut self,
        snapshot: &Snapshot,
        request: &Request,
        attempt: u32,
    ) -> Result<ResolvedRoute, NotRun> {
        match snapshot.admission {
            // Sessions end between transactions; a request that was in flight when the drain began still runs.
            AdmissionState::Open | AdmissionState::OutOfService | AdmissionState::Draining => {}
            AdmissionState::NotReady | AdmissionState::CutOff => return Err(NotRun::StaleConfiguration),
        }
        let resolved = self.resolve(snapshot)?;
        if attempt == 0 {
            self.acquire_rate_tokens(request).await?;
        }
        Ok(resolved)
    }

    /// Takes the rate limit tokens of a request, and waits up to [`MAX_RATE_WAIT`] for them. An instance that has just
    /// started, or whose load has grown, holds too few and gets more from its peers within a few hundred milliseconds.
    /// Without the wait it refused requests of organisations that were within their rate.
    pub(super) async fn acquire_rate_tokens(&self, request: &Request) -> Result<(), NotRun> {
        let organisation = self.identity.organisation();
        if organisation.is_empty() {
            return Ok(());
        }
        let wait_deadline = clock::now() + MAX_RATE_WAIT;
        for _ in 0..request.statement_count.max(1) {
            self.acquire_rate_token(organisation, wait_deadline).await?;
        }
        counters::add(Counter::Statements, u64::from(request.statement_count.max(1)));
        Ok(())
    }

    async fn acquire_rate_token(&self, organisation: &str, wait_deadline: Time) -> Result<(), NotRun> {
        let mut attempt = TokenAttempt::First;
        loop {
            let now = clock::now();
            match (self.entry.take_token)(organisation, attempt, now) {
                Ok(()) => return Ok(()),
                Err(reason) if now >= wait_deadline => {
                    counters::add(Counter::RateRefused, 1);
                    return Err(reason);
                }
                Err(_) => Timer::after(RATE_RETRY_INTERVAL).await,
            };
            attempt = TokenAttempt::Retry;
        }
    }

    /// Resolves the route and the database. The result is cached until the manifest or a variable changes.
    fn resolve(&mut self, snapshot: &Snapshot) -> Result<ResolvedRoute, NotRun> {
        if let Some(resolved) = self.resolved
            && resolved.version == snapshot.manifest_version
        {
            return Ok(resolved);
        }
        let manifest = &snapshot.manifest;
        let service = manifest.service(&self.service).ok_or(NotRun::NotAllowed)?;
        let name = self.route.as_deref().ok_or(NotRun::UnknownRoute)?;
        let route = manifest.route(service, name).ok_or(NotRun::UnknownRoute)?;
        let allowed = manifest.routes[route].allows_anonymous
            || manifest
                .organisation(self.identity.organisation())
                .is_some_and(|org| manifest.may_use(org, service));
        if !allowed {
            return Err(NotRun::NotAllowed);
        }
        let resolved = ResolvedRoute {
            version: snapshot.manifest_version,
            route,
            database: manifest.database_for_shard(service, self.shard.as_deref()),
        };
        self.resolved = Some(resolved);
        Ok(resolved)
    }

    fn open_home_stream(
        &self,
        snapshot: &Snapshot,
        resolved: ResolvedRoute,
        attempt: u32,
        deadline: Time,
    ) -> Result<HomeStream, NotRun> {
        let remaining_millis = deadline.saturating_since(clock::now()).as_millis() as u32;
        if remaining_millis == 0 {
            return Err(NotRun::Deadline);
        }
        let database = &snapshot.manifest.databases[resolved.database].name;
        let route = &snapshot.manifest.routes[resolved.route];
        let home = snapshot.homes.get(database).ok_or(NotRun::NoHome)?;
        let bound = match (route.access, route.read_consistency) {
            (Access::Write, _) => ReadBound::Primary,
            (Access::Read, ReadConsistency::BoundedStaleness(age)) => {
                ReadBound::AgeMillis(age.as_millis() as u64)
            }
            (Access::Read, ReadConsistency::ReadYourWrites) => self.read_your_writes_bound(database),
        };
        let id = StreamId {
            request: self.entry.next_request_number(),
            attempt,
        };
        let open = OpenStream {
            database: database.clone(),
            organisation: self.identity.organisation().to_owned(),
            route: route.name.clone(),
            manifest_version: snapshot.manifest_version,
            bound,
            deadline_millis: remaining_millis,
        };
        let home_stream = self.entry.open_stream(home, id, open)?;
        let running = (home_stream.id, home_stream.stream_endpoint.tx.clone());
        self.cancel.target().set(Some(running));
        Ok(home_stream)
    }

    /// The bound that makes a read see the session's own writes. A token that the caller supplied covers all of them,
    /// so a database that it does not name has none. Without such a token the caller may have written through another
    /// connection, and only the primary is sure to have those writes.
    fn read_your_writes_bound(&self, database: &str) -> ReadBound {
        match self.token.point(database) {
            Some(point) => ReadBound::AtLeast(point),
            None if self.token_from_caller => ReadBound::AtLeast(LogPoint::default()),
            None => ReadBound::Primary,
        }
    }

    /// Ends a completed transaction: reports the advanced session token after a write, then `ReadyForQuery`.
    pub(super) fn complete(&mut self, home_stream: &HomeStream, completed: Completed) {
        self.cancel.target().set(None);
        counters::add(Counter::Transactions, 1);
        if completed.from_replica {
            counters::add(Counter::TransactionsFromReplica, 1);
        }
        if let Some(commit) = completed.commit {
            self.token.advance(&home_stream.database, commit);
            // Sent before `ReadyForQuery`, so that a caller has the token once it considers the write done.
            let text = self.token_text();
            backend::parameter_status(&mut self.io.output, "wasabiyard.session", &text);
        }
        backend::ready_for_query(&mut self.io.output, TransactionStatus::Idle);
    }

    /// Whether a failed request may be retried after `wait`. The deadline must leave time, no part of a response may
    /// have reached the caller, the retry budget must allow it, and the request must not have run or its route be
    /// idempotent.
    fn may_retry(
        &mut self,
        request: &Request,
        failed_attempt: &FailedAttempt,
        deadline: Option<Time>,
        wait: Duration,
    ) -> bool {
        let has_time = deadline.is_none_or(|deadline| clock::now() + wait < deadline);
        let is_resendable = request.synced && request.size_bytes() <= MAX_RETRIED_REQUEST_BYTES;
        let allowed = failed_attempt.failure.is_transient_refusal()
            || (failed_attempt.failure.not_run().is_none() && self.is_idempotent());
        has_time && is_resendable && allowed && !failed_attempt.forwarded && self.retries.try_withdraw()
    }

    fn is_idempotent(&self) -> bool {
        let snapshot = self.entry.snapshots.load();
        self.resolved.is_some_and(|resolved| {
            resolved.version == snapshot.manifest_version
                && snapshot.manifest.routes[resolved.route].idempotent
        })
    }

    /// Whether the caller sent more without waiting for the response.
    async fn has_pipelined_input(&mut self) -> bool {
        if self.io.input.is_empty() {
            // The next read reports an error or the end of the connection again.
            drop(future::poll_once(self.io.receive()).await);
        }
        !self.io.input.is_empty()
    }

    /// Waits until `retry_at`. The error means that the caller is gone.
    async fn wait_before_retry(&mut self, retry_at: Time) -> Result<(), SessionEnd> {
        loop {
            let wait = WaitConditions {
                read: self.may_read_ahead(),
                deadline: Some(retry_at),
                ..WaitConditions::default()
            };
            match self.wait(wait).await? {
                WakeEvent::Deadline => return Ok(()),
                WakeEvent::SnapshotChanged => self.snapshot_changes = self.entry.drain_notifier.subscribe(),
                WakeEvent::Home(_) | WakeEvent::HomeGone | WakeEvent::Input => {}
            }
        }
    }

    /// Reports a failed request outside a block to the caller.
    async fn report_failure(
        &mut self,
        request: &Request,
        failed_attempt: &FailedAttempt,
    ) -> Result<(), SessionEnd> {
        count_failure(failed_attempt.failure);
        if !failed_attempt.between_messages {
            // An error in the middle of a message would be read as its data, so the connection is closed instead.
            return Err(SessionEnd::Closed);
        }
        let failure = failed_attempt.failure;
        if request.begins_block && self.has_pipelined_input().await {
            // The caller assumes that the block began. The statements that it sent next must not run one by one.
            self.lost_block = Some(LostBlock { unreported: None });
        }
        self.finish_with_error(request, failure.sqlstate(), &failure.message());
        Ok(())
    }
}

/// Counts a failed request as not run or as one of unknown outcome.
pub(super) fn count_failure(failure: Failure) {
    let counter = if failure.not_run().is_some() {
        Counter::NotRun
    } else {
        Counter::OutcomeUnknown
    };
    counters::add(counter, 1);
}

//! Carries one transaction of a caller to the home of its database.

use super::backend;
use super::home_stream::HomeStream;
use super::outcome::{Completed, Failure, Unsent};
use super::relay::RelayOutcome;
use super::request::Request;
use super::session::{LostBlock, ResolvedRoute, Session, SessionEnd, WaitConditions, WakeEvent};
use crate::clock;
use crate::counters::{self, Counter};
use crate::rates::Try;
use crate::snapshot::{Admission, Snapshot};
use async_io::Timer;
use futures_lite::future;
use pgwire::messages::response::TransactionStatus;
use std::time::Duration;
use wasabiyard_model::{Access, LogPoint, NotRun, ReadConsistency, Time};
use wasabiyard_schedule::Backoff;
use wasabiyard_wire::{OpenStream, ReadBound, StreamId};

/// Largest request that is kept to be sent again.
const MAX_RETRIED_REQUEST_BYTES: usize = 64 * 1024;

/// Longest wait for tokens of a rate. When load arrives at an instance that held few units, its asks reach the peers that
/// hold them within some tries of 100 to 800 ms.
const MAX_RATE_WAIT: Duration = Duration::from_secs(1);
/// Pause between two looks at the tokens.
const RATE_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// How the rest of a stream went, for a failure outside a block.
struct FailedAttempt {
    failure: Failure,
    forwarded: bool,
    between_messages: bool,
}

impl Session {
    /// Runs a request that is not in a transaction block, and the block that it may open.
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

    /// One attempt at a request. The outer error ends the session.
    async fn attempt(
        &mut self,
        request: &Request,
        attempt: u32,
        deadline: &mut Option<Time>,
    ) -> Result<Result<(), FailedAttempt>, SessionEnd> {
        let unsent = Unsent::new();
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

    /// Checks whether a request may run now.
    async fn admit(
        &mut self,
        snapshot: &Snapshot,
        request: &Request,
        attempt: u32,
    ) -> Result<ResolvedRoute, NotRun> {
        match snapshot.admission {
            // Callers are ended at the boundary; a request that was on its way still runs.
            Admission::Open | Admission::OutOfService | Admission::Draining => {}
            Admission::NotReady | Admission::CutOff => return Err(NotRun::StaleConfiguration),
        }
        let resolved = self.resolve(snapshot)?;
        if attempt == 0 {
            self.acquire_rate_tokens(request).await?;
        }
        Ok(resolved)
    }

    /// Takes the tokens of a request. Waits a short time for them: an instance that started a moment ago, or whose
    /// callers became more, holds too few and gets them from its peers within some hundred milliseconds. Without the
    /// wait it refused requests of organisations that were inside their rate.
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
        let mut attempt = Try::First;
        loop {
            let now = clock::now();
            match (self.entry.rate_limiter)(organisation, attempt, now) {
                Ok(()) => return Ok(()),
                Err(reason) if now >= wait_deadline => {
                    counters::add(Counter::RateRefused, 1);
                    return Err(reason);
                }
                Err(_) => Timer::after(RATE_RETRY_INTERVAL).await,
            };
            attempt = Try::Again;
        }
    }

    /// The route and the database, looked up once for each manifest and set of variables.
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
        let running = (home_stream.id, home_stream.stream_end.tx.clone());
        self.cancel.target().set(Some(running));
        Ok(home_stream)
    }

    /// What a read must have seen of the session's own writes. A token that the caller gave holds all of them, so a
    /// database that it does not name has none. Without one the caller may have written through another connection,
    /// and only the primary is sure to have that.
    fn read_your_writes_bound(&self, database: &str) -> ReadBound {
        match self.token.point(database) {
            Some(point) => ReadBound::AtLeast(point),
            None if self.token_from_caller => ReadBound::AtLeast(LogPoint::default()),
            None => ReadBound::Primary,
        }
    }

    /// Tells the caller that the stream is complete, with the token that now holds its commit.
    pub(super) fn complete(&mut self, home_stream: &HomeStream, completed: Completed) {
        self.cancel.target().set(None);
        counters::add(Counter::Transactions, 1);
        if completed.from_replica {
            counters::add(Counter::TransactionsFromReplica, 1);
        }
        if let Some(commit) = completed.commit {
            self.token.advance(&home_stream.database, commit);
            // Before `ReadyForQuery`, so that a caller that takes the write for done has the token.
            let text = self.token_text();
            backend::parameter_status(&mut self.io.output, "wasabiyard.session", &text);
        }
        backend::ready_for_query(&mut self.io.output, TransactionStatus::Idle);
    }

    /// Whether a failed request may be sent again, and would still have time after `wait`.
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

    /// Whether the caller sent more without waiting for the answer.
    async fn has_pipelined_input(&mut self) -> bool {
        if self.io.input.is_empty() {
            // The end of the connection is seen by the next read as well.
            drop(future::poll_once(self.io.receive()).await);
        }
        !self.io.input.is_empty()
    }

    /// Waits before another attempt; ends when the caller is gone.
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

    /// Tells the caller that a request outside a block failed.
    async fn report_failure(
        &mut self,
        request: &Request,
        failed_attempt: &FailedAttempt,
    ) -> Result<(), SessionEnd> {
        count_failure(failed_attempt.failure);
        if !failed_attempt.between_messages {
            // An error in the middle of a message could not be told apart from data.
            return Err(SessionEnd::Closed);
        }
        let failure = failed_attempt.failure;
        if request.begins_block && self.has_pipelined_input().await {
            // The caller took the block for begun. Its further statements must not run one by one.
            self.lost_block = Some(LostBlock { unreported: None });
        }
        self.finish_with_error(request, failure.sqlstate(), &failure.message());
        Ok(())
    }
}

/// Counts a failed request.
pub(super) fn count_failure(failure: Failure) {
    let counter = if failure.not_run().is_some() {
        Counter::NotRun
    } else {
        Counter::OutcomeUnknown
    };
    counters::add(counter, 1);
}

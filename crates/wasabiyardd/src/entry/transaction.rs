//! Carries one transaction of a caller to the home of its database.

use super::backend;
use super::exchange::Exchange;
use super::outcome::{Completed, Failure, Unsent};
use super::relay::Relayed;
use super::request::Request;
use super::session::{End, Event, LostBlock, Resolved, Session, Wait};
use crate::clock;
use crate::counters::{self, Counter};
use crate::rates::Attempt;
use crate::snapshot::{Admission, Snapshot};
use async_io::Timer;
use futures_lite::future;
use pgwire::messages::response::TransactionStatus;
use std::time::Duration;
use wasabiyard_model::{Access, LogPoint, NotRun, ReadConsistency, Time};
use wasabiyard_schedule::Backoff;
use wasabiyard_wire::{OpenStream, ReadBound, StreamId};

/// Largest request that is kept to be sent again.
const MAX_REPEATED_BYTES: usize = 64 * 1024;

/// Longest wait for tokens of a rate. When load arrives at an instance that held few units, its asks reach the peers that
/// hold them within some tries of 100 to 800 ms.
const RATE_PATIENCE: Duration = Duration::from_secs(1);
/// Pause between two looks at the tokens.
const RATE_RETRY: Duration = Duration::from_millis(10);

/// How the rest of a stream went, for a failure outside a block.
struct Attempted {
    failure: Failure,
    forwarded: bool,
    whole_messages: bool,
}

impl Session {
    /// Runs a request that is not in a transaction block, and the block that it may open.
    pub(super) async fn transact(&mut self, request: Request) -> Result<(), End> {
        let mut deadline = None;
        let mut backoff = Backoff::default();
        let mut attempt = 0;
        self.retries.deposit();
        loop {
            let attempted = match self.attempt(&request, attempt, &mut deadline).await? {
                Ok(()) => return Ok(()),
                Err(attempted) => attempted,
            };
            let wait = backoff.next_delay(&mut rand::rng());
            if !self.may_repeat(&request, &attempted, deadline, wait) {
                return self.report(&request, &attempted).await;
            }
            counters::add(Counter::Retries, 1);
            attempt += 1;
            self.pause(clock::now() + wait).await?;
        }
    }

    /// One attempt at a request. The outer error ends the session.
    async fn attempt(
        &mut self,
        request: &Request,
        attempt: u32,
        deadline: &mut Option<Time>,
    ) -> Result<Result<(), Attempted>, End> {
        let unsent = Unsent::new();
        let refused = |failure| {
            Ok(Err(Attempted {
                failure,
                forwarded: false,
                whole_messages: true,
            }))
        };
        let snapshot = self.entry.snapshots.load();
        let resolved = match self.admit(&snapshot, request, attempt).await {
            Ok(resolved) => resolved,
            Err(reason) => return refused(unsent.refuse(reason)),
        };
        let timeout = snapshot.manifest.routes[resolved.route].timeout;
        let until = *deadline.get_or_insert_with(|| clock::now() + timeout);
        let mut exchange = match self.open(&snapshot, resolved, attempt, until) {
            Ok(exchange) => exchange,
            Err(reason) => return refused(unsent.refuse(reason)),
        };
        drop(snapshot);
        let relayed = self.relay(&mut exchange, request, until, unsent.send()).await?;
        match relayed {
            Relayed::Completed(completed) => {
                self.complete(&exchange, completed);
                Ok(Ok(()))
            }
            Relayed::Open(status) => {
                backend::ready(&mut self.io.output, status);
                self.continue_block(exchange, timeout, status).await.map(Ok)
            }
            Relayed::Failed(failure) => {
                self.cancel.slot().set(None);
                Ok(Err(Attempted {
                    failure,
                    forwarded: exchange.answer.forwarded(),
                    whole_messages: exchange.answer.is_between_messages(),
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
    ) -> Result<Resolved, NotRun> {
        match snapshot.admission {
            // Callers are ended at the boundary; a request that was on its way still runs.
            Admission::Open | Admission::OutOfService | Admission::Draining => {}
            Admission::NotReady | Admission::CutOff => return Err(NotRun::StaleConfiguration),
        }
        let resolved = self.resolve(snapshot)?;
        if attempt == 0 {
            self.take_rate(request).await?;
        }
        Ok(resolved)
    }

    /// Takes the tokens of a request. Waits a short time for them: an instance that started a moment ago, or whose
    /// callers became more, holds too few and gets them from its peers within some hundred milliseconds. Without the
    /// wait it refused requests of organisations that were inside their rate.
    pub(super) async fn take_rate(&self, request: &Request) -> Result<(), NotRun> {
        let organisation = self.identity.organisation();
        if organisation.is_empty() {
            return Ok(());
        }
        let give_up = clock::now() + RATE_PATIENCE;
        for _ in 0..request.statements.max(1) {
            self.take_token(organisation, give_up).await?;
        }
        counters::add(Counter::Statements, u64::from(request.statements.max(1)));
        Ok(())
    }

    async fn take_token(&self, organisation: &str, give_up: Time) -> Result<(), NotRun> {
        let mut attempt = Attempt::First;
        loop {
            let now = clock::now();
            match (self.entry.take_rate)(organisation, attempt, now) {
                Ok(()) => return Ok(()),
                Err(reason) if now >= give_up => {
                    counters::add(Counter::RateRefused, 1);
                    return Err(reason);
                }
                Err(_) => Timer::after(RATE_RETRY).await,
            };
            attempt = Attempt::Retry;
        }
    }

    /// The route and the database, looked up once for each manifest and set of variables.
    fn resolve(&mut self, snapshot: &Snapshot) -> Result<Resolved, NotRun> {
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
        let resolved = Resolved {
            version: snapshot.manifest_version,
            route,
            database: manifest.database_for_shard(service, self.shard.as_deref()),
        };
        self.resolved = Some(resolved);
        Ok(resolved)
    }

    fn open(
        &self,
        snapshot: &Snapshot,
        resolved: Resolved,
        attempt: u32,
        deadline: Time,
    ) -> Result<Exchange, NotRun> {
        let remaining = deadline.saturating_since(clock::now()).as_millis() as u32;
        if remaining == 0 {
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
            (Access::Read, ReadConsistency::ReadYourWrites) => self.own_writes(database),
        };
        let id = StreamId {
            request: self.entry.next_request(),
            attempt,
        };
        let open = OpenStream {
            database: database.clone(),
            organisation: self.identity.organisation().to_owned(),
            route: route.name.clone(),
            manifest_version: snapshot.manifest_version,
            bound,
            deadline_millis: remaining,
        };
        let exchange = self.entry.open_stream(home, id, open)?;
        let running = (exchange.id, exchange.end.tx.clone());
        self.cancel.slot().set(Some(running));
        Ok(exchange)
    }

    /// What a read must have seen of the session's own writes. A token that the caller gave holds all of them, so a
    /// database that it does not name has none. Without one the caller may have written through another connection,
    /// and only the primary is sure to have that.
    fn own_writes(&self, database: &str) -> ReadBound {
        match self.token.point(database) {
            Some(point) => ReadBound::AtLeast(point),
            None if self.token_given => ReadBound::AtLeast(LogPoint::default()),
            None => ReadBound::Primary,
        }
    }

    /// Tells the caller that the stream is complete, with the token that now holds its commit.
    pub(super) fn complete(&mut self, exchange: &Exchange, completed: Completed) {
        self.cancel.slot().set(None);
        counters::add(Counter::Transactions, 1);
        if completed.from_replica {
            counters::add(Counter::TransactionsFromReplica, 1);
        }
        if let Some(commit) = completed.commit {
            self.token.advance(&exchange.database, commit);
            // Before `ReadyForQuery`, so that a caller that takes the write for done has the token.
            let text = self.token_text();
            backend::parameter(&mut self.io.output, "wasabiyard.session", &text);
        }
        backend::ready(&mut self.io.output, TransactionStatus::Idle);
    }

    /// Whether a failed request may be sent again, and would still have time after `wait`.
    fn may_repeat(
        &mut self,
        request: &Request,
        attempted: &Attempted,
        deadline: Option<Time>,
        wait: Duration,
    ) -> bool {
        let in_time = deadline.is_none_or(|deadline| clock::now() + wait < deadline);
        let whole = request.synced && request.len_bytes() <= MAX_REPEATED_BYTES;
        let allowed = attempted.failure.is_transient_refusal()
            || (attempted.failure.not_run().is_none() && self.is_repeatable());
        in_time && whole && allowed && !attempted.forwarded && self.retries.try_withdraw()
    }

    fn is_repeatable(&self) -> bool {
        let snapshot = self.entry.snapshots.load();
        self.resolved.is_some_and(|resolved| {
            resolved.version == snapshot.manifest_version
                && snapshot.manifest.routes[resolved.route].idempotent
        })
    }

    /// Whether the caller sent more without waiting for the answer.
    async fn sent_more(&mut self) -> bool {
        if self.io.input.is_empty() {
            // The end of the connection is seen by the next read as well.
            drop(future::poll_once(self.io.receive()).await);
        }
        !self.io.input.is_empty()
    }

    /// Waits before another attempt; ends when the caller is gone.
    async fn pause(&mut self, until: Time) -> Result<(), End> {
        loop {
            let wait = Wait {
                read: self.may_read_ahead(),
                deadline: Some(until),
                ..Wait::default()
            };
            match self.wait(wait).await? {
                Event::Deadline => return Ok(()),
                Event::Changed => self.changes = self.entry.boundary.subscribe(),
                Event::Home(_) | Event::HomeGone | Event::Input => {}
            }
        }
    }

    /// Tells the caller that a request outside a block failed.
    async fn report(&mut self, request: &Request, attempted: &Attempted) -> Result<(), End> {
        count_failure(attempted.failure);
        if !attempted.whole_messages {
            // An error in the middle of a message could not be told apart from data.
            return Err(End::Closed);
        }
        let failure = attempted.failure;
        if request.begins && self.sent_more().await {
            // The caller took the block for begun. Its further statements must not run one by one.
            self.lost_block = Some(LostBlock { untold: None });
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

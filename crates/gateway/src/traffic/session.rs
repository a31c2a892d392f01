//! A caller's session: its values, prepared names, last commit and transaction.

use super::access;
use super::backend_statement::BackendStatement;
use super::operation_rate_limiter::OperationRateLimiter;
use super::pool::Pool;
use super::refusal::{Refusal, lease_error_detail};
use super::transaction::Transaction;
use crate::budget::{Claim, Purpose};
use crate::connection_state::SessionValues;
use crate::metrics::{Metrics, StatementKind};
use crate::usage::{OperationCount, UsageCounter};
use crate::{
    Answer, CallerError, Connector, Login, Outcome, PreparedStatement, Request, RouteRule, Statement,
    TransactionStatus, clock, event_log,
};
use async_executor::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Time};

/// Part of the route's timeout that is reserved for the answer's way back to the caller.
pub(super) const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// Delay before a statement that did not run is retried.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of prepared names in one session.
const MAX_PREPARED_NAMES: usize = 1_000;
/// Maximum number of values in one session.
const MAX_SESSION_VALUES: usize = 200;
/// Memory of a name and its value, besides their text.
const STATE_ENTRY_OVERHEAD_BYTES: usize = 128;
const NO_ROOM_FOR_STATE: &str = "no memory for the value or prepared name; retry after 1000 ms";

/// Settings of all sessions of an instance.
#[derive(Debug, Clone, Copy)]
pub struct SessionSettings {
    /// Age of the configuration beyond which callers' keys are no longer accepted, since they may have been withdrawn.
    pub key_lifetime: Duration,
}

/// What all sessions of an instance share.
pub struct SessionContext<C>
where
    C: Connector + 'static,
{
    /// Pool of connections to backend servers.
    pub pool: Rc<Pool<C>>,
    /// Limiter that each operation passes before it runs.
    pub rate_limiter: Rc<OperationRateLimiter>,
    /// Counters and histograms.
    pub metrics: Rc<Metrics>,
    /// Runs tasks that outlive an answer, such as rollbacks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Counts the operations that are sent to backend servers; `None` if no usage reports are required.
    pub usage: Option<Rc<RefCell<UsageCounter>>>,
    /// Settings in force; replaced when the operator's settings are reloaded.
    pub settings: Cell<SessionSettings>,
}

impl<C> std::fmt::Debug for SessionContext<C>
where
    C: Connector + 'static,
{
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SessionContext").finish_non_exhaustive()
    }
}

/// The session of one caller, from its login to its end.
#[derive(Debug)]
pub struct Session<C>
where
    C: Connector + 'static,
{
    pub(super) cx: Rc<SessionContext<C>>,
    pub(super) login: Login,
    /// Service of the route at login, for metrics and logs.
    pub(super) service: Arc<str>,
    /// Organisation of the caller's key, `-` without one.
    pub(super) organisation: Arc<str>,
    /// Values that the caller has set; set on each connection before a statement of the session runs there.
    pub(super) values: Rc<SessionValues>,
    /// Prepared statements by the caller's names for them.
    pub(super) prepared: HashMap<Rc<str>, PreparedStatement>,
    /// Log point that covers all commits of the session, `None` before the first one.
    pub(super) written_point: Option<LogPoint>,
    pub(super) transaction: Option<Transaction<C>>,
    /// Number of requests received.
    requests: u64,
    /// Memory of the values and prepared names.
    state_claim: Claim,
    state_bytes: usize,
}

impl<C> Session<C>
where
    C: Connector + 'static,
{
    /// Opens a session for a login, when the route exists and the key is valid.
    ///
    /// # Errors
    ///
    /// The error answer for the caller.
    pub fn open(cx: Rc<SessionContext<C>>, login: Login) -> Result<Self, Answer> {
        let snapshot = cx.pool.snapshot();
        let now = clock::now();
        let (route, organisation) = access::admit(&snapshot, &login, now).map_err(|(error, detail)| {
            cx.metrics.on_login_refused(error);
            event_log::log_login_refusal(&event_log::LoginRefused {
                database: &login.database,
                error,
                detail: &detail,
                basis: event_log::DecisionBasis::new(&snapshot, "", now),
            });
            Answer::error(error, detail, TransactionStatus::Idle)
        })?;
        Ok(Self {
            cx,
            login,
            service: Arc::clone(&route.service),
            organisation,
            values: Rc::default(),
            prepared: HashMap::new(),
            written_point: None,
            transaction: None,
            requests: 0,
            state_claim: Claim::unlimited(Purpose::SessionState),
            state_bytes: 0,
        })
    }

    /// Claims the memory of values and prepared names from a budget. To be called before the first request.
    pub fn limit_state(&mut self, claim: Claim) {
        self.state_claim = claim;
    }

    /// Claims memory for a name and its value or definition, which replace `replaced` bytes. Returns whether there is
    /// room.
    fn claim_state(&mut self, name: &str, text: &str, replaced: usize) -> bool {
        let bytes = self.state_bytes - replaced + state_entry_bytes(name, text);
        let has_room = self.state_claim.resize(bytes).is_ok();
        if has_room {
            self.state_bytes = bytes;
        }
        has_room
    }

    /// Returns the memory above `bytes`.
    fn shrink_state(&mut self, bytes: usize) {
        self.state_bytes = self.state_bytes.min(bytes);
        let shrunk = self.state_claim.resize(self.state_bytes);
        shrunk.expect("less is always granted");
    }

    /// Whether the session is inside a transaction, and whether that has failed.
    pub const fn transaction_status(&self) -> TransactionStatus {
        match &self.transaction {
            None => TransactionStatus::Idle,
            Some(Transaction::Failed) => TransactionStatus::Failed,
            Some(Transaction::Pending { .. } | Transaction::Open { .. }) => TransactionStatus::InTransaction,
        }
    }

    /// Rolls back a transaction whose caller has been idle for too long. The caller gets the error with its next
    /// statement.
    pub fn on_idle_timeout(&mut self) {
        if self.transaction_status() == TransactionStatus::InTransaction {
            self.drop_transaction();
            self.transaction = Some(Transaction::Failed);
        }
    }

    /// Counts and logs a message of the caller that violates the protocol, which ends the session.
    pub fn on_malformed_message(&self, detail: &'static str) {
        self.cx.metrics.on_malformed_message(&self.service);
        event_log::log_malformed(&event_log::Malformed {
            organisation: &self.organisation,
            database: &self.login.database,
            requests: self.requests,
            detail,
        });
    }

    /// Ends the session and rolls back its transaction.
    pub fn close(mut self) {
        self.drop_transaction();
    }

    /// Runs one request. Records its latency and outcome, and logs an error.
    pub async fn handle(&mut self, req: &Request) -> Answer {
        let started = clock::now();
        self.requests += 1;
        let kind = self.kind(req);
        let answer = self.answer(req, started).await;
        let took = clock::now().saturating_since(started);
        self.cx
            .metrics
            .on_statement(&self.service, kind, answer.failure(), took);
        if let Some(error) = answer.failure() {
            event_log::log_refusal(&event_log::Refused {
                request: &req.id,
                organisation: &self.organisation,
                database: &self.login.database,
                service: &self.service,
                error,
                detail: match &answer.outcome {
                    Outcome::Error { detail, .. } => detail,
                    Outcome::Done { .. } => "",
                },
                took,
                basis: self.decision_basis(clock::now()),
            });
        }
        answer
    }

    /// The count of a new operation. Operations of callers without a key are not counted.
    pub(super) fn new_operation(&self) -> OperationCount {
        let counter = self.cx.usage.as_ref();
        let counter = counter.filter(|_| *self.organisation != *access::ANONYMOUS_ORGANISATION);
        OperationCount::new(counter.cloned(), Arc::clone(&self.organisation))
    }

    /// Versions and ages of the data that a decision at `now` is based on.
    pub(super) fn decision_basis(&self, now: Time) -> event_log::DecisionBasis {
        event_log::DecisionBasis::new(&self.cx.pool.snapshot(), &self.service, now)
    }

    pub(super) fn kind(&self, req: &Request) -> StatementKind {
        let autocommit = self.transaction.is_none();
        match &req.statement {
            Some(Statement::Commit) => StatementKind::Commit,
            Some(Statement::Read) if autocommit => StatementKind::Read,
            Some(Statement::Write) if autocommit => StatementKind::Write,
            Some(Statement::Execute { name, .. }) if autocommit => match self.prepared.get(name) {
                Some(definition) if definition.writes => StatementKind::Write,
                Some(_) => StatementKind::Read,
                None => StatementKind::Local,
            },
            Some(Statement::Read | Statement::Write | Statement::Execute { .. }) => {
                StatementKind::InTransaction
            }
            _ => StatementKind::Local,
        }
    }

    pub(super) async fn answer(&mut self, req: &Request, now: Time) -> Answer {
        let Some(statement) = &req.statement else {
            return self.fail(CallerError::Malformed, "not a statement");
        };
        if self.transaction_status() == TransactionStatus::Failed {
            return self.end_failed_transaction(statement);
        }
        if let Err((error, detail)) = self.authorise(now) {
            return self.fail(error, detail);
        }
        match statement {
            Statement::Begin { read_only } => self.begin(*read_only, now).await,
            Statement::Commit => self.commit(req).await,
            Statement::Rollback => self.roll_back(),
            Statement::Set { name, value } => self.set(name, value).await,
            Statement::Prepare { name, definition } => self.prepare(name, definition),
            Statement::Deallocate { name } => self.deallocate(name),
            Statement::Read => self.run(req, BackendStatement::unprepared(false), now).await,
            Statement::Write => self.run(req, BackendStatement::unprepared(true), now).await,
            Statement::Execute { name, arguments } => match self.prepared.get(name) {
                Some(definition) => {
                    let stmt = BackendStatement {
                        writes: definition.writes,
                        prepared_call: Some((definition.clone(), Rc::clone(arguments))),
                    };
                    self.run(req, stmt, now).await
                }
                None => self.fail(CallerError::UnknownPrepared, "no such prepared name"),
            },
        }
    }

    /// Checks that the key is still valid for the route, by a configuration that is recent enough. A change of the route
    /// applies from the next transaction on.
    pub(super) fn authorise(&self, now: Time) -> Result<(), Refusal> {
        let route = match self.transaction.as_ref().and_then(Transaction::route) {
            Some(route) => Arc::clone(route),
            None => self.route(now)?,
        };
        let key_lifetime = self.cx.settings.get().key_lifetime;
        let snapshot = self.cx.pool.snapshot();
        access::check_key(
            &snapshot,
            &self.login.key,
            &self.organisation,
            &route,
            key_lifetime,
            now,
        )
    }

    pub(super) fn route(&self, now: Time) -> Result<Arc<RouteRule>, Refusal> {
        access::find_route(&self.cx.pool.snapshot(), &self.login.database, now)
    }

    /// Answers with an error of the instance. An open transaction is rolled back and becomes failed.
    pub(super) fn fail<D>(&mut self, error: CallerError, detail: D) -> Answer
    where
        D: Into<Rc<str>>,
    {
        if self.transaction_status() != TransactionStatus::Idle {
            self.drop_transaction();
            self.transaction = Some(Transaction::Failed);
        }
        Answer::error(error, detail, self.transaction_status())
    }

    pub(super) async fn set(&mut self, name: &Rc<str>, value: &Rc<str>) -> Answer {
        if self.values.len() >= MAX_SESSION_VALUES && !self.values.contains_key(name) {
            return self.fail(CallerError::Malformed, "too many session values");
        }
        let replaced = self
            .values
            .get(name)
            .map_or(0, |old| state_entry_bytes(name, old));
        let bytes_before = self.state_bytes;
        if !self.claim_state(name, value, replaced) {
            return self.fail(CallerError::Busy, NO_ROOM_FOR_STATE);
        }
        if let Some(Transaction::Open { lease, .. }) = &mut self.transaction
            && let Err(e) = lease.set(name, value).await
        {
            self.shrink_state(bytes_before);
            return self.fail(CallerError::Aborted, lease_error_detail(&e));
        }
        Rc::make_mut(&mut self.values).insert(Rc::clone(name), Rc::clone(value));
        Answer::local(self.transaction_status())
    }

    pub(super) fn prepare(&mut self, name: &Rc<str>, definition: &PreparedStatement) -> Answer {
        if self.prepared.len() >= MAX_PREPARED_NAMES {
            return self.fail(CallerError::Malformed, "too many prepared names");
        }
        let old = self.prepared.get(name);
        let replaced = old.map_or(0, |old| state_entry_bytes(name, &old.text));
        if !self.claim_state(name, &definition.text, replaced) {
            return self.fail(CallerError::Busy, NO_ROOM_FOR_STATE);
        }
        self.prepared.insert(Rc::clone(name), definition.clone());
        Answer::local(self.transaction_status())
    }

    pub(super) fn deallocate(&mut self, name: &Rc<str>) -> Answer {
        match self.prepared.remove(name) {
            Some(old) => {
                self.shrink_state(self.state_bytes - state_entry_bytes(name, &old.text));
                Answer::local(self.transaction_status())
            }
            None => self.fail(CallerError::UnknownPrepared, "no such prepared name"),
        }
    }
}

/// Memory of a session value or of a prepared name.
const fn state_entry_bytes(name: &str, text: &str) -> usize {
    STATE_ENTRY_OVERHEAD_BYTES + name.len() + text.len()
}

impl<C> Drop for Session<C>
where
    C: Connector + 'static,
{
    fn drop(&mut self) {
        self.drop_transaction();
    }
}

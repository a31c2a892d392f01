//! One caller's session: its values, prepared names, what it has written, and its transaction.

use super::admission_gate::AdmissionGate;
use super::pool::Pool;
use super::refusal::{ANONYMOUS, Refusal, busy, find_route, lost_detail, organisation_of};
use super::transaction::Transaction;
use super::work::Work;
use crate::metrics::{Metrics, StatementKind};
use crate::profile::SessionValues;
use crate::{
    Answer, CallerError, Connector, Login, Outcome, Phase, PreparedStatement, Request, RouteRule, Statement,
    clock, event_log,
};
use async_executor::LocalExecutor;
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Time, Version};

/// Part of a statement's time that is kept for the way back to the caller.
pub(super) const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// Pause before a statement that did not run is tried again.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Prepared names of one session.
const MAX_PREPARED_NAMES: usize = 1_000;
/// Values of one session.
const MAX_VALUES: usize = 200;

/// Settings of sessions.
#[derive(Debug, Clone, Copy)]
pub struct SessionSettings {
    /// Age of the configuration beyond which keys are not trusted any more.
    pub key_lifetime: Duration,
}

/// What sessions share.
pub struct SessionContext<C>
where
    C: Connector + 'static,
{
    /// Connections to backend servers.
    pub pool: Rc<Pool<C>>,
    /// Rates of organisations.
    pub gate: Rc<AdmissionGate>,
    /// Counters and histograms.
    pub metrics: Rc<Metrics>,
    /// Runs what goes on after an answer.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Settings.
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

/// A session.
#[derive(Debug)]
pub struct Session<C>
where
    C: Connector + 'static,
{
    pub(super) cx: Rc<SessionContext<C>>,
    pub(super) login: Login,
    /// Service of the route at login, for metrics.
    pub(super) service: Arc<str>,
    pub(super) organisation: Arc<str>,
    pub(super) values: Rc<SessionValues>,
    pub(super) prepared: HashMap<Rc<str>, PreparedStatement>,
    /// Log point that covers the session's own commits.
    pub(super) written: Option<LogPoint>,
    pub(super) transaction: Option<Transaction<C>>,
}

impl<C> Session<C>
where
    C: Connector + 'static,
{
    /// Opens a session for a login.
    ///
    /// # Errors
    ///
    /// The answer that the caller gets in place of a session.
    pub fn open(cx: Rc<SessionContext<C>>, login: Login) -> Result<Self, Answer> {
        let directory = cx.pool.directory();
        let refuse = |(error, detail): Refusal| Answer::error(error, detail, Phase::Idle);
        let configuration = directory
            .configuration
            .as_ref()
            .ok_or_else(|| refuse(busy("no configuration yet", Duration::from_millis(500))))?;
        let route = find_route(configuration, &login.database).map_err(refuse)?;
        let organisation = organisation_of(configuration, &route, &login.key).map_err(refuse)?;
        Ok(Self {
            cx,
            login,
            service: Arc::clone(&route.service),
            organisation,
            values: Rc::default(),
            prepared: HashMap::new(),
            written: None,
            transaction: None,
        })
    }

    /// Where the session stands.
    pub const fn phase(&self) -> Phase {
        match &self.transaction {
            None => Phase::Idle,
            Some(Transaction::Failed) => Phase::Failed,
            Some(Transaction::Pending { .. } | Transaction::Open { .. }) => Phase::InTransaction,
        }
    }

    /// Ends a transaction whose caller has been idle for too long. The caller learns it with its next statement.
    pub fn on_idle(&mut self) {
        if self.phase() == Phase::InTransaction {
            self.drop_transaction();
            self.transaction = Some(Transaction::Failed);
        }
    }

    /// Releases what the session holds.
    pub fn close(mut self) {
        self.drop_transaction();
    }

    /// Handles one request.
    pub async fn handle(&mut self, req: &Request) -> Answer {
        let started = clock::now();
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
                basis: self.known(clock::now()),
            });
        }
        answer
    }

    pub(super) fn known(&self, now: Time) -> event_log::DecisionBasis {
        let directory = self.cx.pool.directory();
        event_log::DecisionBasis {
            configuration: directory.configuration.as_ref().map_or(Version(0), |c| c.version),
            configuration_age: now.saturating_since(directory.configuration_as_of),
            records_age: now.saturating_since(directory.records_as_of),
            epoch: directory.primaries.get(&self.service).map_or(0, |r| r.epoch),
        }
    }

    pub(super) fn kind(&self, req: &Request) -> StatementKind {
        let alone = self.transaction.is_none();
        match &req.statement {
            Some(Statement::Commit) => StatementKind::Commit,
            Some(Statement::Read) if alone => StatementKind::Read,
            Some(Statement::Write) if alone => StatementKind::Write,
            Some(Statement::Execute { name, .. }) if alone => match self.prepared.get(name) {
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
        if self.phase() == Phase::Failed {
            return self.end_failed(statement);
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
            Statement::Read => self.run(req, Work::plain(false), now).await,
            Statement::Write => self.run(req, Work::plain(true), now).await,
            Statement::Execute { name, arguments } => match self.prepared.get(name) {
                Some(definition) => {
                    let work = Work {
                        writes: definition.writes,
                        execute: Some((definition.clone(), Rc::clone(arguments))),
                    };
                    self.run(req, work, now).await
                }
                None => self.fail(CallerError::UnknownPrepared, "no such prepared name"),
            },
        }
    }

    /// Whether the key is valid now, as far as a configuration that is recent enough tells.
    pub(super) fn authorise(&self, now: Time) -> Result<(), Refusal> {
        let directory = self.cx.pool.directory();
        let Some(configuration) = &directory.configuration else {
            return Err(busy("no configuration yet", Duration::from_millis(500)));
        };
        if let Some(organisation) = configuration.keys.get(&*self.login.key) {
            if organisation.name != self.organisation {
                return Err((
                    CallerError::AuthenticationFailed,
                    "the key belongs to another organisation".into(),
                ));
            }
        } else if &*self.organisation != ANONYMOUS {
            return Err((CallerError::AuthenticationFailed, "the key is not valid".into()));
        }
        if !directory.keys_are_current(self.cx.settings.get().key_lifetime, now) {
            return Err(busy(
                "the configuration is too old to trust keys",
                Duration::from_secs(1),
            ));
        }
        Ok(())
    }

    pub(super) fn route(&self) -> Result<Arc<RouteRule>, Refusal> {
        let directory = self.cx.pool.directory();
        match &directory.configuration {
            Some(configuration) => find_route(configuration, &self.login.database),
            None => Err(busy("no configuration yet", Duration::from_millis(500))),
        }
    }

    /// An error; a transaction fails with it.
    pub(super) fn fail<D>(&mut self, error: CallerError, detail: D) -> Answer
    where
        D: Into<Rc<str>>,
    {
        if self.phase() != Phase::Idle {
            self.drop_transaction();
            self.transaction = Some(Transaction::Failed);
        }
        Answer::error(error, detail, self.phase())
    }

    pub(super) async fn set(&mut self, name: &Rc<str>, value: &Rc<str>) -> Answer {
        if self.values.len() >= MAX_VALUES && !self.values.contains_key(name) {
            return self.fail(CallerError::Malformed, "too many session values");
        }
        if let Some(Transaction::Open { lease, .. }) = &mut self.transaction
            && let Err(e) = lease.set(name, value).await
        {
            return self.fail(CallerError::Aborted, lost_detail(&e));
        }
        Rc::make_mut(&mut self.values).insert(Rc::clone(name), Rc::clone(value));
        Answer::local(self.phase())
    }

    pub(super) fn prepare(&mut self, name: &Rc<str>, definition: &PreparedStatement) -> Answer {
        if self.prepared.len() >= MAX_PREPARED_NAMES {
            return self.fail(CallerError::Malformed, "too many prepared names");
        }
        self.prepared.insert(Rc::clone(name), definition.clone());
        Answer::local(self.phase())
    }

    pub(super) fn deallocate(&mut self, name: &Rc<str>) -> Answer {
        match self.prepared.remove(name) {
            Some(_) => Answer::local(self.phase()),
            None => self.fail(CallerError::UnknownPrepared, "no such prepared name"),
        }
    }
}

impl<C> Drop for Session<C>
where
    C: Connector + 'static,
{
    fn drop(&mut self) {
        self.drop_transaction();
    }
}

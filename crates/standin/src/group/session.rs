//! The protocol loop of a logged-in connection: simple and extended queries.

use super::connection::Connection;
use super::group_state::CancelRegistration;
use super::log::Change;
use super::parser::parse;
use super::prepared::{Portal, PreparedStatement};
use super::reply::{self, FormatCodes, put};
use super::sql_error::SqlError;
use super::statement::Statement;
use super::transaction::{Transaction, TransactionState};
use super::value::Value;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Parse, ParseComplete, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::EmptyQueryResponse;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use wasabiyard_model::LogPoint;

/// Why the handling of a message failed.
#[derive(Debug)]
pub(crate) enum SessionError {
    /// The client gets this error, and the connection stays usable.
    Sql(SqlError),
    /// The connection is lost.
    Io(io::Error),
}

/// A logged-in connection with its settings, its transaction, its prepared statements and its portals.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) conn: Connection,
    pub(crate) cancel: CancelRegistration,
    /// Value of the setting `wasabiyard.organisation`, empty when it is not set.
    pub(crate) organisation: Arc<str>,
    pub(crate) settings: HashMap<String, Value>,
    pub(crate) transaction: Transaction,
    /// Log point of the last commit with changes, which `group_last_commit` returns.
    pub(crate) last_commit: LogPoint,
    pub(crate) prepared: HashMap<String, PreparedStatement>,
    portals: HashMap<String, Portal>,
    /// Set by an error in an extended query: messages are discarded until Sync.
    skip_until_sync: bool,
}

impl Session {
    pub(crate) fn new(conn: Connection, cancel: CancelRegistration) -> Self {
        Self {
            conn,
            cancel,
            organisation: Arc::from(""),
            settings: HashMap::new(),
            transaction: Transaction::new(),
            last_commit: LogPoint::default(),
            prepared: HashMap::new(),
            portals: HashMap::new(),
            skip_until_sync: false,
        }
    }

    /// Handles messages until the client terminates the connection or closes it.
    pub(crate) async fn run(mut self) -> io::Result<()> {
        while let Some(message) = self.conn.next_message().await? {
            match message {
                PgWireFrontendMessage::Terminate(_) => break,
                PgWireFrontendMessage::Query(query) => {
                    self.skip_until_sync = false;
                    let outcome = self.simple_query(&query.query).await;
                    self.send_if_error(outcome)?;
                    reply::ready_for_query(&mut self.conn.output, self.transaction.status());
                }
                PgWireFrontendMessage::Sync(_) => self.sync()?,
                PgWireFrontendMessage::Flush(_) => self.conn.flush().await?,
                _ if self.skip_until_sync => {}
                message => {
                    let outcome = self.extended_query(message).await;
                    self.skip_until_sync = !self.send_if_error(outcome)?;
                }
            }
        }
        Ok(())
    }

    /// Sends the error of a failed message to the client. Returns whether the message succeeded.
    fn send_if_error(&mut self, outcome: Result<(), SessionError>) -> io::Result<bool> {
        match outcome {
            Ok(()) => Ok(true),
            Err(SessionError::Sql(e)) => {
                self.transaction.fail();
                reply::error_response(&mut self.conn.output, "ERROR", &e);
                Ok(false)
            }
            Err(SessionError::Io(e)) => Err(e),
        }
    }

    async fn simple_query(&mut self, sql: &str) -> Result<(), SessionError> {
        let statements = parse(sql)?;
        if statements.is_empty() {
            put(&mut self.conn.output, &EmptyQueryResponse::new());
        }
        let count = statements.len();
        for (i, statement) in statements.iter().enumerate() {
            self.execute(statement, &[], &FormatCodes::default(), true, i + 1 == count)
                .await?;
        }
        Ok(())
    }

    /// Executes one statement and sends its result. With `commit`, set for the last statement of a simple query, an
    /// implicit transaction is committed before `CommandComplete` is sent.
    async fn execute(
        &mut self,
        statement: &Statement,
        params: &[Value],
        format_codes: &FormatCodes,
        describe: bool,
        commit: bool,
    ) -> Result<(), SessionError> {
        let member = self.conn.member();
        member.statements.fetch_add(1, Ordering::Relaxed);
        self.cancel.token.reset();
        if self.transaction.state == TransactionState::Failed && !statement.ends_transaction() {
            return Err(SqlError::TransactionAborted.into());
        }
        self.transaction.start_implicit();
        let columns = statement.columns();
        if describe && let Some(columns) = &columns {
            reply::row_description(&mut self.conn.output, Some(columns), format_codes);
        }
        let tag = self.run_statement(statement, params, format_codes).await?;
        if commit && self.transaction.state == TransactionState::Implicit {
            self.commit()?;
        }
        reply::command_complete(&mut self.conn.output, &tag);
        Ok(())
    }

    /// Handles a message of the extended query protocol.
    async fn extended_query(&mut self, message: PgWireFrontendMessage) -> Result<(), SessionError> {
        match message {
            PgWireFrontendMessage::Parse(message) => self.parse(message)?,
            PgWireFrontendMessage::Bind(message) => self.bind(message)?,
            PgWireFrontendMessage::Describe(message) => self.describe(&message)?,
            PgWireFrontendMessage::Close(message) => self.close(message),
            PgWireFrontendMessage::Execute(message) => {
                let portal = self.portal(message.name.as_deref())?.clone();
                match &portal.statement {
                    None => put(&mut self.conn.output, &EmptyQueryResponse::new()),
                    Some(statement) => {
                        self.execute(statement, &portal.params, &portal.formats, false, false)
                            .await?;
                    }
                }
            }
            other => return Err(SqlError::Protocol(format!("unexpected message {other:?}")).into()),
        }
        Ok(())
    }

    fn parse(&mut self, message: Parse) -> Result<(), SqlError> {
        let prepared = PreparedStatement::parse(&message)?;
        self.prepared.insert(message.name.unwrap_or_default(), prepared);
        put(&mut self.conn.output, &ParseComplete::new());
        Ok(())
    }

    fn bind(&mut self, mut message: Bind) -> Result<(), SqlError> {
        let name = message.portal_name.take().unwrap_or_default();
        let portal = self.statement(message.statement_name.as_deref())?.bind(message)?;
        self.portals.insert(name, portal);
        put(&mut self.conn.output, &BindComplete::new());
        Ok(())
    }

    fn describe(&mut self, message: &Describe) -> Result<(), SqlError> {
        let name = message.name.as_deref();
        if message.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let prepared = self.statement(name)?.clone();
            reply::parameter_description(&mut self.conn.output, &prepared.types);
            let columns = prepared.statement.and_then(|statement| statement.columns());
            reply::row_description(&mut self.conn.output, columns.as_deref(), &FormatCodes::default());
        } else {
            let portal = self.portal(name)?.clone();
            let columns = portal.statement.and_then(|statement| statement.columns());
            reply::row_description(&mut self.conn.output, columns.as_deref(), &portal.formats);
        }
        Ok(())
    }

    fn close(&mut self, message: Close) {
        let name = message.name.unwrap_or_default();
        if message.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.prepared.remove(&name);
        } else {
            self.portals.remove(&name);
        }
        put(&mut self.conn.output, &CloseComplete::new());
    }

    /// Handles Sync: commits an implicit transaction, and discards the portals when no block is open.
    fn sync(&mut self) -> io::Result<()> {
        self.skip_until_sync = false;
        if self.transaction.state == TransactionState::Implicit {
            let outcome = self.commit().map_err(SessionError::Sql);
            self.send_if_error(outcome)?;
        }
        if self.transaction.state == TransactionState::Idle {
            self.portals.clear();
        }
        reply::ready_for_query(&mut self.conn.output, self.transaction.status());
        Ok(())
    }

    /// Ends the transaction and commits its changes, if there are any.
    pub(crate) fn commit(&mut self) -> Result<(), SqlError> {
        let changes: Vec<Change> = self.transaction.end();
        if changes.is_empty() {
            return Ok(());
        }
        let member = self.conn.member();
        let point = member.slot().commit(changes, std::time::Instant::now())?;
        member.changed.notify_all();
        self.conn.group().replication_changed.notify_all();
        self.last_commit = point;
        Ok(())
    }

    fn statement(&self, name: Option<&str>) -> Result<&PreparedStatement, SqlError> {
        let name = name.unwrap_or("");
        self.prepared
            .get(name)
            .ok_or_else(|| SqlError::UndefinedStatement(name.to_owned()))
    }

    fn portal(&self, name: Option<&str>) -> Result<&Portal, SqlError> {
        let name = name.unwrap_or("");
        self.portals
            .get(name)
            .ok_or_else(|| SqlError::UndefinedPortal(name.to_owned()))
    }
}

impl From<SqlError> for SessionError {
    fn from(e: SqlError) -> Self {
        Self::Sql(e)
    }
}

impl From<io::Error> for SessionError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

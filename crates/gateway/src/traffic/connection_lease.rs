//! Exclusive use of a pooled backend connection by one statement or transaction.

use super::ordered_connection::OrderedConnection;
use super::pool::Pool;
use crate::connection_state::{
    ConnectionState, MAX_LEFT_STATE_BYTES, MAX_PREPARED_STATEMENTS, SessionValues,
};
use crate::metrics::StrayCause;
use crate::{
    Answer, CallerError, Command, ConnectionError, Connector, PreparedStatement, TransactionStatus, clock,
    event_log,
};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;

/// Timeout of commands that occupy no execution slot at the backend server: session values, prepared names, rollback.
const SESSION_COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a command has no answer.
#[derive(Debug)]
pub(super) enum LeaseError {
    /// The connection failed, or no answer came in time.
    Connection(ConnectionError),
    /// The lease was revoked: the server must no longer be used as the primary, was removed from the list, or has
    /// restarted.
    Revoked,
}

/// A connection leased from the pool. Dropping the lease returns a connection that is outside a transaction to the
/// pool, and closes one that is inside a transaction.
pub(super) struct ConnectionLease<C>
where
    C: Connector + 'static,
{
    pub(super) pool: Rc<Pool<C>>,
    pub(super) service: Arc<str>,
    pub(super) server: Arc<str>,
    pub(super) organisation: Arc<str>,
    /// Epoch of the primary record when the server was leased as the primary, `None` when it was leased as a replica.
    pub(super) epoch: Option<u64>,
    /// Closed when the lease is revoked; carries no messages.
    pub(super) revoked: Receiver<()>,
    /// `None` while a command runs, and after a failure or [`Self::discard`].
    pub(super) conn: Option<OrderedConnection<C::Connection>>,
    /// Session values and prepared statements that the connection has.
    pub(super) connection_state: ConnectionState,
    /// When the connection was leased, for the measurement of the service time.
    pub(super) started: Time,
    /// Whether the connection is inside a transaction.
    pub(super) in_transaction: bool,
}

impl<C> ConnectionLease<C>
where
    C: Connector + 'static,
{
    /// Runs a command within `timeout`. Without an answer that leaves the connection usable, it is closed.
    pub(super) async fn run(&mut self, cmd: Command<'_>, timeout: Duration) -> Result<Answer, LeaseError> {
        let sent_at = clock::now();
        let in_transaction = self.in_transaction;
        let Some(mut conn) = self.conn.take() else {
            return Err(LeaseError::Connection(ConnectionError::Closed));
        };
        let answer = {
            let run = async {
                let answer = conn.run(cmd, in_transaction).await;
                answer.map_err(LeaseError::Connection)
            };
            let revoked = async {
                // The channel carries no messages; it is closed when the lease is revoked.
                let _closed = self.revoked.recv().await;
                Err(LeaseError::Revoked)
            };
            let expired = async {
                Timer::after(timeout).await;
                Err(LeaseError::Connection(ConnectionError::Timeout))
            };
            revoked.or(run).or(expired).await
        };
        let now = clock::now();
        self.report_strays(StrayCause::Repeated, conn.take_strays(), cmd.request_id());
        match answer {
            Ok(answer) => {
                self.conn = Some(conn);
                self.in_transaction = answer.transaction_status != TransactionStatus::Idle;
                self.pool
                    .on_answer(self, sent_at, &answer, cmd.is_statement(), now);
                Ok(answer)
            }
            Err(e) => {
                match e {
                    // The server has answered, if out of order or with more than there is memory for.
                    LeaseError::Revoked
                    | LeaseError::Connection(ConnectionError::OutOfOrder | ConnectionError::Shed(_)) => {}
                    LeaseError::Connection(_) => {
                        self.pool.on_failure(&self.service, &self.server, sent_at, now);
                    }
                }
                Err(e)
            }
        }
    }

    /// Makes the session values of the connection equal to `values`. Values that `values` lacks can only be removed by
    /// a reset.
    pub(super) async fn apply_session_values(&mut self, values: &SessionValues) -> Result<(), LeaseError> {
        let adjustment = self.connection_state.adjustment(values);
        if adjustment.reset {
            self.run_session_command(Command::Reset).await?;
            self.connection_state = ConnectionState::default();
        }
        for (name, value) in adjustment.set {
            self.set(&name, &value).await?;
        }
        Ok(())
    }

    /// Sets one session value on the connection.
    pub(super) async fn set(&mut self, name: &Rc<str>, value: &Rc<str>) -> Result<(), LeaseError> {
        self.run_session_command(Command::Set { name, value }).await?;
        self.connection_state
            .values
            .insert(Rc::clone(name), Rc::clone(value));
        Ok(())
    }

    /// Prepares a definition on the connection, unless that was done before. When the connection already has
    /// [`MAX_PREPARED_STATEMENTS`], it is reset first, which drops all of them, and the session values are set again.
    pub(super) async fn prepare(&mut self, definition: &PreparedStatement) -> Result<(), LeaseError> {
        if self.connection_state.prepared.contains(definition) {
            return Ok(());
        }
        let prepared = &self.connection_state.prepared;
        let prepared_bytes: usize = prepared.iter().map(|d| d.text.len()).sum();
        if prepared.len() >= MAX_PREPARED_STATEMENTS || prepared_bytes > MAX_LEFT_STATE_BYTES {
            self.run_session_command(Command::Reset).await?;
            let values = std::mem::take(&mut self.connection_state).values;
            for (name, value) in values {
                self.set(&name, &value).await?;
            }
        }
        self.run_session_command(Command::Prepare { definition }).await?;
        self.connection_state.prepared.insert(definition.clone());
        Ok(())
    }

    /// Rolls back the connection's transaction, so that the connection can be reused.
    pub(super) async fn roll_back(mut self) {
        match self.run(Command::Rollback, SESSION_COMMAND_TIMEOUT).await {
            Ok(answer) if answer.transaction_status == TransactionStatus::Idle => {}
            Ok(_) => self.discard(),
            Err(e) => {
                log::debug!(server:% = self.server, error:? = e; "rollback got no answer; the connection is closed");
            }
        }
    }

    /// Closes the connection instead of returning it to the pool.
    pub(super) fn discard(&mut self) {
        self.conn = None;
    }

    /// Whether the lease is of the primary, and of the epoch that is in force at `now`.
    pub(super) fn is_of_current_primary(&self, now: Time) -> bool {
        self.pool.is_lease_of_current_primary(self, now)
    }

    /// Whether answers of the server may still be trusted: the lease is not revoked and, for a primary, the view lease
    /// holds at `now`.
    pub(super) fn is_valid(&self, now: Time) -> bool {
        !self.revoked.is_closed() && (self.epoch.is_none() || self.pool.snapshot().view_lease_holds(now))
    }

    /// Checks that the server has not closed the connection while it was idle, and skips answers that came again.
    pub(super) async fn check_idle(&mut self) -> Result<(), LeaseError> {
        let Some(conn) = &mut self.conn else {
            return Err(LeaseError::Connection(ConnectionError::Closed));
        };
        let expired = async {
            Timer::after(SESSION_COMMAND_TIMEOUT).await;
            Err(ConnectionError::Timeout)
        };
        let result = conn.check_idle().or(expired).await;
        let skipped = conn.take_strays();
        self.report_strays(StrayCause::Unread, skipped, None);
        result.map_err(LeaseError::Connection)
    }

    /// Whether the next error on the connection cannot be the repetition of an earlier one.
    pub(super) fn recognises_repeats(&self) -> bool {
        self.conn
            .as_ref()
            .is_some_and(OrderedConnection::recognises_repeats)
    }

    /// Counts and logs answers that belong to no command. `request` is the statement that was waiting for its answer.
    fn report_strays(&self, cause: StrayCause, count: u32, request: Option<&str>) {
        if count == 0 {
            return;
        }
        self.pool.metrics.on_stray_answers(&self.service, cause, count);
        event_log::log_stray_answers(&event_log::StrayAnswers {
            request: request.unwrap_or("-"),
            service: &self.service,
            server: &self.server,
            cause: cause.name(),
            count,
        });
    }

    async fn run_session_command(&mut self, cmd: Command<'_>) -> Result<(), LeaseError> {
        let answer = self.run(cmd, SESSION_COMMAND_TIMEOUT).await?;
        match answer.failure() {
            None | Some(CallerError::UnknownPrepared) => Ok(()),
            Some(e) => {
                log::debug!(
                    server:% = self.server, error = e.name();
                    "backend server rejected a session command; the connection is closed"
                );
                self.discard();
                Err(LeaseError::Connection(ConnectionError::Unreadable(
                    "session command rejected",
                )))
            }
        }
    }
}

impl<C> Drop for ConnectionLease<C>
where
    C: Connector + 'static,
{
    fn drop(&mut self) {
        let pool = Rc::clone(&self.pool);
        pool.release(self, clock::now());
    }
}

impl<C> fmt::Debug for ConnectionLease<C>
where
    C: Connector + 'static,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionLease")
            .field("server", &self.server)
            .field("epoch", &self.epoch)
            .finish_non_exhaustive()
    }
}

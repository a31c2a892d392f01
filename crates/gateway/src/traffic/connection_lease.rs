//! Exclusive use of a pooled backend connection by one statement or transaction.

use super::leased_connection::LeasedConnection;
use super::pool::Pool;
use super::refusal::lease_error_cause;
use super::region_distances::RoundTripKind;
use super::service_pool::QueueKind;
use crate::connection_state::{
    ConnectionState, MAX_LEFT_STATE_BYTES, MAX_PREPARED_STATEMENTS, SessionValues,
};
use crate::metrics::StrayCause;
use crate::sharing::{NotSent, RelayedConnection};
use crate::usage::OperationCount;
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
use wasabiyard_model::{PriorityClass, Time};

/// Timeout of commands that occupy no execution slot at the backend server: session values, prepared names, rollback.
pub(super) const SESSION_COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a command has no answer.
#[derive(Debug)]
pub(super) enum LeaseError {
    /// The connection failed, or no answer came in time.
    Connection(ConnectionError),
    /// The lease was revoked: the server must no longer be used as the primary, was removed from the list, or has
    /// restarted.
    Revoked,
    /// The connection holder did not send the command to the server.
    NotSent(NotSent),
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
    /// Class of the statement or transaction.
    pub(super) class: PriorityClass,
    /// Epoch of the primary record when the server was leased as the primary, `None` when it was leased as a replica.
    pub(super) epoch: Option<u64>,
    /// Closed when the lease is revoked; carries no messages.
    pub(super) revoked: Receiver<()>,
    /// `None` while a command runs, and after a failure or [`Self::discard`].
    pub(super) conn: Option<LeasedConnection<C::Connection>>,
    /// Whether a connection holder keeps the connection.
    pub(super) relayed: bool,
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
            let run = async { conn.run(cmd, in_transaction, timeout).await };
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
        if self.relayed {
            let result = answer.as_ref().map_or_else(lease_error_cause, |_| "answered");
            self.pool.metrics.on_relayed(&self.service, result);
        }
        match answer {
            Ok(answer) => {
                self.conn = Some(conn);
                self.in_transaction = answer.transaction_status != TransactionStatus::Idle;
                if cmd.takes_no_slot() {
                    let took = now.saturating_since(sent_at);
                    self.pool.on_round_trip(
                        &self.service,
                        &self.server,
                        RoundTripKind::SessionCommand,
                        took,
                        now,
                    );
                }
                self.pool
                    .on_answer(self, sent_at, &answer, cmd.is_statement(), now);
                Ok(answer)
            }
            Err(e) => {
                match e {
                    // The server has answered, if out of order or with more than there is memory for.
                    LeaseError::Revoked
                    | LeaseError::NotSent(_)
                    | LeaseError::Connection(ConnectionError::OutOfOrder | ConnectionError::Shed(_)) => {}
                    // The failure may be that of the holder, which watches the server itself.
                    LeaseError::Connection(_) if self.relayed => {}
                    LeaseError::Connection(_) => {
                        self.pool.on_failure(&self.service, &self.server, sent_at, now);
                    }
                }
                Err(e)
            }
        }
    }

    /// The same for a statement that starts an operation or belongs to one, which is counted unless the server refuses it.
    pub(super) async fn run_operation(
        &mut self,
        cmd: Command<'_>,
        timeout: Duration,
        operation: &mut OperationCount,
    ) -> Result<Answer, LeaseError> {
        operation.on_send(clock::now());
        let result = self.run(cmd, timeout).await;
        let has_run = match &result {
            Ok(answer) => !answer.failure().is_some_and(CallerError::guarantees_not_run),
            Err(LeaseError::NotSent(_)) => false,
            Err(_) => true,
        };
        operation.on_attempt_ended(has_run);
        result
    }

    /// Makes sure that a connection at a holder, with an execution slot, is ready for a write, so that none is sent to a
    /// holder that does not respond. Does nothing for a connection of this instance.
    pub(super) async fn reserve(&mut self, timeout: Duration) -> Result<(), LeaseError> {
        let Some(LeasedConnection::Relayed(conn)) = &mut self.conn else {
            return Ok(());
        };
        let reserve = async { conn.reserve(timeout).await.map_err(LeaseError::from) };
        let revoked = async {
            let _closed = self.revoked.recv().await;
            Err(LeaseError::NotSent(NotSent::NotPrimary))
        };
        let expired = async {
            Timer::after(timeout).await;
            let retry_after = Duration::ZERO;
            Err(LeaseError::NotSent(NotSent::Overloaded { retry_after }))
        };
        let reserved = revoked.or(reserve).or(expired).await;
        if let Err(e) = &reserved {
            self.conn = None;
            self.pool.metrics.on_relayed(&self.service, lease_error_cause(e));
        }
        reserved
    }

    /// The connection at a holder; `None` for one of this instance, and while a command runs.
    pub(super) fn relayed_connection(&self) -> Option<&RelayedConnection> {
        match &self.conn {
            Some(LeasedConnection::Relayed(conn)) => Some(conn),
            _ => None,
        }
    }

    /// Makes the session values of the connection equal to `values`. Values that `values` lacks can only be removed by
    /// a reset.
    pub(super) async fn apply_session_values(&mut self, values: &SessionValues) -> Result<(), LeaseError> {
        if self.conn.as_mut().is_some_and(|c| c.relay_values(values)) {
            return Ok(());
        }
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
        // A connection holder gets the definition with each execution.
        if self.relayed || self.connection_state.prepared.contains(definition) {
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

    /// The queue whose requests the server was leased for.
    pub(super) const fn queue_kind(&self) -> QueueKind {
        if self.epoch.is_some() {
            QueueKind::Primary
        } else {
            QueueKind::Reads
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
            .is_some_and(LeasedConnection::recognises_repeats)
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

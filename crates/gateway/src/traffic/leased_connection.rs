//! The connection of a lease: one of this instance, or one that a connection holder keeps.

use super::connection_lease::LeaseError;
use super::ordered_connection::OrderedConnection;
use crate::sharing::{RelayError, RelayedConnection};
use crate::{Answer, Command, ConnectionError, ServerConnection, SessionValues};
use std::time::Duration;

/// The connection of a lease.
#[derive(Debug)]
pub(super) enum LeasedConnection<C> {
    /// Of this instance.
    Direct(OrderedConnection<C>),
    /// Kept by a holder, which also recognises repeated answers.
    Relayed(Box<RelayedConnection>),
}

impl<C> LeasedConnection<C>
where
    C: ServerConnection,
{
    /// Runs a command, given whether the connection is in a transaction. A holder drops the command after `timeout`.
    pub(super) async fn run(
        &mut self,
        cmd: Command<'_>,
        in_transaction: bool,
        timeout: Duration,
    ) -> Result<Answer, LeaseError> {
        match self {
            Self::Direct(conn) => {
                let answer = conn.run(cmd, in_transaction).await;
                answer.map_err(LeaseError::Connection)
            }
            Self::Relayed(conn) => conn.run(cmd, timeout).await.map_err(LeaseError::from),
        }
    }

    /// Checks that the connection is open, and skips repeated answers. A holder does so itself.
    pub(super) async fn check_idle(&mut self) -> Result<(), ConnectionError> {
        match self {
            Self::Direct(conn) => conn.check_idle().await,
            Self::Relayed(_) => Ok(()),
        }
    }

    /// Number of answers skipped since the last call.
    pub(super) const fn take_strays(&mut self) -> u32 {
        match self {
            Self::Direct(conn) => conn.take_strays(),
            Self::Relayed(_) => 0,
        }
    }

    /// Whether the next answer can be told from a repeated one.
    pub(super) const fn recognises_repeats(&self) -> bool {
        match self {
            Self::Direct(conn) => conn.recognises_repeats(),
            Self::Relayed(conn) => conn.recognises_repeats(),
        }
    }

    /// Leaves the session values to the holder. Returns `false` for a connection of this instance.
    pub(super) fn relay_values(&mut self, values: &SessionValues) -> bool {
        match self {
            Self::Direct(_) => false,
            Self::Relayed(conn) => {
                conn.set_values(values);
                true
            }
        }
    }

    /// The connection, if it is one of this instance.
    pub(super) fn into_direct(self) -> Option<OrderedConnection<C>> {
        match self {
            Self::Direct(conn) => Some(conn),
            Self::Relayed(_) => None,
        }
    }
}

impl From<RelayError> for LeaseError {
    fn from(e: RelayError) -> Self {
        match e {
            RelayError::NotSent(not_sent) => Self::NotSent(not_sent),
            RelayError::Connection(e) => Self::Connection(e),
            RelayError::Revoked => Self::Revoked,
        }
    }
}

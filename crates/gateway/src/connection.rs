//! Interfaces of connections to callers and to backend servers, which a wire protocol implements.

use crate::budget::Account;
use crate::{Answer, PreparedStatement, Request};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use thiserror::Error;
use wasabiyard_model::{LogPoint, Term};

/// Why a connection can no longer be used.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The other end closed it or the network failed.
    #[error("connection lost: {0}")]
    Lost(#[from] std::io::Error),
    /// The other end closed it between two messages.
    #[error("closed by the other end")]
    Closed,
    /// A message violates the protocol.
    #[error("unreadable message: {0}")]
    Unreadable(&'static str),
    /// An answer belongs to no command, so it is unknown which one the next answer belongs to.
    #[error("answer out of order")]
    OutOfOrder,
    /// No message arrived before the deadline.
    #[error("no answer in time")]
    Timeout,
    /// The instance gave it up to keep to its limits.
    #[error("closed to keep to the limits of this instance: {}", .0.name())]
    Shed(ShedCause),
}

/// Which limit a connection was given up for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedCause {
    /// It held more memory with less progress than any other connection when another one needed memory, or was the
    /// longest without a login when another one needed a descriptor.
    LeastProgress,
    /// The memory that it needed was not free, and no other connection could be closed for it.
    Memory,
    /// A message did not arrive completely in time.
    SlowMessage,
    /// An answer was not read in time.
    SlowAnswer,
    /// All descriptors for callers were taken.
    Descriptors,
}

impl ShedCause {
    /// Value of the key `cause` in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::LeastProgress => "least_progress",
            Self::Memory => "memory",
            Self::SlowMessage => "slow_message",
            Self::SlowAnswer => "slow_answer",
            Self::Descriptors => "descriptors",
        }
    }
}

/// Credentials and route in a caller's first message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Login {
    /// Name of a route, sent as the database name.
    pub database: Rc<str>,
    /// API key of the caller's organisation.
    pub key: Rc<str>,
}

/// The connection of one caller.
pub trait CallerLink {
    /// Reads the first message.
    fn login(&mut self) -> impl Future<Output = Result<Login, ConnectionError>>;

    /// Reads the next request; `None` when the caller ended the session.
    fn receive(&mut self) -> impl Future<Output = Result<Option<Request>, ConnectionError>>;

    /// Confirms to the caller that the session is open.
    fn accept_login(&mut self) -> impl Future<Output = Result<(), ConnectionError>>;

    /// Sends the answer to the last request.
    fn send(&mut self, answer: &Answer) -> impl Future<Output = Result<(), ConnectionError>>;

    /// Answers the login with an error and closes the connection.
    fn reject(&mut self, answer: &Answer) -> impl Future<Output = Result<(), ConnectionError>>;

    /// Account that the state of the session is claimed from; `None` where memory is not limited.
    fn account(&self) -> Option<&Rc<Account>> {
        None
    }
}

/// Replication state that a backend server reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerStatus {
    /// Whether it accepts writes.
    pub primary: bool,
    /// Replication term that it has seen last.
    pub term: Term,
    /// Last log point that it has received, whether or not it is applied.
    pub received: LogPoint,
}

/// A command to a backend server.
#[derive(Debug, Clone, Copy)]
pub enum Command<'a> {
    /// Runs a caller's statement under its id. The server refuses it when its log has not reached `at_least`.
    Forward {
        /// The caller's id.
        id: &'a str,
        /// The caller's text.
        text: &'a str,
        /// Log point that the server must have reached.
        at_least: Option<LogPoint>,
    },
    /// Runs a prepared statement under the name that [`Command::Prepare`] gave it on this connection.
    Execute {
        /// The caller's id.
        id: &'a str,
        /// Definition of the prepared statement.
        definition: &'a PreparedStatement,
        /// Arguments, as the caller sent them.
        arguments: &'a str,
        /// Log point that the server must have reached.
        at_least: Option<LogPoint>,
    },
    /// Starts a transaction.
    Begin {
        /// Whether writes are refused in the transaction.
        read_only: bool,
        /// Log point that the server must have reached.
        at_least: Option<LogPoint>,
    },
    /// Commits the transaction under the caller's id.
    Commit {
        /// The caller's id.
        id: &'a str,
        /// The caller's text.
        text: &'a str,
    },
    /// Ends a transaction and drops its writes.
    Rollback,
    /// Sets a session value.
    Set {
        /// Name of the session variable.
        name: &'a str,
        /// New value as text.
        value: &'a str,
    },
    /// Prepares a statement under a name derived from its definition.
    Prepare {
        /// Definition of the prepared statement.
        definition: &'a PreparedStatement,
    },
    /// Drops all session values and prepared statements.
    Reset,
}

impl Command<'_> {
    /// Whether this runs a caller's statement. Other commands may succeed on a server that fails all statements.
    pub const fn is_statement(&self) -> bool {
        matches!(
            self,
            Self::Forward { .. } | Self::Execute { .. } | Self::Commit { .. }
        )
    }

    /// Whether the command occupies no execution slot at the backend server, so that its answer takes a round trip.
    pub const fn takes_no_slot(&self) -> bool {
        matches!(
            self,
            Self::Set { .. } | Self::Reset | Self::Prepare { .. } | Self::Rollback
        )
    }

    /// The caller's id of the statement; `None` for a command of the instance.
    pub const fn request_id(&self) -> Option<&str> {
        match self {
            Self::Forward { id, .. } | Self::Execute { id, .. } | Self::Commit { id, .. } => Some(id),
            _ => None,
        }
    }
}

/// A connection to a backend server.
pub trait ServerConnection {
    /// Runs one command. After an error, or when the future is dropped, the connection must not be used again.
    fn run(&mut self, cmd: Command<'_>) -> impl Future<Output = Result<Answer, ConnectionError>>;

    /// Reads one more answer, with the same rules as `run`; `None` for a message that answers no command.
    fn receive(&mut self) -> impl Future<Output = Result<Option<Answer>, ConnectionError>>;

    /// Queries the replication state; `None` when the server refuses or its response does not contain the state.
    fn status(&mut self) -> impl Future<Output = Result<Option<ServerStatus>, ConnectionError>>;

    /// Demotes a primary of a term lower than `term` to a replica, and returns its state afterwards as `status` does.
    fn demote(&mut self, term: Term) -> impl Future<Output = Result<Option<ServerStatus>, ConnectionError>>;

    /// What has happened on the connection since the last answer was read.
    fn idle_state(&self) -> IdleState;
}

/// State of a connection on which no answer is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleState {
    /// Nothing has arrived.
    Quiet,
    /// Bytes have arrived that belong to no command.
    Unread,
    /// The other end has closed the connection, or it has failed.
    Closed,
}

/// Parameters of a connection attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Service that the server must belong to.
    pub service: Arc<str>,
    /// Organisation whose statements the connection will carry.
    pub organisation: Arc<str>,
    /// Id that the server must have.
    pub server: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Result of an attempt to connect.
#[derive(Debug)]
pub enum ConnectOutcome<C> {
    /// The connection is open. The second field is the server's log point at that time, if it sent one.
    Open(C, Option<LogPoint>),
    /// The server is at its connection limit.
    Full,
    /// Another server now listens at this address.
    WrongServer,
    /// The server refused for another reason.
    Refused,
}

/// Opens connections to backend servers.
pub trait Connector {
    /// Type of the open connections.
    type Connection: ServerConnection;

    /// Makes one attempt to connect.
    fn connect(
        &self,
        target: &Target,
    ) -> impl Future<Output = Result<ConnectOutcome<Self::Connection>, ConnectionError>>;
}

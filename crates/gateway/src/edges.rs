//! The process edges towards callers and backend servers.

use crate::{Answer, Request, Shape};
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
    /// A message cannot be read.
    #[error("unreadable message: {0}")]
    Unreadable(&'static str),
    /// No answer in time.
    #[error("no answer in time")]
    Silent,
}

/// What a caller asks for when it connects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Login {
    /// Name of a route.
    pub database: Rc<str>,
    /// The caller's key.
    pub key: Rc<str>,
}

/// The connection of one caller.
pub trait CallerLink {
    /// Reads the login.
    fn login(&mut self) -> impl Future<Output = Result<Login, ConnectionError>>;

    /// Reads the next request; `None` when the caller ended the session.
    fn receive(&mut self) -> impl Future<Output = Result<Option<Request>, ConnectionError>>;

    /// Tells the caller that the session is open.
    fn welcome(&mut self) -> impl Future<Output = Result<(), ConnectionError>>;

    /// Sends an answer.
    fn send(&mut self, answer: &Answer) -> impl Future<Output = Result<(), ConnectionError>>;

    /// Sends an error in place of the welcome, and closes.
    fn reject(&mut self, answer: &Answer) -> impl Future<Output = Result<(), ConnectionError>>;
}

/// The state of a backend server, as it reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerStatus {
    /// Whether it accepts writes.
    pub primary: bool,
    /// Its term.
    pub term: Term,
    /// Last log point received.
    pub received: LogPoint,
}

/// A command to a backend server.
#[derive(Debug, Clone, Copy)]
pub enum Command<'a> {
    /// Runs a caller's statement under its id. `at_least` makes the server refuse when its log lacks the point.
    Forward {
        /// The caller's id.
        id: &'a str,
        /// The caller's text.
        text: &'a str,
        /// Point that the log must hold.
        at_least: Option<LogPoint>,
    },
    /// Runs a prepared statement under the name that [`Command::Prepare`] gave it on this connection.
    Execute {
        /// The caller's id.
        id: &'a str,
        /// What is run.
        shape: &'a Shape,
        /// Arguments, as the caller sent them.
        arguments: &'a str,
        /// Point that the log must hold.
        at_least: Option<LogPoint>,
    },
    /// Starts a transaction.
    Begin {
        /// Whether it promises not to write.
        read_only: bool,
        /// Point that the log must hold.
        at_least: Option<LogPoint>,
    },
    /// Ends a transaction and drops its writes.
    Rollback,
    /// Sets a session value.
    Set {
        /// Name.
        name: &'a str,
        /// Value.
        value: &'a str,
    },
    /// Prepares a shape under a name derived from it.
    Prepare {
        /// What it stands for.
        shape: &'a Shape,
    },
    /// Drops session values and prepared names.
    Reset,
}

/// A connection to a backend server.
pub trait ServerConnection {
    /// Runs one command. After an error, or when the future is dropped, the connection must not be used again.
    fn run(&mut self, cmd: Command<'_>) -> impl Future<Output = Result<Answer, ConnectionError>>;

    /// Asks for the server's state.
    fn status(&mut self) -> impl Future<Output = Result<Option<ServerStatus>, ConnectionError>>;

    /// Makes a primary of a term lower than `term` a replica.
    fn depose(&mut self, term: Term) -> impl Future<Output = Result<Option<ServerStatus>, ConnectionError>>;

    /// Whether the other end has neither closed the connection nor sent anything unasked.
    fn is_quiet(&self) -> bool;
}

/// Whom to connect to, and for whom.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Service that the server must belong to.
    pub service: Arc<str>,
    /// Organisation that the connection is for.
    pub organisation: Arc<str>,
    /// Id that the server must have.
    pub server: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Result of an attempt to connect.
#[derive(Debug)]
pub enum Connected<C> {
    /// The connection is open. The point is the server's log point at that time.
    Open(C, Option<LogPoint>),
    /// The server has too many connections.
    Full,
    /// Another server answers at this address.
    WrongServer,
    /// The server refused for another reason.
    Refused,
}

/// Opens connections to backend servers.
pub trait Connector {
    /// The connections.
    type Connection: ServerConnection;

    /// Connects.
    fn connect(
        &self,
        target: &Target,
    ) -> impl Future<Output = Result<Connected<Self::Connection>, ConnectionError>>;
}

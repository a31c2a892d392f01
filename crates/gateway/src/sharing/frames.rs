//! The messages on a link between an instance and a connection holder.
//!
//! A lease has one command at a time, and its id is used once on a link, so a response names only the lease. When the
//! link is lost, all its leases end; a response can therefore not reach a later link or a later process.

use crate::{
    Answer, CallerError, Command, ConnectionError, Outcome, PreparedStatement, SessionValues,
    TransactionStatus,
};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, PriorityClass, Time};

/// Number of a lease on its link.
pub type LeaseNumber = u64;

/// When a request was sent and how much time it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// Time of sending, on the clock of the sender.
    #[serde(rename = "s")]
    pub sent: Time,
    /// Time from then until the answer is needed, in microseconds.
    #[serde(rename = "l")]
    pub left_micros: u64,
}

impl Timing {
    /// A request that is sent at `now` and has `left`.
    pub const fn new(now: Time, left: Duration) -> Self {
        Self {
            sent: now,
            left_micros: left.as_micros() as u64,
        }
    }
}

/// What a lease is for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseSpec {
    /// Service of the server.
    #[serde(rename = "n")]
    pub service: Arc<str>,
    /// Id of the server.
    #[serde(rename = "s")]
    pub server: Arc<str>,
    /// Organisation whose connection is used.
    #[serde(rename = "o")]
    pub organisation: Arc<str>,
    /// Priority class of the route.
    #[serde(rename = "c")]
    pub class: PriorityClass,
    /// Epoch of the primary record under which the server is used as the primary, `None` for a replica.
    #[serde(rename = "e")]
    pub epoch: Option<u64>,
    /// Session values that the connection must have.
    #[serde(rename = "v", default, skip_serializing_if = "SessionValues::is_empty")]
    pub values: SessionValues,
}

impl LeaseSpec {
    /// Bytes of the session values.
    pub fn value_bytes(&self) -> usize {
        self.values
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum()
    }
}

/// A command for the backend server, as [`Command`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are those of `Command`")]
pub enum RelayedCommand {
    /// [`Command::Forward`].
    #[serde(rename = "F")]
    Forward {
        #[serde(rename = "i")]
        id: Box<str>,
        #[serde(rename = "t")]
        text: Box<str>,
        #[serde(rename = "p")]
        at_least: Option<LogPoint>,
    },
    /// [`Command::Execute`]. The holder prepares the definition if its connection lacks it.
    #[serde(rename = "E")]
    Execute {
        #[serde(rename = "i")]
        id: Box<str>,
        #[serde(rename = "w")]
        writes: bool,
        #[serde(rename = "t")]
        text: Rc<str>,
        #[serde(rename = "a")]
        arguments: Box<str>,
        #[serde(rename = "p")]
        at_least: Option<LogPoint>,
    },
    /// [`Command::Begin`].
    #[serde(rename = "B")]
    Begin {
        #[serde(rename = "r")]
        read_only: bool,
        #[serde(rename = "p")]
        at_least: Option<LogPoint>,
    },
    /// [`Command::Commit`].
    #[serde(rename = "C")]
    Commit {
        #[serde(rename = "i")]
        id: Box<str>,
        #[serde(rename = "t")]
        text: Box<str>,
    },
    /// [`Command::Rollback`].
    #[serde(rename = "R")]
    Rollback,
    /// [`Command::Set`].
    #[serde(rename = "S")]
    Set {
        #[serde(rename = "n")]
        name: Rc<str>,
        #[serde(rename = "v")]
        value: Rc<str>,
    },
}

impl RelayedCommand {
    /// The relayed form of a command. `None` for commands that only the owner of a connection sends.
    pub fn new(cmd: Command<'_>) -> Option<Self> {
        Some(match cmd {
            Command::Forward { id, text, at_least } => Self::Forward {
                id: id.into(),
                text: text.into(),
                at_least,
            },
            Command::Execute {
                id,
                definition,
                arguments,
                at_least,
            } => Self::Execute {
                id: id.into(),
                writes: definition.writes,
                text: Rc::clone(&definition.text),
                arguments: arguments.into(),
                at_least,
            },
            Command::Begin { read_only, at_least } => Self::Begin { read_only, at_least },
            Command::Commit { id, text } => Self::Commit {
                id: id.into(),
                text: text.into(),
            },
            Command::Rollback => Self::Rollback,
            Command::Set { name, value } => Self::Set {
                name: name.into(),
                value: value.into(),
            },
            Command::Prepare { .. } | Command::Reset => return None,
        })
    }

    /// Definition of the prepared statement that is executed.
    pub fn definition(&self) -> Option<PreparedStatement> {
        match self {
            Self::Execute { writes, text, .. } => Some(PreparedStatement {
                writes: *writes,
                text: Rc::clone(text),
            }),
            _ => None,
        }
    }

    /// The command; `definition` is that of [`Self::definition`].
    pub fn command<'a>(&'a self, definition: Option<&'a PreparedStatement>) -> Command<'a> {
        match self {
            Self::Forward { id, text, at_least } => Command::Forward {
                id,
                text,
                at_least: *at_least,
            },
            Self::Execute {
                id,
                arguments,
                at_least,
                ..
            } => Command::Execute {
                id,
                definition: definition.expect("the definition of the command"),
                arguments,
                at_least: *at_least,
            },
            Self::Begin { read_only, at_least } => Command::Begin {
                read_only: *read_only,
                at_least: *at_least,
            },
            Self::Commit { id, text } => Command::Commit { id, text },
            Self::Rollback => Command::Rollback,
            Self::Set { name, value } => Command::Set { name, value },
        }
    }

    /// Whether the server runs the command in an execution slot.
    pub const fn takes_slot(&self) -> bool {
        matches!(
            self,
            Self::Forward { .. } | Self::Execute { .. } | Self::Commit { .. }
        )
    }
}

/// From an instance to a holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Leases a connection and runs a first command. Without one, the response says that the connection and an
    /// execution slot are reserved.
    #[serde(rename = "o")]
    Open {
        /// Number of the new lease.
        #[serde(rename = "n")]
        lease: LeaseNumber,
        /// Time that it has.
        #[serde(rename = "t")]
        timing: Timing,
        /// What it is for.
        #[serde(rename = "s")]
        spec: LeaseSpec,
        /// The first command. A statement is a read that may be repeated.
        #[serde(rename = "c")]
        command: Option<RelayedCommand>,
    },
    /// Runs a command on a leased connection.
    #[serde(rename = "r")]
    Run {
        /// Number of the lease.
        #[serde(rename = "n")]
        lease: LeaseNumber,
        /// Time that it has.
        #[serde(rename = "t")]
        timing: Timing,
        /// The command.
        #[serde(rename = "c")]
        command: RelayedCommand,
    },
    /// Ends a lease. Its connection is closed if it is in a transaction or runs a command.
    #[serde(rename = "x")]
    Close {
        /// Number of the lease.
        #[serde(rename = "n")]
        lease: LeaseNumber,
    },
}

/// Why a holder did not run a command. Nothing was sent to the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The queue is too long for the time left.
    #[serde(rename = "o")]
    Overloaded {
        /// Time after which a retry may succeed, in milliseconds.
        #[serde(rename = "a")]
        retry_after_ms: u64,
    },
    /// The server is not the primary of this epoch, or must not be used as the primary now.
    #[serde(rename = "p")]
    NotPrimary,
    /// The server is unknown, draining, or in a failure domain out of service.
    #[serde(rename = "n")]
    NotInService,
    /// The holder is about to stop.
    #[serde(rename = "l")]
    Leaving,
    /// No command came for a reservation in time.
    #[serde(rename = "e")]
    ReservationExpired,
    /// The holder cannot reach the server.
    #[serde(rename = "u")]
    ServerUnreachable,
}

/// Why a command has no answer although it was, or may have been, sent to the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// No answer in time.
    #[serde(rename = "t")]
    Timeout,
    /// The answers are out of order.
    #[serde(rename = "o")]
    OutOfOrder,
    /// The connection to the server was lost.
    #[serde(rename = "l")]
    Lost,
    /// The server must no longer be used as the primary.
    #[serde(rename = "r")]
    Revoked,
    /// The answer was given up for lack of memory.
    #[serde(rename = "m")]
    NoMemory,
}

impl Failure {
    /// How an instance that owns the connection would see it.
    pub fn from_error(e: &ConnectionError) -> Self {
        match e {
            ConnectionError::Timeout => Self::Timeout,
            ConnectionError::OutOfOrder => Self::OutOfOrder,
            ConnectionError::Shed(_) => Self::NoMemory,
            ConnectionError::Lost(_) | ConnectionError::Closed | ConnectionError::Unreadable(_) => Self::Lost,
        }
    }
}

/// The answer of a backend server, as [`Answer`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedAnswer {
    /// Result rows.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<Rc<str>>,
    /// Digest, or class and text of the error.
    #[serde(rename = "o")]
    pub outcome: Result<Option<Rc<str>>, (CallerError, Rc<str>)>,
    /// Transaction status after the command. Outside a transaction the lease ends with the answer.
    #[serde(rename = "t")]
    pub transaction_status: TransactionStatus,
    /// Log point of the server.
    #[serde(rename = "p")]
    pub point: Option<LogPoint>,
}

impl From<Answer> for RelayedAnswer {
    fn from(answer: Answer) -> Self {
        Self {
            rows: answer.rows,
            outcome: match answer.outcome {
                Outcome::Done { digest } => Ok(digest),
                Outcome::Error { error, detail } => Err((error, detail)),
            },
            transaction_status: answer.transaction_status,
            point: answer.point,
        }
    }
}

impl From<RelayedAnswer> for Answer {
    fn from(answer: RelayedAnswer) -> Self {
        Self {
            rows: answer.rows,
            outcome: match answer.outcome {
                Ok(digest) => Outcome::Done { digest },
                Err((error, detail)) => Outcome::Error { error, detail },
            },
            transaction_status: answer.transaction_status,
            point: answer.point,
        }
    }
}

/// What a holder reports of the queue with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueReport {
    /// Time that the command waited and took to get a connection, in microseconds.
    #[serde(rename = "q")]
    pub queued_micros: u64,
    /// Expected wait of new work, in microseconds.
    #[serde(rename = "w")]
    pub expected_wait_micros: u64,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// A connection and an execution slot are reserved.
    #[serde(rename = "g")]
    Granted,
    /// The server has answered.
    #[serde(rename = "a")]
    Answered {
        /// Its answer.
        #[serde(rename = "a")]
        answer: RelayedAnswer,
        /// Whether the connection can tell the next answer from a repeated one.
        #[serde(rename = "k")]
        recognises_repeats: bool,
        /// State of the queue.
        #[serde(rename = "q")]
        queue: QueueReport,
    },
    /// Nothing was sent to the server; the lease has ended.
    #[serde(rename = "n")]
    Refused(Refusal),
    /// The lease has ended without an answer.
    #[serde(rename = "f")]
    Failed(Failure),
}

/// From a holder to an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// The response to a request.
    #[serde(rename = "r")]
    Reply {
        /// Number of the lease.
        #[serde(rename = "n")]
        lease: LeaseNumber,
        /// How it ended.
        #[serde(rename = "r")]
        reply: Reply,
        /// Number of requests received on the link so far.
        #[serde(rename = "c")]
        received: u64,
    },
    /// Requests were received whose replies are not ready.
    #[serde(rename = "c")]
    Received {
        /// Number of requests received on the link so far.
        #[serde(rename = "c")]
        received: u64,
    },
    /// The holder is about to stop and grants no more leases.
    #[serde(rename = "l")]
    Leaving,
}

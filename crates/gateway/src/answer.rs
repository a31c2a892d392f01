//! Answers of backend servers and to callers.

use crate::CallerError;
use std::rc::Rc;
use wasabiyard_model::LogPoint;

/// Where a session stands between two statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Phase {
    /// Outside a transaction.
    #[default]
    Idle,
    /// In a transaction.
    InTransaction,
    /// In a transaction that failed and can only be ended.
    Failed,
}

/// How a statement ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded. The digest is the backend server's receipt, `None` for statements that the instance answers itself.
    Done {
        /// Receipt of the backend server.
        digest: Option<Rc<str>>,
    },
    /// It failed.
    Error {
        /// Class of the error.
        error: CallerError,
        /// Text for people, or for the caller's retry.
        detail: Rc<str>,
    },
}

/// The whole answer to one statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Rows, in order.
    pub rows: Vec<Rc<str>>,
    /// How the statement ended.
    pub outcome: Outcome,
    /// Where the session stands afterwards.
    pub phase: Phase,
    /// Log point of the backend server that answered.
    pub point: Option<LogPoint>,
}

impl Answer {
    /// Success of a statement that the instance answers itself.
    pub const fn local(phase: Phase) -> Self {
        Self {
            rows: Vec::new(),
            outcome: Outcome::Done { digest: None },
            phase,
            point: None,
        }
    }

    /// An error that the instance gives itself.
    pub fn error<D>(error: CallerError, detail: D, phase: Phase) -> Self
    where
        D: Into<Rc<str>>,
    {
        Self {
            rows: Vec::new(),
            outcome: Outcome::Error {
                error,
                detail: detail.into(),
            },
            phase,
            point: None,
        }
    }

    /// The class of the error, if it is one.
    pub const fn failure(&self) -> Option<CallerError> {
        match self.outcome {
            Outcome::Done { .. } => None,
            Outcome::Error { error, .. } => Some(error),
        }
    }
}

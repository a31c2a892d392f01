//! Answers that backend servers give and that callers receive.

use crate::CallerError;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use wasabiyard_model::LogPoint;

/// Transaction status of a session between two statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum TransactionStatus {
    /// Outside a transaction.
    #[default]
    Idle,
    /// In an open transaction.
    InTransaction,
    /// In a failed transaction, which accepts only its end.
    Failed,
}

/// How a statement ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The statement succeeded.
    Done {
        /// Digest that the backend server acknowledged the statement with; `None` for statements that the instance
        /// answers itself.
        digest: Option<Rc<str>>,
    },
    /// The statement failed.
    Error {
        /// Class of the error.
        error: CallerError,
        /// Message for people, or instructions for the caller's retry.
        detail: Rc<str>,
    },
}

/// Complete answer to one statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Result rows in the order of the backend server.
    pub rows: Vec<Rc<str>>,
    /// How the statement ended.
    pub outcome: Outcome,
    /// Transaction status after the statement.
    pub transaction_status: TransactionStatus,
    /// Log point that the backend server sent with its answer; `None` when there is none.
    pub point: Option<LogPoint>,
}

impl Answer {
    /// Success of a statement that the instance answers without a backend server.
    pub const fn local(transaction_status: TransactionStatus) -> Self {
        Self {
            rows: Vec::new(),
            outcome: Outcome::Done { digest: None },
            transaction_status,
            point: None,
        }
    }

    /// An error that this instance raises.
    pub fn error<D>(error: CallerError, detail: D, transaction_status: TransactionStatus) -> Self
    where
        D: Into<Rc<str>>,
    {
        Self {
            rows: Vec::new(),
            outcome: Outcome::Error {
                error,
                detail: detail.into(),
            },
            transaction_status,
            point: None,
        }
    }

    /// Class of the error; `None` for a success.
    pub const fn failure(&self) -> Option<CallerError> {
        match self.outcome {
            Outcome::Done { .. } => None,
            Outcome::Error { error, .. } => Some(error),
        }
    }
}

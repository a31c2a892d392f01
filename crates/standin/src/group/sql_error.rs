//! Errors that a client gets, with their SQLSTATE.

use thiserror::Error;

/// Why a slot rejects a statement or a connection. The messages follow those of `PostgreSQL`.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SqlError {
    /// The statement cannot be parsed; holds the offending token.
    #[error("syntax error at or near \"{0}\"")]
    Syntax(String),
    /// No such table.
    #[error("relation \"{0}\" does not exist")]
    UndefinedTable(String),
    /// No such column.
    #[error("column \"{0}\" does not exist")]
    UndefinedColumn(String),
    /// No such function.
    #[error("function {0} does not exist")]
    UndefinedFunction(String),
    /// The statement uses a parameter number without a value.
    #[error("there is no parameter ${0}")]
    UndefinedParameter(usize),
    /// A text or NULL was used as an integer.
    #[error("invalid input syntax for type integer: \"{0}\"")]
    InvalidText(String),
    /// A binary parameter has the wrong length.
    #[error("binary parameter has {found} bytes, expected {expected}")]
    BinaryLength {
        /// Length that the type requires, in bytes.
        expected: usize,
        /// Length received, in bytes.
        found: usize,
    },
    /// A parameter is not UTF-8.
    #[error("invalid byte sequence for encoding \"UTF8\"")]
    NotUtf8,
    /// A write on a slot that is not the primary.
    #[error("cannot execute a write in a read-only transaction: this slot is not the primary")]
    ReadOnly,
    /// An insert into `booking` of a key that exists.
    #[error("duplicate key value violates unique constraint \"booking_slot_key\": {0}")]
    UniqueViolation(String),
    /// An earlier statement of the transaction block failed.
    #[error("current transaction is aborted, commands ignored until end of transaction block")]
    TransactionAborted,
    /// The client cancelled the statement.
    #[error("canceling statement due to user request")]
    Cancelled,
    /// No such prepared statement.
    #[error("prepared statement \"{0}\" does not exist")]
    UndefinedStatement(String),
    /// No such portal.
    #[error("portal \"{0}\" does not exist")]
    UndefinedPortal(String),
    /// The connection limit of the slot is reached.
    #[error("sorry, too many clients already")]
    TooManyConnections,
    /// The user name or the password is wrong.
    #[error("password authentication failed for user \"{0}\"")]
    WrongPassword(String),
    /// A message that the protocol does not allow at this point.
    #[error("protocol violation: {0}")]
    Protocol(String),
}

impl SqlError {
    /// The SQLSTATE that `PostgreSQL` uses for this error.
    pub const fn sqlstate(&self) -> &'static str {
        match self {
            Self::Syntax(_) => "42601",
            Self::UndefinedTable(_) => "42P01",
            Self::UndefinedColumn(_) => "42703",
            Self::UndefinedFunction(_) => "42883",
            Self::UndefinedParameter(_) => "42P02",
            Self::InvalidText(_) => "22P02",
            Self::BinaryLength { .. } => "22P03",
            Self::NotUtf8 => "22021",
            Self::ReadOnly => "25006",
            Self::UniqueViolation(_) => "23505",
            Self::TransactionAborted => "25P02",
            Self::Cancelled => "57014",
            Self::UndefinedStatement(_) => "26000",
            Self::UndefinedPortal(_) => "34000",
            Self::TooManyConnections => "53300",
            Self::WrongPassword(_) => "28P01",
            Self::Protocol(_) => "08P01",
        }
    }
}

//! Client errors.

use std::io;
use std::time::Duration;
use thiserror::Error;

/// Why a login or a query has no result.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The server sent an `ErrorResponse`.
    #[error("{code}: {message}")]
    Sql {
        /// SQLSTATE, such as `WN001`.
        code: String,
        /// Primary message.
        message: String,
        /// Whether the severity is `FATAL`, after which the server closes the connection.
        fatal: bool,
    },
    /// The connection failed, or the server violated the protocol.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The server did not respond in time.
    #[error("no response within {0:?}")]
    Timeout(Duration),
}

impl ClientError {
    /// The SQLSTATE; empty when the server sent no error.
    pub fn code(&self) -> &str {
        match self {
            Self::Sql { code, .. } => code,
            Self::Io(_) | Self::Timeout(_) => "",
        }
    }

    /// Whether the SQLSTATE guarantees that the statement did not run (class `WN`).
    pub fn is_not_run(&self) -> bool {
        self.code().starts_with("WN")
    }

    /// Whether the connection is unusable after this error.
    pub const fn is_fatal(&self) -> bool {
        match self {
            Self::Sql { fatal, .. } => *fatal,
            Self::Io(_) | Self::Timeout(_) => true,
        }
    }
}

//! Errors of requests that may have taken effect.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The request may have run, and its outcome cannot be determined. Only an idempotent request can be retried safely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Error, Serialize, Deserialize)]
pub enum OutcomeUnknown {
    /// The connection to the slot was closed before the response was complete.
    #[error("the connection to the database was lost; the request may have run")]
    ConnectionLost,
    /// The deadline passed after the request was sent.
    #[error("the deadline passed; the request may have run")]
    Deadline,
    /// The primary committed the write, but no majority of the slots confirmed in time that they hold it.
    #[error("the write is not proved on a majority of backend servers; it may be lost or kept")]
    NotReplicated,
    /// The link to the home of the database (see [`crate::NotRun`]) was lost.
    #[error("the link to the home of the database was lost; the request may have run")]
    LinkLost,
    /// The home of the database shut down before the response was complete.
    #[error("the home of the database stopped; the request may have run")]
    HomeStopped,
}

impl OutcomeUnknown {
    /// All variants, for the error table of the operator documentation and for tests.
    pub const ALL: [Self; 5] = [
        Self::ConnectionLost,
        Self::Deadline,
        Self::NotReplicated,
        Self::LinkLost,
        Self::HomeStopped,
    ];

    /// The SQLSTATE of this error, in class `WU`.
    pub const fn sqlstate(self) -> &'static str {
        match self {
            Self::ConnectionLost => "WU001",
            Self::Deadline => "WU002",
            Self::NotReplicated => "WU003",
            Self::LinkLost => "WU004",
            Self::HomeStopped => "WU005",
        }
    }
}

//! Error classes of statements, from backend servers and from instances.

use serde::{Deserialize, Serialize};

/// Class of an error. Those for which [`CallerError::guarantees_no_effect`] holds may be retried safely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CallerError {
    /// Overloaded; the statement did not run.
    Busy,
    /// The transaction was rolled back.
    Aborted,
    /// The backend server has not reached the required log point; the statement did not run.
    Lagging,
    /// The backend server does not accept writes; the statement did not run.
    ReadOnly,
    /// The address belongs to another backend server; the statement did not run.
    WrongServer,
    /// A limit on connections or on an organisation's rate is reached; the statement did not run.
    TooMany,
    /// It is unknown whether a write or commit took effect.
    InDoubt,
    /// No answer in time.
    TimedOut,
    /// The statement ran and failed.
    Failed,
    /// The backend server does not know the prepared name; the statement did not run.
    UnknownPrepared,
    /// The key is not valid.
    AuthenticationFailed,
    /// No route has this name.
    UnknownDatabase,
    /// The message cannot be parsed or is not allowed in this state of the session.
    Malformed,
}

impl CallerError {
    /// Whether the error guarantees that the statement, or its transaction, had no effect.
    pub const fn guarantees_no_effect(self) -> bool {
        matches!(
            self,
            Self::Busy | Self::Aborted | Self::Lagging | Self::ReadOnly | Self::WrongServer | Self::TooMany
        )
    }

    /// Whether a backend server that answers with this error guarantees that it has not run the statement.
    pub const fn guarantees_not_run(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::UnknownPrepared
                | Self::Lagging
                | Self::ReadOnly
                | Self::WrongServer
                | Self::TooMany
        )
    }

    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Aborted => "aborted",
            Self::Lagging => "lagging",
            Self::ReadOnly => "read_only",
            Self::WrongServer => "wrong_server",
            Self::TooMany => "too_many",
            Self::InDoubt => "in_doubt",
            Self::TimedOut => "timed_out",
            Self::Failed => "failed",
            Self::UnknownPrepared => "unknown_prepared",
            Self::AuthenticationFailed => "authentication_failed",
            Self::UnknownDatabase => "unknown_database",
            Self::Malformed => "malformed",
        }
    }
}

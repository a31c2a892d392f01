//! Errors of statements, as backend servers and instances give them.

/// Class of an error. [`CallerError::keeps_nothing`] separates the promises from the rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallerError {
    /// Too much work; the statement did not run.
    Busy,
    /// The transaction was ended and nothing of it is kept.
    Aborted,
    /// The backend server lacks the log point that was asked for; the statement did not run.
    Lagging,
    /// The backend server does not accept writes; the statement did not run.
    ReadOnly,
    /// The address belongs to another backend server; the statement did not run.
    WrongServer,
    /// A limit on connections or on an organisation's rate is reached; the statement did not run.
    TooMany,
    /// It is not known whether a write is kept.
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
    /// The message cannot be read, or is not allowed at this point.
    Malformed,
}

impl CallerError {
    /// Whether the error promises that nothing of the statement, or of its transaction, is kept.
    pub const fn keeps_nothing(self) -> bool {
        matches!(
            self,
            Self::Busy | Self::Aborted | Self::Lagging | Self::ReadOnly | Self::WrongServer | Self::TooMany
        )
    }

    /// Whether a backend server that answers with this error has not run the statement.
    pub const fn not_run(self) -> bool {
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

    /// Name for logs and metrics.
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

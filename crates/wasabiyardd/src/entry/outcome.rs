//! What may be said to a caller about a request that failed.
//!
//! A request is [`Unsent`] until its first byte is handed to a stream, and [`Sent`] from then on. Only [`Unsent`] can be
//! refused here as *not run*; a [`Sent`] request is *not run* only when the home says so. [`Failure`] cannot be made in
//! any other way, so a false *not run* does not compile.

use wasabiyard_model::{LogPoint, NotRun, OutcomeUnknown};
use wasabiyard_wire::StreamOutcome;

/// No byte of the request was handed to a stream.
#[derive(Debug)]
#[must_use]
pub struct Unsent(());

/// Bytes of the request were handed to a stream.
#[derive(Debug)]
#[must_use]
pub struct Sent(());

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure(Cause);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    NotRun(NotRun),
    Unknown(OutcomeUnknown),
}

/// A request whose whole answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completed {
    /// Last commit, when it wrote.
    pub commit: Option<LogPoint>,
    /// Whether a replica served it.
    pub from_replica: bool,
}

impl Default for Unsent {
    fn default() -> Self {
        Self::new()
    }
}

impl Unsent {
    /// The state of a new request.
    pub const fn new() -> Self {
        Self(())
    }

    /// Refuses the request.
    pub const fn refuse(self, reason: NotRun) -> Failure {
        Failure(Cause::NotRun(reason))
    }

    /// From here on bytes may leave.
    pub const fn send(self) -> Sent {
        Sent(())
    }
}

impl Sent {
    /// What the home said.
    ///
    /// # Errors
    ///
    /// When the request did not complete.
    pub const fn into_result(self, outcome: StreamOutcome) -> Result<Completed, Failure> {
        match outcome {
            StreamOutcome::Complete { commit, from_replica } => Ok(Completed { commit, from_replica }),
            StreamOutcome::NotRun(reason) => Err(Failure(Cause::NotRun(reason))),
            StreamOutcome::OutcomeUnknown(reason) => Err(Failure(Cause::Unknown(reason))),
        }
    }

    /// The home said nothing.
    pub const fn unknown(self, reason: OutcomeUnknown) -> Failure {
        Failure(Cause::Unknown(reason))
    }
}

impl Failure {
    /// The reason, when the request did not run.
    pub const fn not_run(self) -> Option<NotRun> {
        match self.0 {
            Cause::NotRun(reason) => Some(reason),
            Cause::Unknown(_) => None,
        }
    }

    /// Whether another attempt may succeed and cannot run the request twice.
    pub const fn is_transient_refusal(self) -> bool {
        match self.0 {
            Cause::NotRun(reason) => matches!(
                reason,
                NotRun::NoHome | NotRun::NoPrimary | NotRun::Draining | NotRun::CannotConnect
            ),
            Cause::Unknown(_) => false,
        }
    }

    /// The SQLSTATE for the caller.
    pub const fn sqlstate(self) -> &'static str {
        match self.0 {
            Cause::NotRun(reason) => reason.sqlstate(),
            Cause::Unknown(reason) => reason.sqlstate(),
        }
    }

    /// The text for the caller.
    pub fn message(self) -> String {
        match self.0 {
            Cause::NotRun(reason) => reason.to_string(),
            Cause::Unknown(reason) => reason.to_string(),
        }
    }
}

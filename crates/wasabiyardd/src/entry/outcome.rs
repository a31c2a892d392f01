//! Outcomes of requests, as types that rule out a false *not run*.
//!
//! A request is an [`UnsentRequest`] until its first byte is handed to a stream, and a [`SentRequest`] from then on.
//! Only an [`UnsentRequest`] can be refused here as *not run*; a [`SentRequest`] is *not run* only when the home reports
//! so. [`Failure`] cannot be constructed in any other way, so code that reports a false *not run* does not compile. The
//! home distinguishes the same two states of its part of a request.

use wasabiyard_model::{LogPoint, NotRun, OutcomeUnknown};
use wasabiyard_wire::StreamOutcome;

/// State of a request of which no byte was handed to a stream.
#[derive(Debug)]
#[must_use]
pub struct UnsentRequest(());

/// State of a request of which bytes may have been handed to a stream.
#[derive(Debug)]
#[must_use]
pub struct SentRequest(());

/// Why a request failed: it did not run, or its outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure(Cause);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    NotRun(NotRun),
    Unknown(OutcomeUnknown),
}

/// What the home reported about a stream that it completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completed {
    /// Log point of the last commit; `None` when nothing was written.
    pub commit: Option<LogPoint>,
    /// Whether a replica served the transaction.
    pub from_replica: bool,
}

impl Default for UnsentRequest {
    fn default() -> Self {
        Self::new()
    }
}

impl UnsentRequest {
    /// The state of a request that was just received.
    pub const fn new() -> Self {
        Self(())
    }

    /// Refuses the request as *not run*.
    pub const fn refuse(self, reason: NotRun) -> Failure {
        Failure(Cause::NotRun(reason))
    }

    /// Marks the request as sent. Must be called before its first byte is handed to a stream.
    pub const fn send(self) -> SentRequest {
        SentRequest(())
    }
}

impl SentRequest {
    /// The result that the home reported.
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

    /// The failure of a request for which the home reported no outcome.
    pub const fn outcome_unknown(self, reason: OutcomeUnknown) -> Failure {
        Failure(Cause::Unknown(reason))
    }
}

impl Failure {
    /// The reason if the request did not run; `None` if its outcome is unknown.
    pub const fn not_run(self) -> Option<NotRun> {
        match self.0 {
            Cause::NotRun(reason) => Some(reason),
            Cause::Unknown(_) => None,
        }
    }

    /// Whether the request did not run and another attempt may succeed, so that a retry is safe and useful.
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

    /// The error message for the caller.
    pub fn message(self) -> String {
        match self.0 {
            Cause::NotRun(reason) => reason.to_string(),
            Cause::Unknown(reason) => reason.to_string(),
        }
    }
}

//! Restricts at compile time which outcome can be reported for a request.
//!
//! [`UnsentRequest`] and [`SentRequest`] are the two states of a request. Only the first can be refused as *not run*,
//! and it is consumed before the first byte is queued for a slot, so code that reports a false *not run* does not
//! compile. The entry has types of the same names for its part, where a request counts as sent once a byte of it is
//! handed to a stream.

use wasabiyard_model::{LogPoint, NotRun, OutcomeUnknown};
use wasabiyard_wire::StreamOutcome;

/// A request of which no byte was queued for a slot.
#[derive(Debug)]
#[must_use]
pub struct UnsentRequest(());

/// A request of which bytes may have reached a slot.
#[derive(Debug)]
#[must_use]
pub struct SentRequest(());

/// Evidence that a request had no effect, so that it can be sent to another slot: a replica, which refuses writes, did
/// not prove the position in time, or a slot refused a write as a replica. Nothing of its answer was forwarded.
#[derive(Debug)]
pub struct NoEffect(pub(super) ());

#[expect(
    clippy::unused_self,
    reason = "consuming the value is what separates the two states"
)]
impl UnsentRequest {
    /// The state of a new stream.
    pub const fn new() -> Self {
        Self(())
    }

    /// Ends the stream as not run.
    pub const fn refuse(self, reason: NotRun) -> StreamOutcome {
        StreamOutcome::NotRun(reason)
    }

    /// Marks the request as sent. From here on, bytes of it may reach a slot.
    pub const fn send(self) -> SentRequest {
        SentRequest(())
    }
}

#[expect(
    clippy::unused_self,
    reason = "consuming the value is what separates the two states"
)]
impl SentRequest {
    /// Ends the stream with an unknown outcome.
    pub const fn outcome_unknown(self, reason: OutcomeUnknown) -> StreamOutcome {
        StreamOutcome::OutcomeUnknown(reason)
    }

    /// Ends the stream after its whole answer was forwarded.
    pub const fn complete(self, commit: Option<LogPoint>, from_replica: bool) -> StreamOutcome {
        StreamOutcome::Complete { commit, from_replica }
    }

    /// Makes the request unsent again, because it had no effect.
    pub const fn into_unsent(self, _: NoEffect) -> UnsentRequest {
        UnsentRequest(())
    }
}

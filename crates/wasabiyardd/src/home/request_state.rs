//! What may be said about a stream that did not complete.
//!
//! [`Unsent`] and [`Sent`] are the two states of a request. Only the first can be refused as *not run*, and it is
//! consumed when the first byte is queued for a slot, so a false *not run* does not compile.

use wasabiyard_model::{LogPoint, NotRun, OutcomeUnknown};
use wasabiyard_wire::StreamOutcome;

/// No byte of the request was queued for a slot.
#[derive(Debug)]
#[must_use]
pub struct UnsentRequest(());

/// Bytes of the request may have reached a slot.
#[derive(Debug)]
#[must_use]
pub struct SentRequest(());

/// A replica did not prove the position or refused a write, and its answer was dropped before anything of it was
/// passed on. Replicas refuse writes, so the request had no effect.
#[derive(Debug)]
pub struct DiscardedRead(pub(super) ());

#[expect(
    clippy::unused_self,
    reason = "taking the value away is what keeps the states apart"
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

    /// From here on bytes may reach a slot.
    pub const fn send(self) -> SentRequest {
        SentRequest(())
    }
}

#[expect(
    clippy::unused_self,
    reason = "taking the value away is what keeps the states apart"
)]
impl SentRequest {
    /// Ends the stream with an unknown outcome.
    pub const fn outcome_unknown(self, reason: OutcomeUnknown) -> StreamOutcome {
        StreamOutcome::OutcomeUnknown(reason)
    }

    /// Ends the stream after its whole answer was passed on.
    pub const fn complete(self, commit: Option<LogPoint>, from_replica: bool) -> StreamOutcome {
        StreamOutcome::Complete { commit, from_replica }
    }

    /// Takes the request back, because the slot proved that it had no effect.
    pub const fn into_unsent(self, _: DiscardedRead) -> UnsentRequest {
        UnsentRequest(())
    }
}

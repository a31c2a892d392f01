//! Messages of a stream, which carries one transaction of one caller between its entry (the instance to which the
//! caller is connected) and the home of the database (the instance that holds the connections to it).

use serde::{Deserialize, Serialize};
use wasabiyard_model::{LogPoint, NotRun, OutcomeUnknown};

/// Flow control window of a new stream: the bytes that each side may send before it receives credit.
pub const INITIAL_CREDIT_BYTES: u32 = 64 * 1024;
/// Maximum payload of one [`StreamMessage::Data`].
pub const MAX_DATA_BYTES: usize = 16 * 1024;

/// Identifies a stream on a link. The entry never reuses an identifier on the same link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId {
    /// Number of the request, assigned by the entry.
    pub request: u64,
    /// Number of the attempt: 0 for the first, higher for each retry. The highest bit is set on streams that the
    /// acceptor of the link opened, so that the two sides never choose the same identifier.
    pub attempt: u32,
}

/// Freshness that the data of a read must have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadBound {
    /// Only the primary may serve the transaction: it writes, or the session's position in the log is not known.
    Primary,
    /// Any slot that has applied the log up to this point.
    AtLeast(LogPoint),
    /// Any slot whose data is at most this old, in milliseconds.
    AgeMillis(u64),
}

/// The parameters of a new stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenStream {
    /// Name of the database.
    pub database: String,
    /// Name of the organisation; empty for a caller without a key on an open route.
    pub organisation: String,
    /// Name of the route.
    pub route: String,
    /// Version of the manifest with which the entry admitted the request.
    pub manifest_version: u64,
    /// Freshness that a read requires; [`ReadBound::Primary`] for a write.
    pub bound: ReadBound,
    /// Time left for each request of the stream, in milliseconds.
    pub deadline_millis: u32,
}

/// The result with which a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOutcome {
    /// The transaction ended and its whole response was sent.
    Complete {
        /// Log point of the commit; `None` when the transaction wrote nothing.
        commit: Option<LogPoint>,
        /// Whether a replica served the transaction.
        from_replica: bool,
    },
    /// The request certainly did not run, so it may be retried.
    NotRun(NotRun),
    /// The request may have run, so it must not be retried blindly.
    OutcomeUnknown(OutcomeUnknown),
}

/// A message that belongs to a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamMessage {
    /// Entry to home: opens a stream.
    Open(StreamId, OpenStream),
    /// Both directions: raw `PostgreSQL` protocol bytes (frontend messages to the home, backend messages to the entry).
    Data(StreamId, #[serde(with = "serde_bytes")] Vec<u8>),
    /// Both directions: flow control credit for this number of consumed bytes, which the other side may send in addition.
    Credit(StreamId, u32),
    /// Home to entry: ends the stream.
    End(StreamId, StreamOutcome),
    /// Entry to home: cancels the running statement at the caller's request.
    Cancel(StreamId),
    /// Entry to home: the caller disconnected, and the home closes the slot connection.
    Abandon(StreamId),
}

impl StreamMessage {
    /// Identifier of the stream to which this message belongs.
    pub const fn id(&self) -> StreamId {
        match self {
            Self::Open(id, _)
            | Self::Data(id, _)
            | Self::Credit(id, _)
            | Self::End(id, _)
            | Self::Cancel(id)
            | Self::Abandon(id) => *id,
        }
    }
}

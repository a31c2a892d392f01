//! Messages of a stream: one transaction of one caller, between its entry and the home of the database.

use serde::{Deserialize, Serialize};
use wasabiyard_model::{LogPoint, NotRun, OutcomeUnknown};

/// Bytes that each side of a new stream may send before it needs credit.
pub const INITIAL_CREDIT_BYTES: u32 = 64 * 1024;
/// Most payload bytes in one data message.
pub const MAX_DATA_BYTES: usize = 16 * 1024;

/// Names a stream on a link. The entry never uses a pair twice on one link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId {
    /// Number of the request at the entry.
    pub request: u64,
    /// 0 for the first attempt; a repeated request has a higher one.
    pub attempt: u32,
}

/// What a read must have seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadBound {
    /// The primary must serve it: a write, or a session whose position is not known.
    Primary,
    /// A slot that holds this point.
    AtLeast(LogPoint),
    /// A slot whose data is at most this old, in milliseconds.
    AgeMillis(u64),
}

/// Opens a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenStream {
    /// Name of the database.
    pub database: String,
    /// Name of the organisation, empty for a caller without a key on an open route.
    pub organisation: String,
    /// Name of the route.
    pub route: String,
    /// Version of the manifest by which the entry admitted the request.
    pub manifest_version: u64,
    /// What a read must have seen.
    pub bound: ReadBound,
    /// Time that remains for each request of the stream, in milliseconds.
    pub deadline_millis: u32,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOutcome {
    /// The transaction ended and the whole answer was sent. Holds the position of its commit when it wrote.
    Complete {
        /// Last commit of the transaction.
        commit: Option<LogPoint>,
        /// Whether a replica served it.
        from_replica: bool,
    },
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run.
    OutcomeUnknown(OutcomeUnknown),
}

/// A message of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamMessage {
    /// Entry to home: a new stream.
    Open(StreamId, OpenStream),
    /// Both ways: raw `PostgreSQL` messages (frontend messages to the home, backend messages to the entry).
    Data(StreamId, #[serde(with = "serde_bytes")] Vec<u8>),
    /// Both ways: the receiver consumed so many bytes.
    Credit(StreamId, u32),
    /// Home to entry: the stream ended.
    End(StreamId, StreamOutcome),
    /// Entry to home: the caller asked to cancel the running statement.
    Cancel(StreamId),
    /// Entry to home: the caller is gone; the home closes the slot connection.
    Abandon(StreamId),
}

impl StreamMessage {
    /// The stream that this message belongs to.
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

//! Messages between the processes of wasabiyard, and their encoding.
//!
//! One WebSocket link joins a pair of instances that exchange messages; each binary frame holds one [`Message`] in
//! CBOR. Traffic messages belong to a stream, which spans one transaction of one caller. A stream is named by
//! [`StreamId`], so that an answer that arrives late or out of order cannot reach another request.

mod codec;
mod control;
mod message;
mod stream;

pub use codec::{DecodeError, decode, encode};
pub use control::{
    ControlMessage, Gossip, ManifestDelta, MemberDigest, MemberState, SectionDigest, SectionEntry,
    ShareReport, ShareTransfer,
};
pub use message::{Hello, Message, NONCE_BYTES, PROOF_BYTES};
pub use stream::{
    INITIAL_CREDIT_BYTES, MAX_DATA_BYTES, OpenStream, ReadBound, StreamId, StreamMessage, StreamOutcome,
};

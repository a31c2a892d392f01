//! Protocol messages between instances, and their encoding.
//!
//! Two instances that exchange messages are connected by one WebSocket link, on which each binary frame holds one
//! [`Message`] in CBOR. Traffic messages belong to a stream, which carries one transaction of one caller. Each names
//! its stream by [`StreamId`], so that a late response cannot be delivered to another request.

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

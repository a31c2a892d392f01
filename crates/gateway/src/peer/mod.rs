//! Authenticated messages between instances.
//!
//! They are sent as datagrams, because every message is repeated and none has to arrive.

mod compact;
mod compact_readers;
mod message;
mod peer_socket;
mod release_targets;

pub use compact_readers::CompactReaders;
pub use message::{Encoding, Envelope, EnvelopeError, PeerMessage};
pub use peer_socket::PeerSocket;
pub use release_targets::ReleaseTargets;

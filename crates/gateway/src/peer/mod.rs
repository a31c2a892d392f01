//! Authenticated messages between instances.
//!
//! They are sent as datagrams, because every message is repeated and none has to arrive.

mod message;
mod peer_socket;
mod release_targets;

pub use message::{Envelope, EnvelopeError, PeerMessage};
pub use peer_socket::PeerSocket;
pub use release_targets::ReleaseTargets;

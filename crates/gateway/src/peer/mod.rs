//! Messages between instances: datagrams, because each of them is repeated and none has to arrive.

mod message;
mod peer_socket;
mod release_targets;

pub use message::{Envelope, PeerMessage, SealError};
pub use peer_socket::PeerSocket;
pub use release_targets::ReleaseTargets;

//! The envelope of all messages on a link, and the handshake that opens it.

use crate::{ControlMessage, StreamMessage};
use serde::{Deserialize, Serialize};
use wasabiyard_model::{Incarnation, InstanceId};

/// Length of the nonce in [`Hello`].
pub const NONCE_BYTES: usize = 16;
/// Length of the proof in [`Message::HelloProof`], which is an HMAC-SHA256.
pub const PROOF_BYTES: usize = 32;

/// The content of one frame of a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// First frame in each direction; identifies the sender.
    Hello(Hello),
    /// Second frame in each direction, before which nothing but [`Message::Hello`] is accepted: HMAC-SHA256, keyed with
    /// the fleet secret, of the sender's role (`dialer` or `acceptor`) and the receiver's nonce. The role prevents
    /// reflection attacks.
    HelloProof(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Traffic of a caller.
    Stream(StreamMessage),
    /// Membership, configuration and rate shares.
    Control(ControlMessage),
    /// Keepalive, sent when requests are outstanding and nothing was received for a while. Answered by
    /// [`Message::Pong`] with the same number.
    Ping(u64),
    /// Response to [`Message::Ping`] with its number.
    Pong(u64),
}

/// Identity of one side of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the sender.
    pub instance: InstanceId,
    /// Incarnation of the sending process.
    pub incarnation: Incarnation,
    /// Failure domain in which the sender runs.
    pub failure_domain: String,
    /// Address of the sender's peer listener, `IP:PORT`. The receiver uses this link for its own messages to that
    /// address instead of opening another.
    pub address: String,
    /// Random challenge that the receiver includes in its proof of the fleet secret.
    pub nonce: [u8; NONCE_BYTES],
}

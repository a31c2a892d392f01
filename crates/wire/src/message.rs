//! The outermost message of a link.

use crate::{ControlMessage, StreamMessage};
use serde::{Deserialize, Serialize};
use wasabiyard_model::{Incarnation, InstanceId};

/// Length of the random nonce in [`Hello`], in bytes.
pub const NONCE_BYTES: usize = 16;
/// Length of the proof in [`Message::HelloProof`], in bytes.
pub const PROOF_BYTES: usize = 32;

/// One frame of a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// First frame in each direction.
    Hello(Hello),
    /// HMAC-SHA256 under the fleet secret of the prover's role (`dialer` or `acceptor`) and the other side's nonce;
    /// second frame in each direction. Nothing else is accepted before it. The role keeps a proof from being reflected.
    HelloProof(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Traffic of callers.
    Stream(StreamMessage),
    /// Control traffic.
    Control(ControlMessage),
    /// Asks for a [`Message::Pong`] when requests are outstanding and nothing was received for a while.
    Ping(u64),
    /// Answers a ping with its number.
    Pong(u64),
}

/// Who opened the link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the sender.
    pub instance: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Failure domain of the sender.
    pub failure_domain: String,
    /// Address of the peer listener of the sender, `IP:PORT`, so that the receiver can use the link for its own
    /// messages to that address.
    pub address: String,
    /// Random; the other side proves the fleet secret over it.
    pub nonce: [u8; NONCE_BYTES],
}

//! The datagram socket of an instance.

use super::{Envelope, PeerMessage};
use async_io::Async;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use wasabiyard_model::{Incarnation, InstanceId};

/// Longest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Sends and receives authenticated datagrams.
#[derive(Debug)]
pub struct PeerSocket {
    socket: Async<UdpSocket>,
    id: InstanceId,
    incarnation: Incarnation,
}

impl PeerSocket {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// When the port cannot be had.
    pub fn bind(address: SocketAddr, id: InstanceId, incarnation: Incarnation) -> io::Result<Self> {
        Ok(Self {
            socket: Async::<UdpSocket>::bind(address)?,
            id,
            incarnation,
        })
    }

    /// Sends a message. A message that cannot be sent now is dropped and logged, because all of them are repeated.
    pub fn send(&self, to: SocketAddr, message: PeerMessage, secret: &[u8]) {
        let envelope = Envelope {
            from: self.id.clone(),
            incarnation: self.incarnation,
            message,
        };
        if let Err(e) = self.socket.get_ref().send_to(&envelope.seal(secret), to) {
            log::debug!(peer:% = to, error:% = e; "a message to a peer was dropped");
        }
    }

    /// Receives the next datagram.
    ///
    /// # Errors
    ///
    /// When the socket fails.
    pub async fn receive(&self, buf: &mut Vec<u8>) -> io::Result<SocketAddr> {
        buf.resize(MAX_DATAGRAM_BYTES, 0);
        let (len, from) = self.socket.recv_from(buf).await?;
        buf.truncate(len);
        Ok(from)
    }
}

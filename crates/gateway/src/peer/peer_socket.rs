//! The UDP socket for messages between instances.

use super::{Encoding, Envelope, PeerMessage};
use async_io::Async;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use wasabiyard_model::{Incarnation, InstanceId};

/// Size of the receive buffer; longer datagrams are cut off and fail authentication.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Sends sealed envelopes in the name of this instance and receives raw datagrams, which [`Envelope::open`] checks.
#[derive(Debug)]
pub struct PeerSocket {
    socket: Async<UdpSocket>,
    id: InstanceId,
    incarnation: Incarnation,
    /// Whether envelopes say that this instance reads [`Encoding::Compact`].
    reads_compact: bool,
}

impl PeerSocket {
    /// Binds the socket. `id`, `incarnation` and `reads_compact` are written into each envelope that is sent.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        id: InstanceId,
        incarnation: Incarnation,
        reads_compact: bool,
    ) -> io::Result<Self> {
        Ok(Self {
            socket: Async::<UdpSocket>::bind(address)?,
            id,
            incarnation,
            reads_compact,
        })
    }

    /// Sends a message without waiting. A message that the socket does not accept now is logged and dropped, because
    /// all messages are repeated.
    pub fn send(&self, to: SocketAddr, message: PeerMessage, encoding: Encoding, secret: &[u8]) {
        let envelope = Envelope {
            from: self.id.clone(),
            incarnation: self.incarnation,
            message,
            reads_compact: self.reads_compact,
        };
        if let Err(e) = self
            .socket
            .get_ref()
            .send_to(&envelope.seal(encoding, secret), to)
        {
            log::debug!(peer:% = to, error:% = e; "dropped a message to a peer that the socket did not accept");
        }
    }

    /// Receives the next datagram into `buf`, not authenticated, and returns its source address.
    ///
    /// # Errors
    ///
    /// When receiving fails; the socket may still be used afterwards.
    pub async fn receive(&self, buf: &mut Vec<u8>) -> io::Result<SocketAddr> {
        buf.resize(MAX_DATAGRAM_BYTES, 0);
        let (len, from) = self.socket.recv_from(buf).await?;
        buf.truncate(len);
        Ok(from)
    }
}

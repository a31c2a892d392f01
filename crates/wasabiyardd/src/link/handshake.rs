//! Mutual authentication on a new link: each side proves that it knows the fleet secret.

use async_io::Async;
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::net::{SocketAddr, TcpStream};
use thiserror::Error;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite;
use tokio_util::compat::Compat;
use wasabiyard_model::{Incarnation, InstanceId};
use wasabiyard_wire::{DecodeError, Hello, Message, NONCE_BYTES, decode, encode};

use super::peer_link::LinkRole;
use crate::settings::Secret;

/// The connection of a link.
pub(super) type Socket = WebSocketStream<Compat<Async<TcpStream>>>;

/// This process as its peers see it.
#[derive(Debug, Clone)]
pub struct LocalPeer {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub failure_domain: String,
    /// Address of the peer listener, to which peers connect.
    pub address: SocketAddr,
    /// Fleet secret, the key of the proofs.
    pub secret: Secret,
}

/// Why a link could not be established or was lost.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The TCP connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The WebSocket connection failed.
    #[error("the WebSocket failed: {0}")]
    WebSocket(#[from] Box<tungstenite::Error>),
    /// A frame is not a valid message.
    #[error("{0}")]
    Decode(#[from] DecodeError),
    /// The peer sent a message that the protocol does not allow in the current state.
    #[error("the peer sent an unexpected message")]
    UnexpectedMessage,
    /// The peer closed the link.
    #[error("the peer closed the link")]
    Closed,
    /// The peer did not prove the fleet secret.
    #[error("the peer did not prove the fleet secret")]
    WrongSecret,
    /// The peer did not complete the handshake, answer a ping or read from the connection in time.
    #[error("the peer did not respond in time")]
    Unresponsive,
}

/// Exchanges `Hello` and `HelloProof`. Returns the peer's name and the address of its listener. A proof is the HMAC of
/// the prover's role and the other side's nonce, so a replayed or reflected proof is not valid.
pub(super) async fn perform_handshake(
    socket: &mut Socket,
    local: &LocalPeer,
    role: LinkRole,
) -> Result<(InstanceId, SocketAddr), LinkError> {
    let nonce: [u8; NONCE_BYTES] = rand::random();
    let hello = Hello {
        instance: local.instance.clone(),
        incarnation: local.incarnation,
        failure_domain: local.failure_domain.clone(),
        address: local.address.to_string(),
        nonce,
    };
    send(socket, &Message::Hello(hello)).await?;
    let Message::Hello(peer) = receive(socket).await? else {
        return Err(LinkError::UnexpectedMessage);
    };
    let own_proof = proof_mac(&local.secret, role, &peer.nonce)
        .finalize()
        .into_bytes();
    let peer_role = match role {
        LinkRole::Dialer => LinkRole::Acceptor,
        LinkRole::Acceptor => LinkRole::Dialer,
    };
    if role == LinkRole::Dialer {
        send(socket, &Message::HelloProof(own_proof.to_vec())).await?;
    }
    let Message::HelloProof(peer_proof) = receive(socket).await? else {
        return Err(LinkError::UnexpectedMessage);
    };
    proof_mac(&local.secret, peer_role, &nonce)
        .verify_slice(&peer_proof)
        .map_err(|_e| LinkError::WrongSecret)?;
    // The acceptor sends its proof only after it has verified the proof of the dialer.
    if role == LinkRole::Acceptor {
        send(socket, &Message::HelloProof(own_proof.to_vec())).await?;
    }
    let address = peer.address.parse().map_err(|_e| LinkError::UnexpectedMessage)?;
    Ok((peer.instance, address))
}

fn proof_mac(secret: &Secret, role: LinkRole, nonce: &[u8]) -> Hmac<Sha256> {
    let label: &[u8] = match role {
        LinkRole::Dialer => b"dialer",
        LinkRole::Acceptor => b"acceptor",
    };
    Hmac::<Sha256>::new_from_slice(secret.expose().as_bytes())
        .expect("HMAC takes keys of any length")
        .chain_update(label)
        .chain_update(nonce)
}

async fn send(socket: &mut Socket, message: &Message) -> Result<(), LinkError> {
    let frame = tungstenite::Message::Binary(encode(message).into());
    Ok(socket.send(frame).await.map_err(Box::new)?)
}

async fn receive(socket: &mut Socket) -> Result<Message, LinkError> {
    match socket.next().await {
        Some(Ok(tungstenite::Message::Binary(frame))) => Ok(decode(&frame)?),
        Some(Ok(_)) => Err(LinkError::UnexpectedMessage),
        Some(Err(e)) => Err(LinkError::WebSocket(Box::new(e))),
        None => Err(LinkError::Closed),
    }
}

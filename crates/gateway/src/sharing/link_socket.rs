//! The WebSocket connection of a link: its limits, its framing and the proof of the fleet's secret at its start.

use async_io::{Async, Timer};
use futures_lite::{FutureExt, Stream, StreamExt};
use futures_util::{Sink, SinkExt};
use hmac::{Hmac, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sha2::Sha256;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use thiserror::Error;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};
use wasabiyard_model::{Incarnation, InstanceId, Time};

/// Timeout for connecting and for the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of each buffer of a link. The library's defaults are too much for a hundred links in 160 MB.
const BUFFER_BYTES: usize = 8 * 1024;
/// Size limit of a message. A statement of 1 MiB must fit, with the text of its prepared definition.
const MAX_MESSAGE_BYTES: usize = 3 * 1024 * 1024;
/// Bytes of texts, rows or session values up to which a message is sent. The limit of a message leaves room for what is
/// encoded with them.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 2 * 1024 * 1024 + 512 * 1024;
/// Most messages in one write. A longer batch could exceed [`WRITE_TIMEOUT`] on a link that is busy but works.
const MAX_BATCH_MESSAGES: usize = 64;
/// Size limit of a message of the handshake, whose sender is not authenticated yet.
const MAX_HELLO_BYTES: usize = 1024;
/// Timeout of one write. A peer that reads nothing for this long counts as lost.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
const NONCE_BYTES: usize = 32;
/// Version of the messages. Another version is refused, and direct connections are used.
const PROTOCOL_VERSION: u32 = 1;

/// The connection of a link.
pub(super) type Socket = WebSocketStream<Compat<Async<TcpStream>>>;

/// Why a link could not be opened or was lost.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The TCP connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The WebSocket connection failed.
    #[error("the WebSocket failed: {0}")]
    WebSocket(#[from] Box<tungstenite::Error>),
    /// A message cannot be decoded.
    #[error("a message cannot be read: {0}")]
    Decode(#[from] ciborium::de::Error<std::io::Error>),
    /// The other end broke the rules of the protocol, or speaks another version.
    #[error("unexpected message: {0}")]
    Unexpected(&'static str),
    /// The other end did not prove the fleet's secret, or is another instance than expected.
    #[error("the other end is not authentic")]
    NotAuthentic,
    /// The link is no longer used.
    #[error("closed")]
    Closed,
    /// The other end did not respond in time.
    #[error("no response in time")]
    Unresponsive,
    /// This process was suspended, so what has arrived meanwhile may be too old.
    #[error("this process was suspended")]
    Suspended,
}

/// This instance as the other end of a link sees it.
#[derive(Debug, Clone)]
pub(super) struct LocalEnd {
    pub(super) id: InstanceId,
    pub(super) incarnation: Incarnation,
}

/// The other end of a link.
#[derive(Debug, Clone)]
pub(super) struct RemoteEnd {
    pub(super) id: InstanceId,
    pub(super) incarnation: Incarnation,
}

#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    version: u32,
    id: InstanceId,
    incarnation: Incarnation,
    nonce: ByteBuf,
}

#[derive(Debug, Clone, Copy)]
enum Side {
    Dialer,
    Acceptor,
}

/// Connects to the listener of another instance.
pub(super) async fn dial(
    to: SocketAddr,
    local: &LocalEnd,
    secret: &[u8],
) -> Result<(Socket, RemoteEnd), LinkError> {
    let connect = async {
        let stream = Async::<TcpStream>::connect(to).await?;
        stream.get_ref().set_nodelay(true)?;
        let url = format!("ws://{to}/connections");
        let (mut socket, _response) =
            tokio_tungstenite::client_async_with_config(url, stream.compat(), Some(config()))
                .await
                .map_err(Box::new)?;
        let remote = authenticate(&mut socket, local, secret, Side::Dialer).await?;
        Ok((socket, remote))
    };
    connect.or(timeout(HANDSHAKE_TIMEOUT)).await
}

/// Completes a connection that the listener accepted.
pub(super) async fn accept(
    stream: Async<TcpStream>,
    local: &LocalEnd,
    secret: &[u8],
) -> Result<(Socket, RemoteEnd), LinkError> {
    let accept = async {
        stream.get_ref().set_nodelay(true)?;
        let mut socket = tokio_tungstenite::accept_async_with_config(stream.compat(), Some(config()))
            .await
            .map_err(Box::new)?;
        let remote = authenticate(&mut socket, local, secret, Side::Acceptor).await?;
        Ok((socket, remote))
    };
    accept.or(timeout(HANDSHAKE_TIMEOUT)).await
}

/// Sends `first` and whatever else `more` has ready, in as few writes as possible.
pub(super) async fn write_batch<T, S, F>(sink: &mut S, first: &T, mut more: F) -> Result<(), LinkError>
where
    T: Serialize,
    S: Sink<Message, Error = tungstenite::Error> + Unpin,
    F: FnMut() -> Option<T>,
{
    let write = async {
        sink.feed(encode(first)).await.map_err(Box::new)?;
        for _ in 1..MAX_BATCH_MESSAGES {
            let Some(next) = more() else {
                break;
            };
            sink.feed(encode(&next)).await.map_err(Box::new)?;
        }
        sink.flush().await.map_err(Box::new)?;
        Ok(())
    };
    write.or(timeout(WRITE_TIMEOUT)).await
}

/// Reads the next message.
pub(super) async fn read<T, S>(stream: &mut S) -> Result<T, LinkError>
where
    T: DeserializeOwned,
    S: Stream<Item = Result<Message, tungstenite::Error>> + Unpin,
{
    loop {
        match stream.next().await {
            Some(Ok(Message::Binary(bytes))) => return Ok(ciborium::from_reader(&*bytes)?),
            Some(Ok(Message::Close(_))) | None => return Err(LinkError::Closed),
            Some(Ok(_)) => {}
            Some(Err(e)) => return Err(LinkError::WebSocket(Box::new(e))),
        }
    }
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

fn encode<T>(message: &T) -> Message
where
    T: Serialize,
{
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(message, &mut bytes).expect("writing to memory cannot fail");
    Message::Binary(bytes.into())
}

async fn timeout<T>(limit: Duration) -> Result<T, LinkError> {
    Timer::after(limit).await;
    Err(LinkError::Unresponsive)
}

/// Exchanges names and nonces, then the proofs. A proof covers both names and nonces and the prover's side, so that one
/// that was recorded or reflected is not valid.
async fn authenticate(
    socket: &mut Socket,
    local: &LocalEnd,
    secret: &[u8],
    side: Side,
) -> Result<RemoteEnd, LinkError> {
    let nonce: [u8; NONCE_BYTES] = rand::random();
    let hello = Hello {
        version: PROTOCOL_VERSION,
        id: local.id.clone(),
        incarnation: local.incarnation,
        nonce: ByteBuf::from(nonce.to_vec()),
    };
    let mut own_hello = Vec::new();
    ciborium::into_writer(&hello, &mut own_hello).expect("writing to memory cannot fail");
    send_bytes(socket, own_hello.clone()).await?;
    let remote_hello = receive_bytes(socket).await?;
    let remote: Hello = ciborium::from_reader(&*remote_hello)?;
    if remote.version != PROTOCOL_VERSION || remote.nonce.len() != NONCE_BYTES {
        return Err(LinkError::Unexpected("another version"));
    }
    let (dialer, acceptor, remote_side) = match side {
        Side::Dialer => (&own_hello, &remote_hello, Side::Acceptor),
        Side::Acceptor => (&remote_hello, &own_hello, Side::Dialer),
    };
    let own_proof = proof(secret, side, dialer, acceptor).finalize().into_bytes();
    // The acceptor sends its proof only after it has verified that of the dialer.
    if matches!(side, Side::Dialer) {
        send_bytes(socket, own_proof.to_vec()).await?;
    }
    let remote_proof = receive_bytes(socket).await?;
    proof(secret, remote_side, dialer, acceptor)
        .verify_slice(&remote_proof)
        .map_err(|_e| LinkError::NotAuthentic)?;
    if matches!(side, Side::Acceptor) {
        send_bytes(socket, own_proof.to_vec()).await?;
    }
    Ok(RemoteEnd {
        id: remote.id,
        incarnation: remote.incarnation,
    })
}

fn proof(secret: &[u8], prover: Side, dialer: &[u8], acceptor: &[u8]) -> Hmac<Sha256> {
    let label: &[u8] = match prover {
        Side::Dialer => b"connections dialer",
        Side::Acceptor => b"connections acceptor",
    };
    Hmac::<Sha256>::new_from_slice(secret)
        .expect("a key of any length")
        .chain_update(label)
        .chain_update((dialer.len() as u64).to_be_bytes())
        .chain_update(dialer)
        .chain_update(acceptor)
}

async fn send_bytes(socket: &mut Socket, bytes: Vec<u8>) -> Result<(), LinkError> {
    Ok(socket
        .send(Message::Binary(bytes.into()))
        .await
        .map_err(Box::new)?)
}

async fn receive_bytes(socket: &mut Socket) -> Result<Vec<u8>, LinkError> {
    match StreamExt::next(socket).await {
        Some(Ok(Message::Binary(bytes))) if bytes.len() <= MAX_HELLO_BYTES => Ok(bytes.to_vec()),
        Some(Ok(_)) => Err(LinkError::Unexpected("not a handshake")),
        Some(Err(e)) => Err(LinkError::WebSocket(Box::new(e))),
        None => Err(LinkError::Closed),
    }
}

/// Estimates how late a request is, from the times of sending on the clock of the other end. The quickest request so far
/// counts as one without delay.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatenessClock {
    /// Smallest difference between arrival and sending, in microseconds; `None` before the first request.
    least_difference: Option<i64>,
}

impl LatenessClock {
    /// How much longer than the quickest one a request took that was sent at `sent` and arrived at `now`.
    pub fn on_arrival(&mut self, sent: Time, now: Time) -> Duration {
        let difference = now.as_micros() as i64 - sent.as_micros() as i64;
        let least = self.least_difference.map_or(difference, |d| d.min(difference));
        self.least_difference = Some(least);
        Duration::from_micros((difference - least) as u64)
    }
}

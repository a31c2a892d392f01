//! The tasks of a link, from connecting to closing.

use super::Links;
use super::handshake::{self, LinkError, Socket};
use super::peer_link::{LinkRole, PeerLink, Queues};
use super::writer::LinkWriter;
use crate::clock;
use crate::counters::{self, Counter};
use async_io::{Async, Timer};
use futures_lite::future;
use futures_util::StreamExt;
use futures_util::stream::SplitStream;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_util::compat::FuturesAsyncReadCompatExt;
use wasabiyard_model::InstanceId;
use wasabiyard_wire::{Message, StreamId, StreamMessage, decode};

/// Timeout for connecting and for the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of each buffer of a link. The library's defaults are eight times as large, too much for hundreds of links.
const BUFFER_BYTES: usize = 16 * 1024;
/// Size limit of a frame. A full manifest of 1 MB must fit.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

async fn with_handshake_timeout<T, F>(work: F) -> Result<T, LinkError>
where
    F: Future<Output = Result<T, LinkError>>,
{
    let timeout = async {
        Timer::after(HANDSHAKE_TIMEOUT).await;
        Err(LinkError::Unresponsive)
    };
    future::or(work, timeout).await
}

/// Dials the peer of `link` and runs the link until it is lost.
pub(super) async fn dial(links: Links, link: Arc<PeerLink>, queues: Queues) {
    let connected = with_handshake_timeout(connect(&links, link.peer())).await;
    let error = match connected {
        Ok((socket, peer)) => run(&links, &link, queues, socket, peer).await,
        Err(e) => {
            drop(queues);
            e
        }
    };
    end_link(&links, &link, &error);
}

async fn connect(links: &Links, to: SocketAddr) -> Result<(Socket, InstanceId), LinkError> {
    let stream = Async::<TcpStream>::connect(to).await?;
    stream.get_ref().set_nodelay(true)?;
    let url = format!("ws://{to}/link");
    let (mut socket, _response) =
        tokio_tungstenite::client_async_with_config(url, stream.compat(), Some(websocket_config()))
            .await
            .map_err(Box::new)?;
    let (peer, _address) =
        handshake::perform_handshake(&mut socket, &links.0.local, LinkRole::Dialer).await?;
    Ok((socket, peer))
}

/// Performs the handshake on a connection from a peer and runs the link until it is lost.
pub(super) async fn serve_accepted(links: Links, stream: Async<TcpStream>) {
    let (socket, peer, address) = match with_handshake_timeout(accept_handshake(&links, stream)).await {
        Ok(accepted) => accepted,
        Err(e) => {
            counters::add(Counter::LinksRefused, 1);
            log::warn!(error:% = e; "incoming link refused");
            return;
        }
    };
    let (link, queues) = PeerLink::new(address, LinkRole::Acceptor);
    links.add(&link);
    let error = run(&links, &link, queues, socket, peer).await;
    end_link(&links, &link, &error);
}

async fn accept_handshake(
    links: &Links,
    stream: Async<TcpStream>,
) -> Result<(Socket, InstanceId, SocketAddr), LinkError> {
    stream.get_ref().set_nodelay(true)?;
    let mut socket = tokio_tungstenite::accept_async_with_config(stream.compat(), Some(websocket_config()))
        .await
        .map_err(Box::new)?;
    let (peer, address) =
        handshake::perform_handshake(&mut socket, &links.0.local, LinkRole::Acceptor).await?;
    Ok((socket, peer, address))
}

/// Reads and writes until the link is lost. No message is sent after this returns.
async fn run(
    links: &Links,
    link: &Arc<PeerLink>,
    queues: Queues,
    socket: Socket,
    peer: InstanceId,
) -> LinkError {
    counters::add(Counter::LinksOpened, 1);
    log::info!(peer:% = peer, address:% = link.peer(); "link opened");
    let (sink, stream) = socket.split();
    let writer = LinkWriter {
        link: Arc::clone(link),
        queues,
        sink,
    };
    let mut writer = links.0.executor.spawn(writer.run());
    let error = future::or(read(links, link, stream, peer), &mut writer).await;
    writer.cancel().await;
    error
}

fn end_link(links: &Links, link: &Arc<PeerLink>, error: &LinkError) {
    links.remove(link);
    link.close();
    counters::add(Counter::LinksLost, 1);
    log::info!(address:% = link.peer(), error:% = error; "link closed");
}

async fn read(
    links: &Links,
    link: &Arc<PeerLink>,
    mut stream: SplitStream<Socket>,
    peer: InstanceId,
) -> LinkError {
    loop {
        let frame = match stream.next().await {
            Some(Ok(tungstenite::Message::Binary(frame))) => frame,
            Some(Ok(tungstenite::Message::Close(_))) | None => return LinkError::Closed,
            Some(Ok(_)) => continue,
            Some(Err(e)) => return LinkError::WebSocket(Box::new(e)),
        };
        link.set_last_received(clock::now());
        counters::add(Counter::LinkBytesReceived, frame.len() as u64);
        match decode(&frame) {
            Ok(message) => {
                if let Err(e) = dispatch(links, link, &peer, message) {
                    return e;
                }
            }
            Err(e) => return LinkError::Decode(e),
        }
    }
}

/// Ends a stream whose home returns or panics without sending `End`.
struct HomeReturnGuard(Arc<PeerLink>, StreamId);

impl Drop for HomeReturnGuard {
    fn drop(&mut self) {
        self.0.on_home_returned(self.1);
    }
}

fn dispatch(
    links: &Links,
    link: &Arc<PeerLink>,
    peer: &InstanceId,
    message: Message,
) -> Result<(), LinkError> {
    match message {
        Message::Stream(StreamMessage::Open(id, open)) => {
            let endpoint = link.accept(id).ok_or(LinkError::UnexpectedMessage)?;
            links.0.accepted_streams.fetch_add(1, Ordering::Relaxed);
            let serve = (links.0.serve)(id, open, endpoint);
            let guard = HomeReturnGuard(Arc::clone(link), id);
            let task = async move {
                serve.await;
                drop(guard);
            };
            links.0.executor.spawn(task).detach();
        }
        Message::Stream(message) => {
            // The last credit of a stream often arrives after its end, so it is not counted as late.
            let is_credit = matches!(message, StreamMessage::Credit(..));
            if !link.stream_table().deliver(message) && !is_credit {
                counters::add(Counter::LateMessages, 1);
            }
        }
        Message::Control(control) => {
            let received = (peer.clone(), link.peer(), control);
            if links.0.control.try_send(received).is_err() {
                counters::add(Counter::ControlDropped, 1);
            }
        }
        Message::Ping(number) => link.send_keepalive(Message::Pong(number)),
        Message::Pong(_) => {}
        Message::Hello(_) | Message::HelloProof(_) => return Err(LinkError::UnexpectedMessage),
    }
    Ok(())
}

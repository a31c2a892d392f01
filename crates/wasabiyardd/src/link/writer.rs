//! Writes the queued messages of a link: keepalive messages first, then control messages, then stream messages.

use super::handshake::{LinkError, Socket};
use super::liveness::{Liveness, LivenessAction};
use super::peer_link::{PeerLink, Queues};
use crate::clock;
use crate::counters::{self, Counter};
use async_io::Timer;
use futures_lite::future;
use futures_util::SinkExt;
use futures_util::stream::SplitSink;
use std::sync::Arc;
use std::time::Duration;
use tokio_tungstenite::tungstenite;
use wasabiyard_model::Time;
use wasabiyard_wire::{Message, encode};

/// Timeout of one write or flush. A peer that reads nothing for this long counts as unresponsive.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// The writing half of a link.
pub(super) struct LinkWriter {
    pub(super) link: Arc<PeerLink>,
    pub(super) queues: Queues,
    pub(super) sink: SplitSink<Socket, tungstenite::Message>,
}

enum Next {
    Message(Message),
    Check,
}

impl LinkWriter {
    /// Runs until the link is lost.
    pub(super) async fn run(mut self) -> LinkError {
        let mut liveness = Liveness::default();
        loop {
            if let Err(e) = self.step(&mut liveness).await {
                return e;
            }
        }
    }

    async fn step(&mut self, liveness: &mut Liveness) -> Result<(), LinkError> {
        let message = if let Some(message) = self.take_queued() {
            message
        } else {
            self.flush().await?;
            match self.next(liveness).await? {
                Next::Message(message) => message,
                Next::Check => return Ok(()),
            }
        };
        self.link.set_unflushed(true);
        if let Message::Stream(message) = &message
            && !self.link.stream_table().before_send(message)
        {
            return Ok(());
        }
        if matches!(message, Message::Stream(_) | Message::Control(_)) {
            liveness.on_sent(clock::now());
        }
        self.feed(&message).await
    }

    fn take_queued(&self) -> Option<Message> {
        let queues = &self.queues;
        if let Ok(message) = queues.keepalive.try_recv() {
            return Some(message);
        }
        if let Ok(control) = queues.control.try_recv() {
            return Some(Message::Control(control));
        }
        queues.data.try_recv().ok().map(Message::Stream)
    }

    /// Waits for a message, or for the time of the next liveness check.
    async fn next(&self, liveness: &mut Liveness) -> Result<Next, LinkError> {
        let streams = self.link.stream_table().entry_count();
        let check_at = match liveness.check(clock::now(), streams, self.link.last_received_at()) {
            LivenessAction::Idle => None,
            LivenessAction::CheckAt(at) => Some(at),
            LivenessAction::Ping(number) => return Ok(Next::Message(Message::Ping(number))),
            LivenessAction::Close => return Err(LinkError::Unresponsive),
        };
        let queues = &self.queues;
        let keepalive = async { queues.keepalive.recv().await.ok() };
        let control = async { queues.control.recv().await.ok().map(Message::Control) };
        let data = async { queues.data.recv().await.ok().map(Message::Stream) };
        let message = async {
            let message = future::or(keepalive, future::or(control, data)).await;
            message.map(Next::Message).ok_or(LinkError::Closed)
        };
        let check = async {
            sleep_until(check_at).await;
            Ok(Next::Check)
        };
        future::or(message, check).await
    }

    async fn feed(&mut self, message: &Message) -> Result<(), LinkError> {
        let bytes = encode(message);
        counters::add(Counter::LinkBytesSent, bytes.len() as u64);
        let frame = tungstenite::Message::Binary(bytes.into());
        with_write_timeout(self.sink.feed(frame)).await
    }

    async fn flush(&mut self) -> Result<(), LinkError> {
        with_write_timeout(self.sink.flush()).await?;
        self.link.set_unflushed(false);
        Ok(())
    }
}

async fn with_write_timeout<F>(write: F) -> Result<(), LinkError>
where
    F: Future<Output = Result<(), tungstenite::Error>>,
{
    let write = async { write.await.map_err(|e| LinkError::WebSocket(Box::new(e))) };
    let timeout = async {
        Timer::after(WRITE_TIMEOUT).await;
        Err(LinkError::Unresponsive)
    };
    future::or(write, timeout).await
}

async fn sleep_until(at: Option<Time>) {
    match at {
        Some(at) => {
            Timer::after(at.saturating_since(clock::now())).await;
        }
        None => future::pending().await,
    }
}

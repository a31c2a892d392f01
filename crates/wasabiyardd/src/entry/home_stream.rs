//! The entry's end of one stream, with its flow control.

use super::prepared_statements::{PendingCompletions, PreparedStatements};
use super::response_filter::ResponseFilter;
use super::session::WakeEvent;
use super::{Frame, FrameError};
use crate::channel::StreamEnd;
use crate::clock;
use crate::home::ServeFuture;
use async_channel::TryRecvError;
use async_executor::Executor;
use std::fmt;
use std::sync::Arc;
use std::task::Context;
use wasabiyard_model::Time;
use wasabiyard_wire::{INITIAL_CREDIT_BYTES, MAX_DATA_BYTES, StreamId, StreamMessage};

/// Consumed bytes after which the home is told. A quarter of the first credit, so that the home does not run dry.
const CREDIT_GRANT_BYTES: u32 = INITIAL_CREDIT_BYTES / 4;

/// An open stream. Dropping it before its end tells the home that the caller is gone.
#[derive(Debug)]
pub struct HomeStream {
    /// Name.
    pub id: StreamId,
    /// Channels to and from the home.
    pub stream_end: StreamEnd,
    /// Database that the stream runs on.
    pub database: Box<str>,
    /// The walk over the answer.
    pub response: ResponseFilter,
    /// Completions that the answer still owes.
    pub pending_completions: PendingCompletions,
    /// Status of a `ReadyForQuery` that is held back.
    pub ready_status: Option<u8>,
    /// Whether the last request sent makes the slot answer with `ReadyForQuery`.
    pub synced: bool,
    /// When the present request started.
    pub request_started: Time,
    /// Whether the present request has extended messages.
    pub extended: bool,
    outbound: Vec<u8>,
    send_credit: u32,
    uncredited_bytes: u32,
    ended: bool,
    local_home: Option<LocalHome>,
}

/// The home of a stream in this process. The caller's task polls it, so that a statement stays on one thread.
pub struct LocalHome {
    executor: Arc<Executor<'static>>,
    serve: Option<ServeFuture>,
}

impl LocalHome {
    /// A home that is not polled yet.
    pub const fn new(executor: Arc<Executor<'static>>, serve: ServeFuture) -> Self {
        Self {
            executor,
            serve: Some(serve),
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) {
        if let Some(serve) = &mut self.serve
            && serve.as_mut().poll(cx).is_ready()
        {
            self.serve = None;
        }
    }
}

impl fmt::Debug for LocalHome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LocalHome")
    }
}

impl Drop for LocalHome {
    fn drop(&mut self) {
        // The home has to end by itself, because it holds a connection.
        if let Some(serve) = self.serve.take() {
            self.executor.spawn(serve).detach();
        }
    }
}

impl HomeStream {
    /// A stream that was just opened.
    pub fn new(id: StreamId, stream_end: StreamEnd, database: &str, local_home: Option<LocalHome>) -> Self {
        Self {
            id,
            stream_end,
            database: database.into(),
            response: ResponseFilter::default(),
            pending_completions: PendingCompletions::default(),
            ready_status: None,
            synced: true,
            extended: false,
            request_started: clock::now(),
            outbound: Vec::new(),
            send_credit: INITIAL_CREDIT_BYTES,
            uncredited_bytes: 0,
            ended: false,
            local_home,
        }
    }

    /// Prepares for the next request.
    pub fn start(&mut self, synced: bool, extended: bool) {
        self.request_started = clock::now();
        self.response.start_request();
        self.ready_status = None;
        self.synced = synced;
        self.extended = extended;
    }

    /// Whether more messages may be queued.
    pub fn can_queue(&self) -> bool {
        self.outbound.len() < MAX_DATA_BYTES
    }

    /// Queues messages of the caller.
    ///
    /// # Errors
    ///
    /// When a message is malformed.
    pub fn queue(&mut self, frames: &[Frame], prepared: &mut PreparedStatements) -> Result<(), FrameError> {
        for frame in frames {
            prepared.forward(frame, &mut self.pending_completions, &mut self.outbound)?;
        }
        Ok(())
    }

    /// Queues raw bytes.
    pub fn queue_raw(&mut self, bytes: &[u8]) {
        self.outbound.extend_from_slice(bytes);
    }

    /// Hands queued bytes to the home as far as the credit goes. Drops them when the home is gone, which the next
    /// receive tells.
    pub fn send_queued(&mut self) {
        while !self.outbound.is_empty() && self.send_credit > 0 {
            let n = self
                .outbound
                .len()
                .min(MAX_DATA_BYTES)
                .min(self.send_credit as usize);
            let data = if n == self.outbound.len() {
                std::mem::take(&mut self.outbound)
            } else {
                self.outbound.drain(..n).collect()
            };
            self.send_credit -= n as u32;
            if self
                .stream_end
                .tx
                .try_send(StreamMessage::Data(self.id, data))
                .is_err()
            {
                self.outbound.clear();
            }
        }
    }

    /// Lets a home in this process run.
    pub fn poll_home(&mut self, cx: &mut Context<'_>) {
        if let Some(local_home) = &mut self.local_home {
            local_home.poll(cx);
        }
    }

    /// Whether the home is in this process.
    pub const fn is_local(&self) -> bool {
        self.local_home.is_some()
    }

    /// Takes a message of the home that is there.
    pub fn try_event(&self) -> Option<WakeEvent> {
        match self.stream_end.rx.try_recv() {
            Ok(message) => Some(WakeEvent::Home(message)),
            Err(TryRecvError::Closed) => Some(WakeEvent::HomeGone),
            Err(TryRecvError::Empty) => None,
        }
    }

    /// The home consumed bytes.
    pub const fn add_credit(&mut self, bytes: u32) {
        self.send_credit = self.send_credit.saturating_add(bytes);
    }

    /// Bytes of the home were consumed.
    pub fn record_consumed(&mut self, bytes: usize) {
        self.uncredited_bytes += bytes as u32;
        if self.uncredited_bytes >= CREDIT_GRANT_BYTES {
            let grant = StreamMessage::Credit(self.id, std::mem::take(&mut self.uncredited_bytes));
            // A home that is gone needs no credit; its end is seen by the next receive.
            drop(self.stream_end.tx.try_send(grant));
        }
    }

    /// The home ended the stream.
    pub const fn mark_ended(&mut self) {
        self.ended = true;
    }
}

impl Drop for HomeStream {
    fn drop(&mut self) {
        if !self.ended {
            // A home that is gone has given the slot connection up already.
            drop(self.stream_end.tx.try_send(StreamMessage::Abandon(self.id)));
        }
    }
}

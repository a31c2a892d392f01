//! The entry's end of a stream to the home of a database, with credit-based flow control in both directions.
//!
//! A stream carries one transaction: raw frontend messages to the home, raw backend messages back.

use super::prepared_statements::{PendingCompletions, PreparedStatements};
use super::response_filter::ResponseFilter;
use super::session::WakeEvent;
use super::{Frame, FrameError};
use crate::channel::StreamEndpoint;
use crate::clock;
use crate::home::ServeFuture;
use async_channel::TryRecvError;
use async_executor::Executor;
use std::fmt;
use std::sync::Arc;
use std::task::Context;
use wasabiyard_model::Time;
use wasabiyard_wire::{INITIAL_CREDIT_BYTES, MAX_DATA_BYTES, StreamId, StreamMessage};

/// Consumed bytes after which the home is granted new credit. A quarter of the initial credit, so that a home that
/// sends steadily does not run out of it.
const CREDIT_GRANT_BYTES: u32 = INITIAL_CREDIT_BYTES / 4;

/// An open stream. Dropping it before its end sends `Abandon`, which notifies the home that the caller is gone.
#[derive(Debug)]
pub struct HomeStream {
    /// Identifies the stream, and so the attempt at a request, in messages.
    pub id: StreamId,
    /// Channels to and from the home.
    pub stream_endpoint: StreamEndpoint,
    /// Database that the stream runs on.
    pub database: Box<str>,
    /// Filters what the home sends.
    pub response: ResponseFilter,
    /// Completions that the response has yet to bring.
    pub pending_completions: PendingCompletions,
    /// Status of the `ReadyForQuery` that ended the response; `None` while it is incomplete.
    pub ready_status: Option<u8>,
    /// Whether the last request sent makes the slot answer with `ReadyForQuery`.
    pub synced: bool,
    /// When the current request started.
    pub request_started: Time,
    /// Whether the current request uses the extended query protocol.
    pub extended: bool,
    /// Bytes for the home that wait for credit.
    outbound: Vec<u8>,
    /// Bytes that may still be sent to the home.
    send_credit: u32,
    /// Bytes of the home that were consumed since the last grant of credit.
    uncredited_bytes: u32,
    ended: bool,
    /// `None` when the home is in another process.
    local_home: Option<LocalHome>,
}

/// The serving future of a home in this process. The task of the caller polls it, so that a statement does not change
/// threads.
pub struct LocalHome {
    executor: Arc<Executor<'static>>,
    serve: Option<ServeFuture>,
}

impl LocalHome {
    /// Wraps a future that was not polled yet. `executor` takes it over if the stream is dropped first.
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
        // The home runs to its end without the caller, because it has to return a slot connection to the pool.
        if let Some(serve) = self.serve.take() {
            self.executor.spawn(serve).detach();
        }
    }
}

impl HomeStream {
    /// A stream that was just opened, with the initial credit.
    pub fn new(
        id: StreamId,
        stream_endpoint: StreamEndpoint,
        database: &str,
        local_home: Option<LocalHome>,
    ) -> Self {
        Self {
            id,
            stream_endpoint,
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

    /// Resets the per-request state for the next request.
    pub fn start(&mut self, synced: bool, extended: bool) {
        self.request_started = clock::now();
        self.response.start_request();
        self.ready_status = None;
        self.synced = synced;
        self.extended = extended;
    }

    /// Whether more messages may be queued; bounds what one caller can make the entry hold.
    pub fn can_queue(&self) -> bool {
        self.outbound.len() < MAX_DATA_BYTES
    }

    /// Queues messages of the caller, with the `Parse` messages that they need on this slot connection.
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

    /// Queues messages of the entry that expect no completion of their own.
    pub fn queue_raw(&mut self, bytes: &[u8]) {
        self.outbound.extend_from_slice(bytes);
    }

    /// Sends queued bytes to the home as far as the credit allows. Drops them when the home is gone, which the next
    /// receive reports.
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
                .stream_endpoint
                .tx
                .try_send(StreamMessage::Data(self.id, data))
                .is_err()
            {
                self.outbound.clear();
            }
        }
    }

    /// Polls a home in this process; does nothing for a remote one.
    pub fn poll_home(&mut self, cx: &mut Context<'_>) {
        if let Some(local_home) = &mut self.local_home {
            local_home.poll(cx);
        }
    }

    /// Whether the home is in this process.
    pub const fn is_local(&self) -> bool {
        self.local_home.is_some()
    }

    /// Takes a message of the home without waiting for one.
    pub fn try_event(&self) -> Option<WakeEvent> {
        match self.stream_endpoint.rx.try_recv() {
            Ok(message) => Some(WakeEvent::Home(message)),
            Err(TryRecvError::Closed) => Some(WakeEvent::HomeGone),
            Err(TryRecvError::Empty) => None,
        }
    }

    /// Adds credit that the home granted.
    pub const fn add_credit(&mut self, bytes: u32) {
        self.send_credit = self.send_credit.saturating_add(bytes);
    }

    /// Counts consumed bytes of the home, and grants it new credit when enough have gathered.
    pub fn record_consumed(&mut self, bytes: usize) {
        self.uncredited_bytes += bytes as u32;
        if self.uncredited_bytes >= CREDIT_GRANT_BYTES {
            let grant = StreamMessage::Credit(self.id, std::mem::take(&mut self.uncredited_bytes));
            // A home that is gone needs no credit; the next receive reports its end.
            drop(self.stream_endpoint.tx.try_send(grant));
        }
    }

    /// Records that the home ended the stream, so that dropping it sends no `Abandon`.
    pub const fn mark_ended(&mut self) {
        self.ended = true;
    }
}

impl Drop for HomeStream {
    fn drop(&mut self) {
        if !self.ended {
            // A home that is gone has released its slot connection already.
            drop(self.stream_endpoint.tx.try_send(StreamMessage::Abandon(self.id)));
        }
    }
}

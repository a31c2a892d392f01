//! The entry's end of one stream, with its flow control.

use super::answer::Answer;
use super::session::Event;
use super::statements::{Expectations, Statements};
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
const CREDIT_STEP_BYTES: u32 = INITIAL_CREDIT_BYTES / 4;

/// An open stream. Dropping it before its end tells the home that the caller is gone.
#[derive(Debug)]
pub struct Exchange {
    /// Name.
    pub id: StreamId,
    /// Channels to and from the home.
    pub end: StreamEnd,
    /// Database that the stream runs on.
    pub database: Box<str>,
    /// The walk over the answer.
    pub answer: Answer,
    /// Completions that the answer still owes.
    pub expectations: Expectations,
    /// Status of a `ReadyForQuery` that is held back.
    pub ready: Option<u8>,
    /// Whether the last request sent makes the slot answer with `ReadyForQuery`.
    pub synced: bool,
    /// When the present request started.
    pub started: Time,
    /// Whether the present request has extended messages.
    pub extended: bool,
    pending: Vec<u8>,
    credit: u32,
    consumed: u32,
    ended: bool,
    local: Option<LocalHome>,
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

impl Exchange {
    /// A stream that was just opened.
    pub fn new(id: StreamId, end: StreamEnd, database: &str, local: Option<LocalHome>) -> Self {
        Self {
            id,
            end,
            database: database.into(),
            answer: Answer::default(),
            expectations: Expectations::default(),
            ready: None,
            synced: true,
            extended: false,
            started: clock::now(),
            pending: Vec::new(),
            credit: INITIAL_CREDIT_BYTES,
            consumed: 0,
            ended: false,
            local,
        }
    }

    /// Prepares for the next request.
    pub fn start(&mut self, synced: bool, extended: bool) {
        self.started = clock::now();
        self.answer.restart();
        self.ready = None;
        self.synced = synced;
        self.extended = extended;
    }

    /// Whether more messages may be queued.
    pub fn has_room(&self) -> bool {
        self.pending.len() < MAX_DATA_BYTES
    }

    /// Queues messages of the caller.
    ///
    /// # Errors
    ///
    /// When a message is malformed.
    pub fn queue(&mut self, frames: &[Frame], statements: &mut Statements) -> Result<(), FrameError> {
        for frame in frames {
            statements.forward(frame, &mut self.expectations, &mut self.pending)?;
        }
        Ok(())
    }

    /// Queues raw bytes.
    pub fn queue_raw(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Hands queued bytes to the home as far as the credit goes. Drops them when the home is gone, which the next
    /// receive tells.
    pub fn pump(&mut self) {
        while !self.pending.is_empty() && self.credit > 0 {
            let n = self.pending.len().min(MAX_DATA_BYTES).min(self.credit as usize);
            let data = if n == self.pending.len() {
                std::mem::take(&mut self.pending)
            } else {
                self.pending.drain(..n).collect()
            };
            self.credit -= n as u32;
            if self.end.tx.try_send(StreamMessage::Data(self.id, data)).is_err() {
                self.pending.clear();
            }
        }
    }

    /// Lets a home in this process run.
    pub fn poll_home(&mut self, cx: &mut Context<'_>) {
        if let Some(local) = &mut self.local {
            local.poll(cx);
        }
    }

    /// Whether the home is in this process.
    pub const fn is_local(&self) -> bool {
        self.local.is_some()
    }

    /// Takes a message of the home that is there.
    pub fn try_event(&self) -> Option<Event> {
        match self.end.rx.try_recv() {
            Ok(message) => Some(Event::Home(message)),
            Err(TryRecvError::Closed) => Some(Event::HomeGone),
            Err(TryRecvError::Empty) => None,
        }
    }

    /// The home consumed bytes.
    pub const fn add_credit(&mut self, bytes: u32) {
        self.credit = self.credit.saturating_add(bytes);
    }

    /// Bytes of the home were consumed.
    pub fn consume(&mut self, bytes: usize) {
        self.consumed += bytes as u32;
        if self.consumed >= CREDIT_STEP_BYTES {
            let credit = StreamMessage::Credit(self.id, std::mem::take(&mut self.consumed));
            // A home that is gone needs no credit; its end is seen by the next receive.
            drop(self.end.tx.try_send(credit));
        }
    }

    /// The home ended the stream.
    pub const fn set_ended(&mut self) {
        self.ended = true;
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.ended {
            // A home that is gone has given the slot connection up already.
            drop(self.end.tx.try_send(StreamMessage::Abandon(self.id)));
        }
    }
}

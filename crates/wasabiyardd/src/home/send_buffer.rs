//! Buffers answer bytes to the entry under the flow control of the stream.

use crate::channel::StreamEndpoint;
use bytes::BytesMut;
use wasabiyard_wire::{INITIAL_CREDIT_BYTES, MAX_DATA_BYTES, StreamId, StreamMessage};

/// Unsent answer bytes of a stream, and the credit that limits how many of them may be sent.
#[derive(Debug)]
pub struct SendBuffer {
    id: StreamId,
    buf: BytesMut,
    /// Number of further bytes that the entry is ready to receive.
    credit: usize,
}

impl SendBuffer {
    /// Creates an empty buffer with the initial credit of a stream.
    pub fn new(id: StreamId) -> Self {
        Self {
            id,
            buf: BytesMut::new(),
            credit: INITIAL_CREDIT_BYTES as usize,
        }
    }

    /// Appends answer bytes. They are sent by [`Self::send`].
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Adds credit for bytes that the entry has consumed.
    pub fn add_credit(&mut self, bytes: u32) {
        self.credit += bytes as usize;
    }

    /// Whether all bytes were sent.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Whether the unsent bytes fill a message.
    pub fn is_full(&self) -> bool {
        self.buf.len() >= MAX_DATA_BYTES
    }

    /// Sends as much as the credit allows.
    pub fn send(&mut self, endpoint: &StreamEndpoint) {
        while !self.buf.is_empty() && self.credit > 0 {
            let n = self.buf.len().min(self.credit).min(MAX_DATA_BYTES);
            self.credit -= n;
            let data = self.buf.split_to(n).to_vec();
            // A send fails only when the entry is gone; the next receive reports that.
            let _gone = endpoint.tx.try_send(StreamMessage::Data(self.id, data));
        }
    }
}

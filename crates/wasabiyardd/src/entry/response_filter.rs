//! Filters the backend messages of a response as its bytes pass through, without buffering message bodies.
//!
//! It withholds `ReadyForQuery`, which the session sends once it knows how the stream ended, and drops the completions
//! of messages that the entry injected, and requests for `COPY` data, which the entry refuses.

use super::prepared_statements::{CompletionOwner, PendingCompletions};
use bytes::BytesMut;

const HEADER_BYTES: usize = 5;
const PARSE_COMPLETE: u8 = b'1';
const CLOSE_COMPLETE: u8 = b'3';
const READY_FOR_QUERY: u8 = b'Z';
const COPY_IN_RESPONSE: u8 = b'G';
const COPY_BOTH_RESPONSE: u8 = b'W';

/// What one chunk of a response contained that the session acts on.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ChunkSummary {
    /// Status of a `ReadyForQuery` in the chunk: `I` (idle), `T` (in a block) or `E` (in a failed block).
    pub ready: Option<u8>,
    /// Whether the slot requested `COPY` data.
    pub copy_in: bool,
}

/// Incremental parser of message headers. Chunks may end anywhere, also within a header.
#[derive(Debug, Default)]
pub struct ResponseFilter {
    header: [u8; HEADER_BYTES],
    header_len: usize,
    body_remaining: usize,
    discard_body: bool,
    /// Whether any message was passed on since [`ResponseFilter::start_request`].
    forwarded: bool,
}

impl ResponseFilter {
    /// Whether any part of the response to the current request was passed on to the caller.
    pub const fn forwarded(&self) -> bool {
        self.forwarded
    }

    /// Whether the last message is complete, so that the entry may write a message of its own.
    pub const fn is_between_messages(&self) -> bool {
        self.header_len == 0
    }

    /// Resets the per-request state for the next request of the stream.
    pub const fn start_request(&mut self) {
        self.forwarded = false;
    }

    /// Filters one chunk of the response into `out`.
    pub fn feed(
        &mut self,
        mut data: &[u8],
        pending_completions: &mut PendingCompletions,
        out: &mut BytesMut,
    ) -> ChunkSummary {
        let mut summary = ChunkSummary::default();
        while !data.is_empty() {
            if self.header_len < HEADER_BYTES {
                data = self.read_header(data, pending_completions, out, &mut summary);
                continue;
            }
            let n = self.body_remaining.min(data.len());
            let (body, rest) = data.split_at(n);
            if self.header[0] == READY_FOR_QUERY {
                summary.ready = body.first().copied().or(summary.ready);
            } else if !self.discard_body {
                out.extend_from_slice(body);
            }
            self.body_remaining -= n;
            data = rest;
            self.finish_message();
        }
        summary
    }

    fn read_header<'a>(
        &mut self,
        data: &'a [u8],
        pending_completions: &mut PendingCompletions,
        out: &mut BytesMut,
        summary: &mut ChunkSummary,
    ) -> &'a [u8] {
        let n = (HEADER_BYTES - self.header_len).min(data.len());
        let (part, rest) = data.split_at(n);
        self.header[self.header_len..self.header_len + n].copy_from_slice(part);
        self.header_len += n;
        if self.header_len < HEADER_BYTES {
            return rest;
        }
        let [tag, length @ ..] = self.header;
        self.body_remaining = (u32::from_be_bytes(length) as usize).saturating_sub(4);
        self.discard_body = match tag {
            PARSE_COMPLETE => pending_completions.parse_completed() == CompletionOwner::Entry,
            CLOSE_COMPLETE => pending_completions.close_completed() == CompletionOwner::Entry,
            READY_FOR_QUERY => {
                pending_completions.batch_ended();
                true
            }
            COPY_IN_RESPONSE | COPY_BOTH_RESPONSE => {
                summary.copy_in = true;
                true
            }
            _ => false,
        };
        if !self.discard_body {
            self.forwarded = true;
            out.extend_from_slice(&self.header);
        }
        self.finish_message();
        rest
    }

    const fn finish_message(&mut self) {
        if self.header_len == HEADER_BYTES && self.body_remaining == 0 {
            self.header_len = 0;
        }
    }
}

//! Framing of `PostgreSQL` messages. A frame keeps the raw bytes, so that it can be forwarded unchanged.

use bytes::{Buf, Bytes, BytesMut};
use std::io;

/// Largest message accepted from a slot. A longer one is treated as a framing error.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
const HEADER_BYTES: usize = 5;

/// Tag of `ReadyForQuery`.
pub const READY_FOR_QUERY: u8 = b'Z';
/// Tag of `CommandComplete`.
pub const COMMAND_COMPLETE: u8 = b'C';
/// Tag of `ErrorResponse`.
pub const ERROR_RESPONSE: u8 = b'E';
/// Tag of `DataRow`.
pub const DATA_ROW: u8 = b'D';
/// Tag of `ParameterStatus`.
pub const PARAMETER_STATUS: u8 = b'S';
/// Tag of `NoticeResponse`.
pub const NOTICE_RESPONSE: u8 = b'N';

/// One whole message, with its tag and length.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame(Bytes);

impl Frame {
    /// The tag, which is the message type.
    pub fn tag(&self) -> u8 {
        self.0[0]
    }

    /// The message without tag and length.
    pub fn body(&self) -> &[u8] {
        &self.0[HEADER_BYTES..]
    }

    /// The raw message, with tag and length.
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }

    /// The transaction status of a `ReadyForQuery`: `I`, `T` or `E`.
    pub fn transaction_status(&self) -> Option<u8> {
        (self.tag() == READY_FOR_QUERY)
            .then(|| self.body().first().copied())
            .flatten()
    }

    /// The command tag of a `CommandComplete`, such as `INSERT 0 1`.
    pub fn command_tag(&self) -> Option<&str> {
        (self.tag() == COMMAND_COMPLETE)
            .then(|| std::str::from_utf8(self.body().strip_suffix(&[0])?).ok())
            .flatten()
    }

    /// The SQLSTATE of an `ErrorResponse`.
    pub fn sqlstate(&self) -> Option<&str> {
        if self.tag() != ERROR_RESPONSE {
            return None;
        }
        let field = self
            .body()
            .split(|b| *b == 0)
            .find(|f| f.first() == Some(&b'C'))?;
        std::str::from_utf8(&field[1..]).ok()
    }

    /// The text columns of a `DataRow`; `None` for NULL. Empty when the row is malformed.
    pub fn columns(&self) -> Vec<Option<String>> {
        let mut body = self.body();
        if self.tag() != DATA_ROW || body.len() < 2 {
            return Vec::new();
        }
        let count = body.get_u16();
        let mut columns = Vec::with_capacity(usize::from(count));
        for _ in 0..count {
            let Some(len) = body.try_get_i32().ok() else {
                return Vec::new();
            };
            if len < 0 {
                columns.push(None);
                continue;
            }
            let Some((value, rest)) = body.split_at_checked(len as usize) else {
                return Vec::new();
            };
            columns.push(Some(String::from_utf8_lossy(value).into_owned()));
            body = rest;
        }
        columns
    }
}

/// Cuts received bytes into frames.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    buf: BytesMut,
}

impl FrameBuffer {
    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes the next frame, if it was received completely.
    ///
    /// # Errors
    ///
    /// When the length of the next frame is impossible.
    pub fn pop_frame(&mut self) -> io::Result<Option<Frame>> {
        if self.buf.len() < HEADER_BYTES {
            return Ok(None);
        }
        let length = u32::from_be_bytes([self.buf[1], self.buf[2], self.buf[3], self.buf[4]]) as usize;
        if !(4..MAX_FRAME_BYTES).contains(&length) {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "impossible message length",
            ));
        }
        if self.buf.len() <= length {
            return Ok(None);
        }
        Ok(Some(Frame(self.buf.split_to(length + 1).freeze())))
    }

    /// Whether no bytes are left, not even of an incomplete frame.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

/// A simple `Query` message.
pub fn query(sql: &str) -> Vec<u8> {
    let mut buf = Vec::with_capacity(sql.len() + 6);
    buf.push(b'Q');
    buf.extend_from_slice(&(sql.len() as u32 + 5).to_be_bytes());
    buf.extend_from_slice(sql.as_bytes());
    buf.push(0);
    buf
}

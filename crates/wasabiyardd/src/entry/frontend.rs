//! Frontend messages (client to server, in the terms of the `PostgreSQL` protocol) as borrowed views.
//!
//! Input is untrusted: every length and text is checked before it is used.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Tag of `Query`, the simple query protocol.
pub const QUERY: u8 = b'Q';
/// Tag of `Parse`.
pub const PARSE: u8 = b'P';
/// Tag of `Bind`.
pub const BIND: u8 = b'B';
/// Tag of `Describe`.
pub const DESCRIBE: u8 = b'D';
/// Tag of `Execute`.
pub const EXECUTE: u8 = b'E';
/// Tag of `Close`.
pub const CLOSE: u8 = b'C';
/// Tag of `Flush`.
pub const FLUSH: u8 = b'H';
/// Tag of `Sync`.
pub const SYNC: u8 = b'S';
/// Tag of `Terminate`.
pub const TERMINATE: u8 = b'X';
/// Tag of `PasswordMessage`.
pub const PASSWORD: u8 = b'p';
/// Tag of `CopyData`.
pub const COPY_DATA: u8 = b'd';
/// Tag of `CopyDone`.
pub const COPY_DONE: u8 = b'c';
/// Tag of `CopyFail`.
pub const COPY_FAIL: u8 = b'f';

const HEADER_BYTES: usize = 5;

/// A message that breaks the protocol or a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The tag is not that of a frontend message.
    #[error("unknown message type {0}")]
    UnknownTag(u8),
    /// The length is outside of what the protocol allows.
    #[error("impossible message length")]
    InvalidLength,
    /// The message is longer than the limit; holds its length in bytes.
    #[error("the message has {0} bytes, more than [traffic] max_message allows")]
    TooLarge(usize),
    /// The body does not have the layout of its message type.
    #[error("malformed message body")]
    MalformedBody,
}

/// One whole message, with its tag and length.
#[derive(Debug, Clone)]
pub struct Frame(Bytes);

impl Frame {
    /// Takes the next whole message from `input`. `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// When the header is not valid, or the length exceeds `max_message` bytes. Message boundaries are lost then, so
    /// the connection has to be closed.
    pub fn take(input: &mut BytesMut, max_message: usize) -> Result<Option<Self>, FrameError> {
        let Some(header) = input.first_chunk::<HEADER_BYTES>() else {
            // A peer that speaks another protocol may never send four more bytes, so its first byte is checked now.
            return match input.first() {
                Some(tag) if !is_known(*tag) => Err(FrameError::UnknownTag(*tag)),
                _ => Ok(None),
            };
        };
        let [tag, length @ ..] = *header;
        let length = u32::from_be_bytes(length) as usize;
        if !is_known(tag) {
            return Err(FrameError::UnknownTag(tag));
        }
        if length < 4 {
            return Err(FrameError::InvalidLength);
        }
        if length > max_message {
            return Err(FrameError::TooLarge(length));
        }
        if input.len() < length + 1 {
            return Ok(None);
        }
        Ok(Some(Self(input.split_to(length + 1).freeze())))
    }

    /// Type of the message: one of the constants of this module.
    pub fn tag(&self) -> u8 {
        self.0[0]
    }

    /// The message without tag and length.
    pub fn body(&self) -> &[u8] {
        &self.0[HEADER_BYTES..]
    }

    /// The whole message as received.
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }

    /// The text of a `Query`.
    ///
    /// # Errors
    ///
    /// When the body is not exactly one string.
    pub fn query(&self) -> Result<&str, FrameError> {
        let (text, rest) = cstring(self.body())?;
        if rest.is_empty() {
            Ok(text)
        } else {
            Err(FrameError::MalformedBody)
        }
    }

    /// Statement name and query text of a `Parse`.
    ///
    /// # Errors
    ///
    /// When the body is malformed.
    pub fn parse(&self) -> Result<(&str, &str), FrameError> {
        let (name, rest) = cstring(self.body())?;
        let (text, rest) = cstring(rest)?;
        let (count, types) = rest.split_first_chunk().ok_or(FrameError::MalformedBody)?;
        if types.len() == usize::from(u16::from_be_bytes(*count)) * 4 {
            Ok((name, text))
        } else {
            Err(FrameError::MalformedBody)
        }
    }

    /// Portal name and statement name of a `Bind`. The parameters are not checked; the slot does that.
    ///
    /// # Errors
    ///
    /// When the names are malformed.
    pub fn bind(&self) -> Result<(&str, &str), FrameError> {
        let (portal, rest) = cstring(self.body())?;
        let (statement, _parameters) = cstring(rest)?;
        Ok((portal, statement))
    }

    /// Kind (`S` for a statement, `P` for a portal) and name in a `Describe` or `Close`.
    ///
    /// # Errors
    ///
    /// When the body is malformed.
    pub fn target(&self) -> Result<(u8, &str), FrameError> {
        let (kind, rest) = self.body().split_first().ok_or(FrameError::MalformedBody)?;
        let (name, rest) = cstring(rest)?;
        if rest.is_empty() && matches!(*kind, b'S' | b'P') {
            Ok((*kind, name))
        } else {
            Err(FrameError::MalformedBody)
        }
    }

    /// Portal name of an `Execute`.
    ///
    /// # Errors
    ///
    /// When the body is malformed.
    pub fn execute(&self) -> Result<&str, FrameError> {
        let (portal, rest) = cstring(self.body())?;
        if rest.len() == 4 {
            Ok(portal)
        } else {
            Err(FrameError::MalformedBody)
        }
    }
}

/// Reads a string that ends with a zero byte. Returns it and the bytes after the zero.
///
/// # Errors
///
/// When the zero byte is missing or the string is not UTF-8.
pub fn cstring(buf: &[u8]) -> Result<(&str, &[u8]), FrameError> {
    let end = buf
        .iter()
        .position(|b| *b == 0)
        .ok_or(FrameError::MalformedBody)?;
    let text = std::str::from_utf8(&buf[..end]).map_err(|_e| FrameError::MalformedBody)?;
    Ok((text, &buf[end + 1..]))
}

const fn is_known(tag: u8) -> bool {
    matches!(
        tag,
        QUERY
            | PARSE
            | BIND
            | DESCRIBE
            | EXECUTE
            | CLOSE
            | FLUSH
            | SYNC
            | TERMINATE
            | PASSWORD
            | COPY_DATA
            | COPY_DONE
            | COPY_FAIL
    )
}

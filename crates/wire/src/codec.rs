//! CBOR encoding of messages.

use crate::Message;
use thiserror::Error;

/// A frame that cannot be decoded as a [`Message`].
#[derive(Debug, Error)]
#[error("the frame is not a valid wasabiyard message")]
pub struct DecodeError(#[from] ciborium::de::Error<std::io::Error>);

/// Encodes a message as the payload of one binary frame.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut buf = Vec::with_capacity(128);
    ciborium::into_writer(message, &mut buf).expect("writing to a vector cannot fail");
    buf
}

/// Decodes the payload of one binary frame.
///
/// # Errors
///
/// [`DecodeError`] when the frame is truncated or not a valid message.
pub fn decode(frame: &[u8]) -> Result<Message, DecodeError> {
    Ok(ciborium::from_reader(frame)?)
}

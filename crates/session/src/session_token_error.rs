//! Errors of decoding a session token.

use thiserror::Error;

/// Why a session token was rejected. Callers receive the message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SessionTokenError {
    /// The token is longer than [`crate::MAX_SESSION_TOKEN_BYTES`].
    #[error("the session token is too long")]
    TooLong,
    /// The token is not valid base64, or its content is not the expected CBOR.
    #[error("the session token is malformed")]
    Malformed,
    /// The authentication code does not match.
    #[error("the session token is not authentic")]
    NotAuthentic,
    /// The token was issued to another organisation.
    #[error("the session token belongs to another organisation")]
    OtherOrganisation,
}

//! The session token that a caller presents to restore the consistency guarantees of its session.

use crate::{SessionId, SessionTokenError};
use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::collections::BTreeMap;
use wasabiyard_model::LogPoint;

/// Maximum length of an encoded token that is accepted, in bytes. Bounds the memory that one caller can occupy; a token
/// takes about 60 bytes for each database that the session has written to.
pub const MAX_SESSION_TOKEN_BYTES: usize = 8 * 1024;
/// Length of the HMAC-SHA256 at the end of the decoded token.
const MAC_BYTES: usize = 32;

/// The last write of a session in each database, which its later reads must see.
///
/// The encoded form is the URL-safe base64 of the CBOR content followed by its HMAC-SHA256, under a key that only the
/// instances know. A caller can therefore store the token and present it to any instance, but can neither change it nor
/// use a token of another organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionToken {
    organisation: String,
    session: SessionId,
    points: BTreeMap<String, LogPoint>,
}

impl SessionToken {
    /// The token of a session that has not written anything yet.
    pub fn empty(organisation: &str, session: SessionId) -> Self {
        Self {
            organisation: organisation.to_owned(),
            session,
            points: BTreeMap::new(),
        }
    }

    /// Decodes a token and verifies that it is authentic and belongs to `organisation`.
    ///
    /// # Errors
    ///
    /// See [`SessionTokenError`]. The content of a token is not parsed before its authentication code is verified.
    pub fn decode(text: &str, organisation: &str, key: &[u8]) -> Result<Self, SessionTokenError> {
        if text.len() > MAX_SESSION_TOKEN_BYTES {
            return Err(SessionTokenError::TooLong);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_e| SessionTokenError::Malformed)?;
        let content_len = bytes
            .len()
            .checked_sub(MAC_BYTES)
            .ok_or(SessionTokenError::Malformed)?;
        let (content, tag) = bytes.split_at(content_len);
        mac(key, content)
            .verify_slice(tag)
            .map_err(|_e| SessionTokenError::NotAuthentic)?;
        let token: Self = ciborium::from_reader(content).map_err(|_e| SessionTokenError::Malformed)?;
        if token.organisation != organisation {
            return Err(SessionTokenError::OtherOrganisation);
        }
        Ok(token)
    }

    /// Encodes the token and signs it with `key`.
    pub fn encode(&self, key: &[u8]) -> String {
        let mut bytes = Vec::with_capacity(128);
        ciborium::into_writer(self, &mut bytes).expect("writing to memory cannot fail");
        let tag = mac(key, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&tag);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Id of the session that the token belongs to.
    pub const fn session(&self) -> SessionId {
        self.session
    }

    /// The log point that reads of the session must see in a database. `None` if the session has not written to it.
    pub fn point(&self, database: &str) -> Option<LogPoint> {
        self.points.get(database).copied()
    }

    /// Records an acknowledged commit. The point of a database never decreases: the log at an acknowledged commit
    /// contains all acknowledged commits of earlier terms, so the greater of two points covers both.
    pub fn advance(&mut self, database: &str, commit: LogPoint) {
        match self.points.get_mut(database) {
            Some(point) => *point = (*point).max(commit),
            None => {
                self.points.insert(database.to_owned(), commit);
            }
        }
    }
}

fn mac(key: &[u8], content: &[u8]) -> Hmac<Sha256> {
    Hmac::<Sha256>::new_from_slice(key)
        .expect("HMAC takes keys of any length")
        .chain_update(content)
}

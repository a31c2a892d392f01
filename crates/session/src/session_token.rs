//! The session token.

use crate::{SessionId, SessionTokenError};
use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::collections::BTreeMap;
use wasabiyard_model::LogPoint;

/// Longest token that is read, in bytes of text. Bounds what one caller can make an entry hold; a token has about 60
/// bytes for each database that the session wrote to.
pub const MAX_SESSION_TOKEN_BYTES: usize = 8 * 1024;
const MAC_BYTES: usize = 32;

/// What a session has written and must see again, per database.
///
/// As text it is base64 of the CBOR content followed by HMAC-SHA256 of that content, under a key that only instances
/// know. A caller can therefore keep and move the token, but not change it or use the token of another organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionToken {
    organisation: String,
    session: SessionId,
    points: BTreeMap<String, LogPoint>,
}

impl SessionToken {
    /// The token of a session that has not written anything.
    pub fn empty(organisation: &str, session: SessionId) -> Self {
        Self {
            organisation: organisation.to_owned(),
            session,
            points: BTreeMap::new(),
        }
    }

    /// Reads a token and checks that it is authentic and belongs to `organisation`.
    ///
    /// # Errors
    ///
    /// See [`SessionTokenError`]; nothing of the token is used then.
    pub fn decode(text: &str, organisation: &str, key: &[u8]) -> Result<Self, SessionTokenError> {
        if text.len() > MAX_SESSION_TOKEN_BYTES {
            return Err(SessionTokenError::TooLong);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_e| SessionTokenError::Malformed)?;
        let split = bytes
            .len()
            .checked_sub(MAC_BYTES)
            .ok_or(SessionTokenError::Malformed)?;
        let (content, code) = bytes.split_at(split);
        mac(key, content)
            .verify_slice(code)
            .map_err(|_e| SessionTokenError::NotAuthentic)?;
        let token: Self = ciborium::from_reader(content).map_err(|_e| SessionTokenError::Malformed)?;
        if token.organisation != organisation {
            return Err(SessionTokenError::OtherOrganisation);
        }
        Ok(token)
    }

    /// Writes the token as text.
    pub fn encode(&self, key: &[u8]) -> String {
        let mut bytes = Vec::with_capacity(128);
        ciborium::into_writer(self, &mut bytes).expect("writing to memory cannot fail");
        let code = mac(key, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&code);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// The session that the token belongs to.
    pub const fn session(&self) -> SessionId {
        self.session
    }

    /// The point that the session must see in a database; `None` when it has not written there.
    pub fn point(&self, database: &str) -> Option<LogPoint> {
        self.points.get(database).copied()
    }

    /// Records an acknowledged commit. A point never goes back: acknowledged commits of a later term hold all
    /// acknowledged commits of earlier terms, so the greater of two points covers both.
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

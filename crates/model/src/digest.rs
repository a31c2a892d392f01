//! Salted digests of the organisations' API keys.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use subtle::ConstantTimeEq;

/// A salted SHA-256 digest of an API key: `sha256(salt || key)`. The key itself is never stored.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest {
    salt: Vec<u8>,
    digest: [u8; 32],
}

impl KeyDigest {
    /// Computes the digest of `key` with `salt`.
    pub fn compute(salt: &[u8], key: &[u8]) -> Self {
        let digest = Sha256::new()
            .chain_update(salt)
            .chain_update(key)
            .finalize()
            .into();
        Self {
            salt: salt.to_vec(),
            digest,
        }
    }

    /// Parses `SALT_HEX:SHA256_HEX`. Returns `None` when the text does not have that form or the salt is shorter than
    /// 8 bytes.
    pub fn parse(text: &str) -> Option<Self> {
        let (salt, digest) = text.trim().split_once(':')?;
        let salt = hex::decode(salt).ok().filter(|s| s.len() >= 8)?;
        let digest = hex::decode(digest).ok()?.try_into().ok()?;
        Some(Self { salt, digest })
    }

    /// Whether `key` has this digest. The comparison takes constant time for keys of the same length.
    pub fn matches(&self, key: &[u8]) -> bool {
        Self::compute(&self.salt, key).digest.ct_eq(&self.digest).into()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", hex::encode(&self.salt), hex::encode(self.digest))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

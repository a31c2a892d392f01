//! Identifiers of sessions.

use rand::Rng;
use serde::{Deserialize, Serialize};

/// Identifies a session. Drawn at random, so that instances can create ids without coordination.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionId(u64);

impl SessionId {
    /// Draws a new id.
    pub fn random<R>(rng: &mut R) -> Self
    where
        R: Rng,
    {
        Self(rng.random())
    }

    /// The id as a number, for logging.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

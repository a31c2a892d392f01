//! Versions of documents in the object store of the platform.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The version of a document in the platform's object API. Each change of a document increases its version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

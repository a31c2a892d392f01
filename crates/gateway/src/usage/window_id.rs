//! Numbers of windows.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of a window. Window `k` begins `k` window lengths after the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WindowId(pub u64);

impl WindowId {
    /// The window `count` windows later.
    #[must_use]
    pub const fn plus(self, count: u64) -> Self {
        Self(self.0.saturating_add(count))
    }

    /// The window `count` windows earlier.
    #[must_use]
    pub const fn minus(self, count: u64) -> Self {
        Self(self.0.saturating_sub(count))
    }
}

impl fmt::Display for WindowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

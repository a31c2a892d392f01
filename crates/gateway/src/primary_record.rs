//! The record in the store that says which backend server leads a service.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Where a service stands in a change of its primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Leadership {
    /// The primary takes work.
    Serving {
        /// Id of the primary.
        primary: Arc<str>,
    },
    /// The primary takes no more work and its successor is not chosen.
    Moving {
        /// The primary that is replaced.
        from: Arc<str>,
    },
    /// The promotion of the successor is ordered.
    Promoting {
        /// The primary that is replaced.
        from: Arc<str>,
        /// Its successor.
        candidate: Arc<str>,
    },
}

/// Leadership of one service. The epoch rises with each change, so that a late message is known as late.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    /// Number of changes so far.
    pub epoch: u64,
    /// The state.
    pub leadership: Leadership,
}

impl PrimaryRecord {
    /// The first record of a service.
    pub const fn first(primary: Arc<str>) -> Self {
        Self {
            epoch: 1,
            leadership: Leadership::Serving { primary },
        }
    }

    /// The record that follows this one.
    #[must_use]
    pub const fn followed_by(&self, leadership: Leadership) -> Self {
        Self {
            epoch: self.epoch + 1,
            leadership,
        }
    }

    /// The primary that takes work, if there is one.
    pub fn serving(&self) -> Option<&Arc<str>> {
        match &self.leadership {
            Leadership::Serving { primary } => Some(primary),
            Leadership::Moving { .. } | Leadership::Promoting { .. } => None,
        }
    }
}

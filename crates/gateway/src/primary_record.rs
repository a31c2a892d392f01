//! The record in the store that names the primary of a service.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// State of a service's primary, or of its replacement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Leadership {
    /// The primary accepts work.
    Serving {
        /// Id of the primary.
        primary: Arc<str>,
    },
    /// The primary must get no more work, and no candidate has been chosen yet.
    Moving {
        /// The primary that is replaced.
        from: Arc<str>,
    },
    /// A candidate has been chosen, and its promotion is ordered.
    Promoting {
        /// The primary that is replaced.
        from: Arc<str>,
        /// Id of the backend server that is to become the primary.
        candidate: Arc<str>,
    },
}

/// Leadership of one service. The epoch rises with each change, so that a message about an older state can be ignored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    /// Number of changes of the record, starting at 1.
    pub epoch: u64,
    /// State of the primary as of this epoch.
    pub leadership: Leadership,
}

impl PrimaryRecord {
    /// The first record of a service, with a serving primary.
    pub const fn first(primary: Arc<str>) -> Self {
        Self {
            epoch: 1,
            leadership: Leadership::Serving { primary },
        }
    }

    /// The next record of the service, with an epoch higher by one.
    #[must_use]
    pub const fn followed_by(&self, leadership: Leadership) -> Self {
        Self {
            epoch: self.epoch + 1,
            leadership,
        }
    }

    /// Id of the primary; `None` while it is being replaced.
    pub fn serving(&self) -> Option<&Arc<str>> {
        match &self.leadership {
            Leadership::Serving { primary } => Some(primary),
            Leadership::Moving { .. } | Leadership::Promoting { .. } => None,
        }
    }
}

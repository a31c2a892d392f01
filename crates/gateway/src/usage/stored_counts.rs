//! Counts that an instance leaves in the store, because the holder of the failover lease does not receive its messages.

use super::WindowCounts;
use serde::{Deserialize, Serialize};
use wasabiyard_model::Incarnation;

/// Final counts of one process that the holder has not acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCounts {
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Counts by window, oldest first.
    pub windows: Vec<WindowCounts>,
}

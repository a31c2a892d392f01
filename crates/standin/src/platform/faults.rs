//! Faults that tests inject into the platform stand-in while it runs.

use serde::{Deserialize, Serialize};

/// The injected faults. `POST /faults` replaces the fields that its body names and keeps the others.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// All API calls fail with status 503, waiting watches included.
    pub outage: bool,
    /// Delay of each response, in milliseconds.
    pub slow_ms: u64,
    /// Probability, 0 to 1, that the response to a write is dropped after the write was handled.
    pub lost_answers: f64,
    /// Age of the list of instances that readers get, in milliseconds; at most 10 minutes have an effect.
    pub listing_lag_ms: u64,
    /// Rate limit of writes a second, over all clients.
    pub writes_per_second: u32,
    /// Rate limit of reads and watches a second, over all clients.
    pub reads_per_second: u32,
}

impl Default for PlatformFaults {
    fn default() -> Self {
        Self {
            outage: false,
            slow_ms: 0,
            lost_answers: 0.0,
            listing_lag_ms: 0,
            writes_per_second: 400,
            reads_per_second: 2_000,
        }
    }
}

impl PlatformFaults {
    /// Returns these faults with the fields that the JSON object `changes` names replaced.
    ///
    /// # Errors
    /// When `changes` is no JSON object, or a value has the wrong type.
    pub fn with_changes(self, changes: &[u8]) -> Result<Self, serde_json::Error> {
        let changes: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(changes)?;
        let mut fields = serde_json::to_value(self)?;
        for (name, value) in changes {
            fields[name] = value;
        }
        serde_json::from_value(fields)
    }
}

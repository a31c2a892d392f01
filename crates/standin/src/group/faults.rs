//! Faults that tests inject into a slot while it runs.

use serde::{Deserialize, Serialize};

/// The injected faults of one slot. `POST /faults` replaces the fields that its body names and keeps the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is set on its own, beside any of the others"
)]
pub struct SlotFaults {
    /// The slot handles and sends nothing and does not replicate, as a process stopped by SIGSTOP.
    pub freeze: bool,
    /// Open connections are closed, new ones are closed at once, and the slot does not replicate. Its data is kept.
    pub down: bool,
    /// The slot does not replicate with the others, but still serves its clients.
    pub partition: bool,
    /// Delay before buffered output is sent to a client, in milliseconds.
    pub late_ms: u64,
    /// Replication lag: age that a record must have before this slot receives it, in milliseconds.
    pub lag_ms: u64,
    /// Apply lag: time from receiving a record to applying it, in milliseconds.
    pub apply_lag_ms: u64,
    /// Highest number of logged-in connections, 0 for no limit. Further logins fail with SQLSTATE 53300.
    pub cap: u32,
    /// Duration of a login, in milliseconds.
    pub connect_ms: u64,
    /// A counter. Each increase makes all open connections unresponsive for good: the slot reads and discards their
    /// input. New connections are not affected.
    pub silence: u64,
    /// Each output is sent a second time, in front of the next output on its connection.
    pub repeat: bool,
}

impl SlotFaults {
    /// Whether this slot can exchange records with others.
    pub(crate) const fn can_replicate(&self) -> bool {
        !(self.freeze || self.down || self.partition)
    }

    /// Returns these faults with the fields that `changes` names replaced. `"silence": true` increments the counter.
    ///
    /// # Errors
    /// When a value has the wrong type.
    pub fn with_changes(
        self,
        changes: &serde_json::Map<String, serde_json::Value>,
    ) -> Result<Self, serde_json::Error> {
        let mut fields = serde_json::to_value(self)?;
        for (name, value) in changes {
            fields[name] = if name == "silence" && value.as_bool() == Some(true) {
                (self.silence + 1).into()
            } else {
                value.clone()
            };
        }
        serde_json::from_value(fields)
    }
}

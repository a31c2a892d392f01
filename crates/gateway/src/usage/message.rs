//! Messages between instances about usage.

use super::{FleetTime, UnixTime, WindowId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wasabiyard_model::Time;

/// Sent by each instance to the holder of the failover lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageMessage {
    /// When it was sent, on the clock of the sender; the response repeats it.
    #[serde(rename = "at")]
    pub sent: Time,
    /// Time of day of the sender.
    pub wall: UnixTime,
    /// Newest window that the sender knows to be recorded.
    #[serde(rename = "rec")]
    pub recorded: Option<WindowId>,
    /// Counts of one window; `None` while the sender does not know the time.
    #[serde(rename = "win")]
    pub counts: Option<WindowCounts>,
}

/// Counts of an instance in one window, or a part of them that fits a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    #[serde(rename = "id")]
    pub window: WindowId,
    /// First window in which the sending process has run.
    pub since: WindowId,
    /// Number of organisations in all parts of the final counts; `None` while counts may still rise.
    #[serde(rename = "of")]
    pub organisations: Option<u32>,
    /// Operations since the start of the window.
    #[serde(rename = "n")]
    pub counts: Vec<(Arc<str>, u64)>,
}

/// Sent by the holder of the failover lease in response to a [`UsageMessage`], and unasked to instances whose counts it lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageStatus {
    /// Fencing token of the holder, by which the newest holder is known.
    pub fence: u64,
    /// Newest window whose report is recorded in the store. Counts up to it are no longer needed.
    #[serde(rename = "rec")]
    pub recorded: Option<WindowId>,
    /// The time of the fleet.
    #[serde(rename = "t")]
    pub time: Option<FleetTime>,
    /// What was received.
    #[serde(rename = "re")]
    pub receipt: Option<UsageReceipt>,
}

/// Acknowledges a [`UsageMessage`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReceipt {
    /// When the message was sent, on the clock of its sender.
    #[serde(rename = "at")]
    pub sent: Time,
    /// The window of its counts, if the holder has all parts of the final ones.
    #[serde(rename = "id")]
    pub complete: Option<WindowId>,
}

//! Priority classes of requests.

use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// Priority of the requests of a route when connections to backend servers or rate tokens are scarce. A higher
/// priority compares as less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PriorityClass {
    /// Highest priority, for requests such as bookings, settlements and renewals.
    Critical,
    /// The default.
    Normal,
    /// Lowest priority, for requests that can be delayed, such as reports.
    Background,
}

impl FromStr for PriorityClass {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "critical" => Ok(Self::Critical),
            "normal" => Ok(Self::Normal),
            "background" => Ok(Self::Background),
            _ => Err(()),
        }
    }
}

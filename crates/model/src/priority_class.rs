//! Priority classes.

use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// Priority class of a route for scarce connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PriorityClass {
    /// Bookings, settlements, renewals.
    Critical,
    /// Everything that is not stated otherwise.
    Normal,
    /// Reports that may lag.
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

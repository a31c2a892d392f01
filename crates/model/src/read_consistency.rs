//! How old the data of a read may be.

use crate::duration::parse_duration;
use std::str::FromStr;
use std::time::Duration;

/// How old the data may be that a read returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadConsistency {
    /// At least the session's own writes.
    ReadYourWrites,
    /// Data that is at most this old.
    BoundedStaleness(Duration),
}

impl FromStr for ReadConsistency {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        if text == "read-your-writes" {
            return Ok(Self::ReadYourWrites);
        }
        let age = text.strip_prefix("age ").and_then(parse_duration).ok_or(())?;
        Ok(Self::BoundedStaleness(age))
    }
}

//! Consistency levels of reads.

use crate::duration::parse_duration;
use std::str::FromStr;
use std::time::Duration;

/// The consistency that a route requires of its reads. The manifest gives it as `tolerance`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadConsistency {
    /// A read sees at least the writes of its own session.
    ReadYourWrites,
    /// A read may return data that is at most this old.
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

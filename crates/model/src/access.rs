//! The access mode of a route.

use std::str::FromStr;

/// Whether the requests of a route may change data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Requests only read, so a replica may serve them.
    Read,
    /// Requests may write, so only the primary serves them.
    Write,
}

impl FromStr for Access {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "read" => Ok(Self::Read),
            "write" => Ok(Self::Write),
            _ => Err(()),
        }
    }
}

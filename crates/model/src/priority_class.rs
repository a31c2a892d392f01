//! Priority classes of requests.

use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// Priority of the requests of a route when connections to backend servers or rate tokens are scarce: the rank of the
/// route's priority among all priorities in use. A higher priority compares as less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "u8", into = "u8")]
pub struct PriorityClass(u8);

impl PriorityClass {
    /// Number of classes that are told apart.
    pub const COUNT: usize = 8;
    /// Highest priority, for requests such as bookings, settlements and renewals.
    pub const CRITICAL: Self = Self(0);
    /// The default of a manifest.
    pub const NORMAL: Self = Self(1);
    /// Lowest priority in a manifest, for requests that can be delayed, such as reports.
    pub const BACKGROUND: Self = Self(2);

    /// The class of a rank, 0 for the highest priority. Ranks beyond [`Self::COUNT`] share the last class.
    pub const fn from_rank(rank: usize) -> Self {
        if rank < Self::COUNT {
            Self(rank as u8)
        } else {
            Self(Self::COUNT as u8 - 1)
        }
    }

    /// Number of classes of a higher priority; less than [`Self::COUNT`].
    pub const fn rank(self) -> usize {
        self.0 as usize
    }

    /// Whether no other class has a higher priority.
    pub const fn is_most_urgent(self) -> bool {
        self.0 == 0
    }

    /// All classes, the highest priority first.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..Self::COUNT).map(Self::from_rank)
    }
}

impl From<u8> for PriorityClass {
    fn from(rank: u8) -> Self {
        Self::from_rank(rank.into())
    }
}

impl From<PriorityClass> for u8 {
    fn from(class: PriorityClass) -> Self {
        class.0
    }
}

impl FromStr for PriorityClass {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "critical" => Ok(Self::CRITICAL),
            "normal" => Ok(Self::NORMAL),
            "background" => Ok(Self::BACKGROUND),
            _ => Err(()),
        }
    }
}

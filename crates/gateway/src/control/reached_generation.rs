//! How far a fact about the generations of the store has been recorded.
//!
//! The record of the failover lease carries such facts from holder to holder. A fact that holds for one generation does not
//! hold for the next, and records of older builds say nothing about it.

use serde::{Deserialize, Serialize};
use wasabiyard_platform::Generation;

/// Number that is no generation.
const NO_GENERATION: u64 = u64::MAX;

/// Newest generation for which a fact is recorded. `None` in records of builds that did not know of restores; the fact
/// counts as recorded for the present generation then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReachedGeneration(Option<u64>);

impl ReachedGeneration {
    /// Before the first record.
    pub const NONE: Self = Self(Some(NO_GENERATION));

    /// Creates one that covers `generation` and no other.
    pub const fn at(generation: Generation) -> Self {
        Self(Some(generation.restores()))
    }

    /// Whether the fact is recorded for `generation`.
    pub fn covers(self, generation: Generation) -> bool {
        self.0.is_none_or(|reached| reached == generation.restores())
    }

    /// What the next record states at `generation`; `holds` is whether its writer knows the fact to hold.
    #[must_use]
    pub fn next(self, generation: Generation, holds: bool) -> Self {
        if holds || self.covers(generation) {
            Self::at(generation)
        } else {
            self
        }
    }
}

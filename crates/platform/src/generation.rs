//! Generations of a store that may be restored from a copy.
//!
//! After a restore the store continues from an older revision and assigns the numbers since then again. Revisions and
//! versions must never go back or repeat, so they consist of the generation, which counts the restores, in the high bits
//! and of the store's number in the low ones. What was read before a restore is then older than all that is read after it.

/// Bits of a revision that hold the store's number: enough for thousands of writes a second over a century.
const NUMBER_BITS: u32 = 44;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
const MAX_GENERATION: u64 = u64::MAX >> NUMBER_BITS;
/// Bits of a counter that the product keeps in the store below those for the generation.
const COUNTER_BITS: u32 = 32;

/// Number of restores of the store before a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Generation(u64);

impl Generation {
    /// The generation after `restores` restores. `None` when the number is too large for a revision.
    pub const fn new(restores: u64) -> Option<Self> {
        if restores > MAX_GENERATION {
            return None;
        }
        Some(Self(restores))
    }

    /// The generation in which a revision was read.
    pub const fn of(revision: u64) -> Self {
        Self(revision >> NUMBER_BITS)
    }

    /// The number of restores.
    pub const fn restores(self) -> u64 {
        self.0
    }

    /// The revision with the store's `number` in this generation. `None` when the number is too large.
    pub const fn revision(self, number: u64) -> Option<u64> {
        if number > MAX_NUMBER {
            return None;
        }
        Some((self.0 << NUMBER_BITS) | number)
    }

    /// The store's number of a revision.
    pub const fn number_of(revision: u64) -> u64 {
        revision & MAX_NUMBER
    }

    /// A value above all that a counter in the store had in earlier generations, also those that the store has lost.
    pub const fn counter_floor(self) -> u64 {
        self.0 << COUNTER_BITS
    }
}

//! What an instance knows of restores of the store.
//!
//! A restored store has forgotten the last seconds: registrations, changes of primaries, withdrawn keys. Its records prove
//! nothing until the holder of the failover lease has confirmed the new generation. The holder does so when it has written
//! the primary records again. It knows them at once if no other process can have held the lease, and otherwise when every
//! view lease from before the restore has expired and the instances have reported what they know. No primary is replaced
//! before that time.

use super::instance_registry::VIEW_LEASE_MARGIN;
use crate::VIEW_LEASE;
use std::time::Duration;
use wasabiyard_model::{Time, Version};
use wasabiyard_platform::Generation;

/// Time after a restore in which operators have written again what the store has lost of their configuration, for an
/// instance that remembers a configuration from before and so notices most losses itself.
const CONFIGURATION_REWRITE_TIME: Duration = Duration::from_secs(1);
/// The same for an instance that has started since.
const CONFIGURATION_REWRITE_TIME_WITHOUT_MEMORY: Duration = Duration::from_secs(2);

/// The generation of the records that an instance has, and since when.
#[derive(Debug, Clone, Default)]
pub struct StoreGeneration {
    /// The first one that this process saw; `None` before the first read.
    first: Option<Generation>,
    current: Generation,
    observed_at: Time,
}

impl StoreGeneration {
    /// Applies the revision of a read of the records. Returns whether it is the first of a newer generation.
    pub fn on_read(&mut self, revision: u64, now: Time) -> bool {
        let generation = Generation::of(revision);
        if self.first.is_some() && generation <= self.current {
            return false;
        }
        let restored = self.first.is_some();
        self.first.get_or_insert(generation);
        self.current = generation;
        self.observed_at = now;
        restored
    }

    /// The newest generation.
    pub const fn current(&self) -> Generation {
        self.current
    }

    /// Whether this process has seen a restore.
    pub fn has_seen_restore(&self) -> bool {
        self.first.is_some_and(|first| first < self.current)
    }

    /// Whether every view lease that was granted by reads of an earlier generation has expired at `now`.
    pub fn has_settled(&self, now: Time) -> bool {
        now > self.observed_at + VIEW_LEASE + VIEW_LEASE_MARGIN
    }

    /// Whether a configuration that was read at `revision` shows what operators have written, although the generation has
    /// not settled. `known` is the newest version that this instance has.
    pub fn has_rewritten_configuration(
        &self,
        revision: u64,
        read: Version,
        known: Option<Version>,
        now: Time,
    ) -> bool {
        let rewrite_time = if self.has_seen_restore() {
            CONFIGURATION_REWRITE_TIME
        } else {
            CONFIGURATION_REWRITE_TIME_WITHOUT_MEMORY
        };
        Generation::of(revision) == self.current
            && now > self.observed_at + rewrite_time
            && known.is_none_or(|known| known <= read)
    }
}

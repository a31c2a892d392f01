//! Call counters, which tests and the bench read at `GET /calls`.

use serde::Serialize;

/// Kind of an API call, which selects its counter and its rate limiter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Reads an object, a list of objects or the list of instances.
    Read,
    /// Waits for changes. Counts as one call, however long it waits.
    Watch,
    /// Writes or deletes an object.
    Write,
}

/// Calls since the process started, rejected ones included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Number of [`CallKind::Read`] calls.
    pub reads: u64,
    /// Number of [`CallKind::Watch`] calls.
    pub watches: u64,
    /// Number of [`CallKind::Write`] calls.
    pub writes: u64,
    /// Watches that are waiting at present.
    pub waiting: u64,
    /// Calls that were rejected with status 429 by a rate limiter.
    pub refused: u64,
    /// Writes whose response was dropped, see [`PlatformFaults::lost_answers`](super::PlatformFaults::lost_answers).
    pub lost_answers: u64,
}

impl CallCounts {
    /// Increments the counter of `kind`.
    pub const fn count(&mut self, kind: CallKind) {
        match kind {
            CallKind::Read => self.reads += 1,
            CallKind::Watch => self.watches += 1,
            CallKind::Write => self.writes += 1,
        }
    }
}

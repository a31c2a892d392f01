//! Counters of the calls that an instance makes to the store, which charges for each.

use std::sync::atomic::{AtomicU64, Ordering};

/// What a call to the store is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCallKind {
    /// A linearizable read.
    Read,
    /// A read that may reflect an older revision.
    StaleRead,
    /// Creation or change of the entry of this instance in the registry.
    Registration,
    /// Acquisition, renewal or release of the failover lease.
    Lease,
    /// A primary record, or the entry of another instance, written by the holder of the failover lease.
    Failover,
    /// The last usage report, read or written by the holder of the failover lease.
    Usage,
}

impl StoreCallKind {
    /// All kinds, in the order of their indices.
    pub const ALL: [Self; 6] = [
        Self::Read,
        Self::StaleRead,
        Self::Registration,
        Self::Lease,
        Self::Failover,
        Self::Usage,
    ];

    /// Value of the label `kind` of the metric.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::StaleRead => "stale_read",
            Self::Registration => "registration",
            Self::Lease => "lease",
            Self::Failover => "failover",
            Self::Usage => "usage",
        }
    }
}

/// Calls by kind since the start of the process. The control thread counts and the metrics read.
#[derive(Debug, Default)]
pub struct StoreCalls {
    counts: [AtomicU64; StoreCallKind::ALL.len()],
}

impl StoreCalls {
    /// Counts one call.
    pub fn on_call(&self, kind: StoreCallKind) {
        self.counts[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Calls of one kind.
    pub fn count(&self, kind: StoreCallKind) -> u64 {
        self.counts[kind as usize].load(Ordering::Relaxed)
    }
}

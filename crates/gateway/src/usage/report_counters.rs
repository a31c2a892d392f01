//! Counters of usage reports, for the metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// What happened to a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportEvent {
    /// The store has recorded it.
    Recorded,
    /// It was recorded without the counts of some instances.
    Incomplete,
    /// The service has accepted it.
    Accepted,
    /// The service accepted it after the time at which it was due.
    Late,
    /// An attempt to record or send it failed and is repeated.
    Retried,
    /// The service refused it for good.
    Refused,
}

impl ReportEvent {
    /// All events, in the order of their indices.
    pub const ALL: [Self; 6] = [
        Self::Recorded,
        Self::Incomplete,
        Self::Accepted,
        Self::Late,
        Self::Retried,
        Self::Refused,
    ];

    /// Value of the label `event` of the metric.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Recorded => "recorded",
            Self::Incomplete => "incomplete",
            Self::Accepted => "accepted",
            Self::Late => "late",
            Self::Retried => "retried",
            Self::Refused => "refused",
        }
    }
}

/// Events since the start of the process. The control thread counts and the metrics read.
#[derive(Debug, Default)]
pub struct ReportCounters {
    counts: [AtomicU64; ReportEvent::ALL.len()],
}

impl ReportCounters {
    /// Counts one event.
    pub fn on_event(&self, event: ReportEvent) {
        self.counts[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Number of events of one kind.
    pub fn count(&self, event: ReportEvent) -> u64 {
        self.counts[event as usize].load(Ordering::Relaxed)
    }
}

//! What the holder of the failover lease may report, and when.
//!
//! A report is recorded in the store before it is sent, on the condition that the record is at the version that was read. Whoever
//! holds the lease next finds it there and sends it again as it is. The next window is recorded only once the service has accepted the
//! last one, so one record is enough. A write or request whose outcome is unknown is never followed by other counts for the
//! same window: after a write the record is read back, and a request is repeated exactly.

use super::{MAX_KEPT_WINDOWS, OrganisationCounts, UnixTime, UsageCollector, UsageSettings, WindowId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time, Version};
use wasabiyard_platform::ListedInstance;

/// Time that instances get to send their counts to a new holder.
const COLLECTION_TIME: Duration = Duration::from_millis(2_500);
/// Shortest and longest pause after a failed attempt to read, record or send.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(250);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// The last report, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Window that it is about.
    pub window: WindowId,
    /// Operations by organisation.
    pub counts: OrganisationCounts,
}

/// Outcome of writing a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The store has it at this version.
    Written(Version),
    /// The write had no effect, and the store may not have been reached.
    NotWritten,
    /// The write may have taken effect, or another writer was first.
    Unknown,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportStep {
    /// Nothing yet.
    Wait,
    /// Read the record, with a linearizable call.
    Read,
    /// Write the record, on the condition that it is at the version, or absent.
    Record {
        /// What to write.
        record: UsageRecord,
        /// Version that the record must have.
        expected: Option<Version>,
        /// Instances whose final counts are not in it.
        missing: Vec<InstanceId>,
    },
    /// Send the report to the service.
    Send(UsageRecord),
}

/// What a decision depends on besides the reports so far.
#[derive(Debug, Clone, Copy)]
pub struct Collected<'a> {
    /// Counts received.
    pub collector: &'a UsageCollector,
    /// Live instances.
    pub members: &'a [ListedInstance],
    /// Present time of the fleet; `None` while it is not known.
    pub unix_now: Option<UnixTime>,
}

/// The record as the store has it.
#[derive(Debug, Clone)]
struct Stored {
    version: Option<Version>,
    record: Option<UsageRecord>,
}

/// Reports of this process while it holds the failover lease.
#[derive(Debug)]
pub struct UsageReporter {
    settings: UsageSettings,
    fence: Option<u64>,
    /// When instances have had time to send their counts to this holder.
    collected_at: Time,
    /// The record; `None` until it was read, and after a write whose outcome is unknown.
    stored: Option<Stored>,
    /// Newest record that this process has written or read. A restored store may have forgotten it.
    latest: Option<UsageRecord>,
    /// Window whose report the service has answered to this holder.
    accepted: Option<WindowId>,
    retry_at: Time,
    retry_pause: Duration,
}

impl UsageReporter {
    /// Creates a reporter that holds no lease.
    pub const fn new(settings: UsageSettings) -> Self {
        Self {
            settings,
            fence: None,
            collected_at: Time::ZERO,
            stored: None,
            latest: None,
            accepted: None,
            retry_at: Time::ZERO,
            retry_pause: MIN_RETRY_PAUSE,
        }
    }

    /// Records that this process holds the lease with a fencing token. With a new one, nothing is known of the record.
    pub fn on_lease_held(&mut self, fence: u64, now: Time) {
        if self.fence == Some(fence) {
            return;
        }
        self.fence = Some(fence);
        self.collected_at = now + COLLECTION_TIME;
        self.stored = None;
        self.accepted = None;
        self.retry_at = now;
        self.retry_pause = MIN_RETRY_PAUSE;
    }

    /// The next step at `now`. The caller checks the lease again right before it acts.
    pub fn next_step(&self, collected: Collected<'_>, now: Time) -> ReportStep {
        if self.fence.is_none() || now < self.retry_at {
            return ReportStep::Wait;
        }
        let Some(stored) = &self.stored else {
            return ReportStep::Read;
        };
        let stored_window = stored.record.as_ref().map(|r| r.window);
        if let Some(latest) = &self.latest
            && Some(latest.window) > stored_window
        {
            // The store was restored from an older copy.
            return ReportStep::Record {
                record: latest.clone(),
                expected: stored.version,
                missing: Vec::new(),
            };
        }
        let newest = stored_window.max(collected.collector.recorded());
        if let Some(record) = &stored.record
            && Some(record.window) == newest
            && self.accepted != newest
        {
            return ReportStep::Send(record.clone());
        }
        self.next_report(stored.version, newest, collected, now)
    }

    /// The report of the window after `newest`, once it may be recorded.
    fn next_report(
        &self,
        expected: Option<Version>,
        newest: Option<WindowId>,
        collected: Collected<'_>,
        now: Time,
    ) -> ReportStep {
        let Some(unix_now) = collected.unix_now else {
            return ReportStep::Wait;
        };
        let window_now = self.settings.window_of(unix_now);
        let next = match newest {
            Some(newest) => newest.plus(1).max(window_now.minus(MAX_KEPT_WINDOWS)),
            None => match collected.collector.oldest_window() {
                Some(oldest) => oldest,
                None => return ReportStep::Wait,
            },
        };
        if unix_now < self.settings.end_of(next) {
            return ReportStep::Wait;
        }
        let missing = collected.collector.missing(next, collected.members);
        let has_waited = unix_now >= self.settings.latest_report(next) && now >= self.collected_at;
        if !missing.is_empty() && !has_waited {
            return ReportStep::Wait;
        }
        ReportStep::Record {
            record: UsageRecord {
                window: next,
                counts: collected.collector.totals(next),
            },
            expected,
            missing,
        }
    }

    /// The next window to report of which counts may be missing, if it has ended at `unix_now`.
    pub fn awaited_window(&self, collector: &UsageCollector, unix_now: UnixTime) -> Option<WindowId> {
        let stored = self.stored.as_ref()?.record.as_ref().map(|r| r.window);
        let next = match stored.max(collector.recorded()) {
            Some(newest) => newest.plus(1),
            None => collector.oldest_window()?,
        };
        (self.settings.end_of(next) <= unix_now).then_some(next)
    }

    /// Applies a linearizable read of the record.
    pub fn on_read(&mut self, version: Option<Version>, record: Option<UsageRecord>) {
        if record.as_ref().map(|r| r.window) >= self.latest.as_ref().map(|r| r.window) {
            self.latest.clone_from(&record);
        }
        self.stored = Some(Stored { version, record });
        self.retry_pause = MIN_RETRY_PAUSE;
    }

    /// Applies the outcome of a write.
    pub fn on_written(&mut self, record: UsageRecord, outcome: WriteOutcome, now: Time) {
        match outcome {
            WriteOutcome::Written(version) => {
                self.latest = Some(record.clone());
                self.stored = Some(Stored {
                    version: Some(version),
                    record: Some(record),
                });
                self.retry_pause = MIN_RETRY_PAUSE;
            }
            WriteOutcome::NotWritten => self.on_failure(now),
            WriteOutcome::Unknown => {
                self.stored = None;
                self.on_failure(now);
            }
        }
    }

    /// The service has answered the report of a window, so it need not be sent again.
    pub const fn on_accepted(&mut self, window: WindowId) {
        self.accepted = Some(window);
        self.retry_pause = MIN_RETRY_PAUSE;
    }

    /// An attempt failed and is repeated after a growing pause.
    pub fn on_failure(&mut self, now: Time) {
        self.retry_at = now + self.retry_pause;
        self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
    }

    /// Newest window that is recorded as far as this process knows.
    pub fn recorded(&self) -> Option<WindowId> {
        self.stored.as_ref()?.record.as_ref().map(|r| r.window)
    }
}

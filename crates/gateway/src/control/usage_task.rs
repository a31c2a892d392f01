//! Collecting the usage counts of all instances and reporting them, while this instance holds the failover lease.
//!
//! What may be done when is decided in [`crate::usage`]. Here the store and the service are called, and the lease is checked.

use super::control_loop::{ControlThread, OutboundMessage};
use super::records;
use super::store_calls::StoreCallKind;
use super::usage_counts_in_store::CountsInStore;
use crate::usage::{
    ClockAgreement, Collected, ReportCounters, ReportEvent, ReportStep, SharedFleetClock, UnixTime,
    UsageCollector, UsageMessage, UsageReceipt, UsageRecord, UsageReporter, UsageSettings, UsageStatus,
    WriteOutcome,
};
use crate::{Connector, Discovery, PeerMessage, Promoter, UsageReport, UsageResponse, clock};
use async_io::Timer;
use serde::Deserialize;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, Time, Version};
use wasabiyard_platform::{Platform, PlatformError, Precondition};

/// Period of checking whether a report can be made.
const REPORT_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Interval at which counts that have not arrived are asked for.
const REQUEST_PERIOD: Duration = Duration::from_secs(1);

/// What the control thread shares with the traffic thread for usage reports.
#[derive(Debug, Clone)]
pub struct UsageContext {
    /// Settings of the reports.
    pub settings: UsageSettings,
    /// Clock of the windows.
    pub clock: SharedFleetClock,
    /// Counters of reports.
    pub reports: Arc<ReportCounters>,
}

/// Counts of all instances, and reports of them.
#[derive(Debug)]
pub(super) struct UsageState {
    pub(super) cx: UsageContext,
    pub(super) collector: UsageCollector,
    agreement: ClockAgreement,
    reporter: UsageReporter,
    /// Fencing token with which this holder has announced itself.
    announced: Option<u64>,
    requested_at: Time,
    pub(super) in_store: CountsInStore,
}

impl UsageState {
    pub(super) fn new(cx: UsageContext) -> Self {
        Self {
            reporter: UsageReporter::new(cx.settings),
            cx,
            collector: UsageCollector::default(),
            agreement: ClockAgreement::default(),
            announced: None,
            requested_at: Time::ZERO,
            in_store: CountsInStore::default(),
        }
    }

    /// The true time at `now`; `None` while it is not known.
    pub(super) fn unix_time(&self, now: Time) -> Option<UnixTime> {
        let clock = self.cx.clock.lock();
        clock.support().map(|_| clock.unix_time(now))
    }

    fn status(&self, fence: u64, receipt: Option<UsageReceipt>, now: Time) -> UsageStatus {
        UsageStatus {
            fence,
            recorded: self.reporter.recorded().max(self.collector.recorded()),
            time: self.cx.clock.lock().fleet_time(now),
            receipt,
        }
    }
}

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Reports usage while this instance holds the failover lease. Ends at once if the settings require no reports.
    pub(super) async fn report_usage(self: Rc<Self>) {
        if self.usage.is_none() {
            return;
        }
        loop {
            Timer::after(REPORT_CHECK_PERIOD).await;
            self.write_counts_to_store().await;
            let Some(fence) = self.held_fence() else {
                continue;
            };
            self.remove_stored_counts().await;
            self.collect_usage(fence, clock::now());
            let Some(step) = self.next_report_step(clock::now()) else {
                continue;
            };
            match step {
                ReportStep::Wait => {}
                ReportStep::Read => self.read_usage_record().await,
                ReportStep::Record {
                    record,
                    expected,
                    missing,
                } => self.record_usage(record, expected, &missing).await,
                ReportStep::Send(record) => self.send_usage_report(&record).await,
            }
        }
    }

    /// Applies the counts of an instance, and acknowledges them if this instance holds the failover lease.
    pub(super) fn on_usage_message(
        &self,
        from: InstanceId,
        incarnation: Incarnation,
        message: &UsageMessage,
        now: Time,
    ) {
        let Some(usage) = &self.usage else {
            return;
        };
        let fence = self.held_fence();
        let mut usage = usage.borrow_mut();
        usage.agreement.on_reading(&from, message.wall, now);
        if let Some(recorded) = message.recorded {
            usage.collector.on_recorded(recorded);
        }
        let mut complete = None;
        if let (Some(counts), Some(unix_now)) = (&message.counts, usage.unix_time(now)) {
            let window_now = usage.cx.settings.window_of(unix_now);
            let is_complete = usage.collector.on_counts(&from, incarnation, counts, window_now);
            complete = is_complete.then_some(counts.window);
        }
        if let Some(fence) = fence {
            let receipt = UsageReceipt {
                sent: message.sent,
                complete,
            };
            let status = usage.status(fence, Some(receipt), now);
            self.send_to_peers(OutboundMessage::Unicast(from, PeerMessage::UsageStatus(status)));
        }
    }

    /// Keeps the time of the fleet, announces a new holder, and asks for counts that have not arrived.
    fn collect_usage(&self, fence: u64, now: Time) {
        let Some(usage) = &self.usage else {
            return;
        };
        let mut usage = usage.borrow_mut();
        let usage = &mut *usage;
        let state = self.state.borrow();
        let members = &state.snapshot.members;
        usage.reporter.on_lease_held(fence, now);
        usage.collector.retain_sources(members);
        usage.agreement.update(&mut usage.cx.clock.lock(), members, now);
        let asked = if usage.announced != Some(fence) {
            usage.announced = Some(fence);
            log::info!(fence; "collecting usage counts");
            members.iter().map(|m| m.id.clone()).collect()
        } else if now.saturating_since(usage.requested_at) >= REQUEST_PERIOD {
            let unix_now = usage.unix_time(now);
            let window =
                unix_now.and_then(|unix_now| usage.reporter.awaited_window(&usage.collector, unix_now));
            window.map_or_else(Vec::new, |window| usage.collector.missing(window, members))
        } else {
            Vec::new()
        };
        if asked.is_empty() {
            return;
        }
        usage.requested_at = now;
        let status = usage.status(fence, None, now);
        let message = PeerMessage::UsageStatus(status);
        self.send_to_peers(OutboundMessage::Multicast(asked, message));
    }

    /// The next step, if this instance may act at `now`.
    fn next_report_step(&self, now: Time) -> Option<ReportStep> {
        self.reporting_fence(now)?;
        let usage = self.usage.as_ref()?.borrow();
        let state = self.state.borrow();
        let collected = Collected {
            collector: &usage.collector,
            members: &state.snapshot.members,
            unix_now: usage.unix_time(now),
        };
        Some(usage.reporter.next_step(collected, now))
    }

    /// The fencing token, if this instance may call the service with it at `now`.
    fn reporting_fence(&self, now: Time) -> Option<u64> {
        let own_entry = &self.settings.instance;
        let lease = self.usage.as_ref()?.borrow().cx.settings.lease;
        let state = self.state.borrow();
        if state.stopping {
            // The lease may have been released.
            return None;
        }
        state
            .failover_lease
            .held_fence_in_turn(own_entry.id.as_str(), own_entry.incarnation, lease, now)
    }

    async fn read_usage_record(&self) {
        self.store_calls.on_call(StoreCallKind::Usage);
        let read = self.platform.get(&records::usage_key()).await;
        let now = clock::now();
        let Some(usage) = &self.usage else {
            return;
        };
        let mut usage = usage.borrow_mut();
        let record = match read {
            Ok(None) => Ok((None, None)),
            Ok(Some(object)) => UsageRecord::deserialize(&object.value)
                .map(|record| (Some(object.version), Some(record)))
                .map_err(|e| e.to_string()),
            Err(e) => Err(e.to_string()),
        };
        match record {
            Ok((version, record)) => {
                if let Some(record) = &record {
                    usage.collector.on_recorded(record.window);
                }
                usage.reporter.on_read(version, record);
            }
            Err(error) => {
                log::info!(error = error.as_str(); "could not read the last usage report; retrying");
                usage.cx.reports.on_event(ReportEvent::Retried);
                usage.reporter.on_failure(now);
            }
        }
    }

    async fn record_usage(&self, record: UsageRecord, expected: Option<Version>, missing: &[InstanceId]) {
        let precondition = expected.map_or(Precondition::Absent, Precondition::Version);
        let value = serde_json::json!(record);
        self.store_calls.on_call(StoreCallKind::Usage);
        let written = self
            .platform
            .put(&records::usage_key(), precondition, &value)
            .await;
        let now = clock::now();
        let Some(usage) = &self.usage else {
            return;
        };
        let mut usage = usage.borrow_mut();
        let outcome = match written {
            Ok(version) => {
                usage.cx.reports.on_event(ReportEvent::Recorded);
                if !missing.is_empty() {
                    usage.cx.reports.on_event(ReportEvent::Incomplete);
                    log::warn!(window:% = record.window, instances:? = missing; "usage report lacks the counts of instances");
                }
                usage.collector.on_recorded(record.window);
                WriteOutcome::Written(version)
            }
            Err(e) => {
                log::info!(window:% = record.window, error:% = e; "could not record the usage report; retrying");
                usage.cx.reports.on_event(ReportEvent::Retried);
                match e {
                    PlatformError::Unavailable { .. } => WriteOutcome::NotWritten,
                    PlatformError::Conflict { .. }
                    | PlatformError::Unknown
                    | PlatformError::Malformed { .. } => WriteOutcome::Unknown,
                }
            }
        };
        usage.reporter.on_written(record, outcome, now);
    }

    async fn send_usage_report(&self, record: &UsageRecord) {
        let Some(fence) = self.reporting_fence(clock::now()) else {
            return;
        };
        let report = UsageReport {
            window: record.window.0,
            counts: &record.counts,
            holder: self.settings.instance.id.as_str(),
            fence,
        };
        let response = self.while_held(fence, self.promoter.report_usage(report)).await;
        let now = clock::now();
        let Some(usage) = &self.usage else {
            return;
        };
        let mut usage = usage.borrow_mut();
        let Some(response) = response else {
            log::info!(window:% = record.window; "the failover lease ended before the usage report was answered");
            return;
        };
        let window = record.window;
        match response {
            UsageResponse::Accepted => {
                let unix_now = usage.unix_time(now);
                let end = usage.cx.settings.end_of(window);
                let took = unix_now.map_or(Duration::ZERO, |t| t.saturating_since(end));
                usage.cx.reports.on_event(ReportEvent::Accepted);
                if unix_now.is_some_and(|t| t > usage.cx.settings.due(window)) {
                    usage.cx.reports.on_event(ReportEvent::Late);
                }
                log::info!(
                    window:% = window, fence, organisations = record.counts.len(),
                    operations = record.counts.values().sum::<u64>(), after_ms = took.as_millis() as u64;
                    "usage report accepted"
                );
                usage.reporter.on_accepted(window);
            }
            UsageResponse::Refused => {
                log::error!(window:% = window, fence; "usage report refused; it is not sent again");
                usage.cx.reports.on_event(ReportEvent::Refused);
                usage.reporter.on_accepted(window);
            }
            UsageResponse::Throttled | UsageResponse::Unknown => {
                log::info!(window:% = window, fence, answer:? = response; "usage report not accepted; retrying");
                usage.cx.reports.on_event(ReportEvent::Retried);
                usage.reporter.on_failure(now);
            }
        }
    }

    /// Drives a call to the service, and checks the lease before each step of it: a process that was frozen in between must not
    /// send what it had prepared. `None` when the lease is not held any more.
    async fn while_held<F>(&self, fence: u64, call: F) -> Option<F::Output>
    where
        F: Future,
    {
        let mut call = pin!(call);
        poll_fn(|cx| {
            if self.reporting_fence(clock::now()) != Some(fence) {
                return Poll::Ready(None);
            }
            call.as_mut().poll(cx).map(Some)
        })
        .await
    }
}

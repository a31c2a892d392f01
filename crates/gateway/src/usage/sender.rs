//! Which counts an instance sends to whom.

use super::organisation_counts::OrganisationCounts;
use super::{UnixTime, UsageCounter, UsageMessage, UsageStatus, WindowCounts, WindowId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};
use xxhash_rust::xxh3::xxh3_64;

/// Longest time after the end of a window at which an instance sends its final counts, by a hash of its id, so that not all send at once.
const MAX_STAGGER: Duration = Duration::from_millis(400);
/// Time after which final counts without a receipt are taken for not received.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause before final counts without a receipt are sent again.
const RESEND_PERIOD: Duration = Duration::from_secs(1);
/// Interval between messages for the time of the fleet, while it is not known.
const TIME_REQUEST_PERIOD: Duration = Duration::from_millis(300);
/// Time without a message from the announced holder after which the one that the store names is used.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of windows whose final counts are sent at once, the oldest first. After an outage there may be many.
const MAX_FINAL_WINDOWS_AT_ONCE: usize = 2;
/// Number of windows whose counts are left in the store, the newest ones.
const MAX_STORED_WINDOWS: usize = 4;
/// Bytes of counts in one message. A datagram holds 16 KiB with the rest of the message.
const MAX_COUNTS_BYTES: usize = 12 * 1024;
/// Bytes of one count besides the name: two headers and the number.
const COUNT_OVERHEAD_BYTES: usize = 16;

/// A holder of the failover lease that has sent its status.
#[derive(Debug)]
struct Holder {
    id: InstanceId,
    fence: u64,
    heard_at: Time,
}

/// When final counts were sent to the target.
#[derive(Debug, Clone, Copy)]
struct FinalSent {
    first: Time,
    /// The last time, unless the target has asked for them since.
    last: Option<Time>,
}

/// State of sending the counts of this instance.
#[derive(Debug)]
pub struct UsageSender {
    stagger: Duration,
    holder: Option<Holder>,
    /// Instance that got the last messages.
    target: Option<InstanceId>,
    /// Windows whose final counts the target has.
    delivered: BTreeSet<WindowId>,
    final_sent: BTreeMap<WindowId, FinalSent>,
    /// Sums of the interim counts sent to the target.
    interim_sums: BTreeMap<WindowId, u64>,
    interim_sent: Time,
    time_requested: Time,
    /// Newest window whose counts were left in the store.
    stored: Option<WindowId>,
}

impl UsageSender {
    /// Creates the state of an instance.
    pub fn new(own_id: &InstanceId) -> Self {
        let part = xxh3_64(own_id.as_str().as_bytes()) % 1_000;
        Self {
            stagger: MAX_STAGGER * part as u32 / 1_000,
            holder: None,
            target: None,
            delivered: BTreeSet::new(),
            final_sent: BTreeMap::new(),
            interim_sums: BTreeMap::new(),
            interim_sent: Time::ZERO,
            time_requested: Time::ZERO,
            stored: None,
        }
    }

    /// The instance to send to: the newest holder of the failover lease that has sent its status lately, or else the one that the
    /// store names.
    pub fn target(&self, stored_holder: Option<&str>, now: Time) -> Option<InstanceId> {
        let announced = self.holder.as_ref();
        let announced = announced.filter(|h| now.saturating_since(h.heard_at) < HOLDER_TIMEOUT);
        announced
            .map(|h| h.id.clone())
            .or_else(|| stored_holder.map(InstanceId::from))
    }

    /// Messages that are due to `target` at `now`, with the time of day `wall`.
    pub fn due(
        &mut self,
        counter: &UsageCounter,
        target: &InstanceId,
        fleet_size: usize,
        wall: UnixTime,
        now: Time,
    ) -> Vec<UsageMessage> {
        if self.target.as_ref() != Some(target) {
            self.forget_sent();
            self.target = Some(target.clone());
        }
        let message = |counts| UsageMessage {
            sent: now,
            wall,
            recorded: counter.recorded(),
            counts,
        };
        let Some(since) = counter.since() else {
            if now.saturating_since(self.time_requested) < TIME_REQUEST_PERIOD {
                return Vec::new();
            }
            self.time_requested = now;
            return vec![message(None)];
        };
        let mut messages = Vec::new();
        let unix_now = counter.unix_time(now);
        self.prune(counter);
        let mut windows_sent = 0;
        for (window, counts) in counter.final_windows() {
            if windows_sent == MAX_FINAL_WINDOWS_AT_ONCE {
                break;
            }
            let is_early = unix_now < counter.settings().end_of(*window) + self.stagger;
            let sent = self.final_sent.get(window);
            let is_recent = sent
                .and_then(|sent| sent.last)
                .is_some_and(|at| now.saturating_since(at) < RESEND_PERIOD);
            if is_early || is_recent || self.delivered.contains(window) {
                continue;
            }
            windows_sent += 1;
            let first = sent.map_or(now, |sent| sent.first);
            let last = Some(now);
            self.final_sent.insert(*window, FinalSent { first, last });
            let parts = split(*window, since, Some(counts.len() as u32), counts);
            messages.extend(parts.into_iter().map(|part| message(Some(part))));
        }
        if now.saturating_since(self.interim_sent) >= counter.settings().interim_interval(fleet_size) {
            self.interim_sent = now;
            for (window, counts) in counter.open_windows() {
                let sum: u64 = counts.values().sum();
                if self.interim_sums.get(&window).copied().unwrap_or_default() < sum {
                    self.interim_sums.insert(window, sum);
                    let parts = split(window, since, None, counts);
                    messages.extend(parts.into_iter().map(|part| message(Some(part))));
                }
            }
        }
        messages
    }

    /// Counts to leave in the store, once for each window that the target has not acknowledged in time.
    pub fn to_store(&mut self, counter: &UsageCounter, now: Time) -> Option<Vec<WindowCounts>> {
        let since = counter.since()?;
        let unix_now = counter.unix_time(now);
        let is_overdue = |window: &WindowId| {
            let sent = self.final_sent.get(window);
            let is_lost = sent.is_some_and(|sent| now.saturating_since(sent.first) >= RECEIPT_TIMEOUT);
            is_lost
                && !self.delivered.contains(window)
                && unix_now >= counter.settings().store_counts(*window)
        };
        let windows = counter.final_windows().iter().rev();
        let mut overdue: Vec<_> = windows
            .filter(|(window, _)| is_overdue(window))
            .take(MAX_STORED_WINDOWS)
            .map(|(window, counts)| whole(*window, since, Some(counts.len() as u32), counts))
            .collect();
        overdue.reverse();
        let newest = overdue.last()?.window;
        if self.stored >= Some(newest) {
            return None;
        }
        self.stored = Some(newest);
        Some(overdue)
    }

    /// Final counts that the target is not known to have, for an instance that stops.
    pub fn undelivered(&self, counter: &UsageCounter, wall: UnixTime, now: Time) -> Vec<UsageMessage> {
        let Some(since) = counter.since() else {
            return Vec::new();
        };
        let windows = counter.final_windows().iter();
        let windows = windows.filter(|(window, _)| !self.delivered.contains(window));
        let parts =
            windows.flat_map(|(window, counts)| split(*window, since, Some(counts.len() as u32), counts));
        let messages = parts.map(|part| UsageMessage {
            sent: now,
            wall,
            recorded: counter.recorded(),
            counts: Some(part),
        });
        messages.collect()
    }

    /// Applies the status of a holder. Returns false if a newer holder is known, so that it must be ignored.
    pub fn on_status(&mut self, from: &InstanceId, status: &UsageStatus, now: Time) -> bool {
        if self.holder.as_ref().is_some_and(|h| h.fence > status.fence) {
            return false;
        }
        let is_new = self.holder.as_ref().is_none_or(|h| h.fence < status.fence);
        if is_new {
            self.forget_sent();
            self.target = Some(from.clone());
        }
        self.holder = Some(Holder {
            id: from.clone(),
            fence: status.fence,
            heard_at: now,
        });
        match status.receipt {
            Some(receipt) => self.delivered.extend(receipt.complete),
            // The holder asks for what it lacks.
            None => self.final_sent.values_mut().for_each(|sent| sent.last = None),
        }
        true
    }

    fn forget_sent(&mut self) {
        self.delivered.clear();
        self.final_sent.clear();
        self.interim_sums.clear();
    }

    fn prune(&mut self, counter: &UsageCounter) {
        let windows = counter.final_windows();
        self.delivered.retain(|window| windows.contains_key(window));
        self.final_sent.retain(|window, _| windows.contains_key(window));
        if let Some((oldest, _)) = counter.open_windows().next() {
            self.interim_sums = self.interim_sums.split_off(&oldest);
        }
    }
}

/// All counts of a window in one piece.
fn whole(
    window: WindowId,
    since: WindowId,
    organisations: Option<u32>,
    counts: &OrganisationCounts,
) -> WindowCounts {
    let counts = counts.iter().map(|(name, count)| (Arc::clone(name), *count));
    WindowCounts {
        window,
        since,
        organisations,
        counts: counts.collect(),
    }
}

/// Divides the counts of a window among as many messages as they need.
fn split(
    window: WindowId,
    since: WindowId,
    organisations: Option<u32>,
    counts: &OrganisationCounts,
) -> Vec<WindowCounts> {
    let empty = || WindowCounts {
        window,
        since,
        organisations,
        counts: Vec::new(),
    };
    let mut parts = vec![empty()];
    let mut bytes = 0;
    for (organisation, count) in counts {
        let size = organisation.len() + COUNT_OVERHEAD_BYTES;
        if bytes > 0 && bytes + size > MAX_COUNTS_BYTES {
            parts.push(empty());
            bytes = 0;
        }
        bytes += size;
        let last = parts.last_mut().expect("there is a first part");
        last.counts.push((Arc::clone(organisation), *count));
    }
    parts
}

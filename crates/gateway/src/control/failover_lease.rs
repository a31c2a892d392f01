//! Who replaces primaries: one instance, by a lease in the store.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Incarnation, Time, Version};

/// Age of the last renewal up to which the holder acts.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a renewal after which another instance takes the duty. Longer than the holder's term by the time
/// that a call of the holder may still be under way.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Delay between instances that could take a lapsed duty, so that they do not all try.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(120);
/// Longest of these delays. In a large fleet many of the first in line may be cut off together with the holder.
const MAX_TAKEOVER_STAGGER: Duration = Duration::from_millis(1_500);

/// The duty in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverLeaseRecord {
    /// Instance that holds it.
    pub holder: Arc<str>,
    /// Its process.
    pub incarnation: Incarnation,
    /// Rises with each change of holder.
    pub fence: u64,
    /// Rises with each renewal.
    pub renewals: u64,
    /// Whether the holder gave it up.
    pub released: bool,
}

/// What an instance has seen of the duty.
#[derive(Debug, Clone, Default)]
pub struct FailoverLease {
    record: Option<(Version, FailoverLeaseRecord)>,
    /// When the record was first seen at this version, or was seen to be absent.
    observed_at: Option<Time>,
    /// When the last renewal that succeeded was sent.
    renewed_at: Option<Time>,
}

impl FailoverLease {
    /// Takes over what the store says.
    pub fn on_read(&mut self, record: Option<(Version, FailoverLeaseRecord)>, now: Time) {
        let known_version = self.record.as_ref().map(|(v, _)| *v);
        if known_version != record.as_ref().map(|(v, _)| *v) || self.observed_at.is_none() {
            self.observed_at = Some(now);
        }
        self.record = record;
    }

    /// A write of this instance, sent at `sent`, has succeeded.
    pub fn on_written(&mut self, version: Version, record: FailoverLeaseRecord, sent: Time, now: Time) {
        self.record = Some((version, record));
        self.renewed_at = Some(sent);
        self.observed_at = Some(now);
    }

    /// The record with its version.
    pub const fn record(&self) -> Option<&(Version, FailoverLeaseRecord)> {
        self.record.as_ref()
    }

    /// The holder's name.
    pub fn holder(&self) -> Option<&Arc<str>> {
        self.record
            .as_ref()
            .filter(|(_, r)| !r.released)
            .map(|(_, r)| &r.holder)
    }

    /// The fencing number, if this process holds the duty and may act on it at `now`.
    pub fn held_fence(&self, me: &str, incarnation: Incarnation, now: Time) -> Option<u64> {
        let (_, record) = self.record.as_ref()?;
        let is_holder = *record.holder == *me && record.incarnation == incarnation && !record.released;
        let renewed = self.renewed_at?;
        (is_holder && now < renewed + HOLDER_TIMEOUT).then_some(record.fence)
    }

    /// The record that this process should write at `now` to take or renew the duty, if it should. `rank` is its place
    /// among the instances that could take it.
    pub fn due_write(
        &self,
        me: &Arc<str>,
        incarnation: Incarnation,
        rank: usize,
        period: Duration,
        now: Time,
    ) -> Option<FailoverLeaseRecord> {
        let observed_at = self.observed_at?;
        let unchanged_for = now.saturating_since(observed_at);
        let delay = (TAKEOVER_STAGGER * rank as u32).min(MAX_TAKEOVER_STAGGER);
        let Some((_, record)) = &self.record else {
            return (unchanged_for >= delay).then(|| acquired_record(me, incarnation, 1));
        };
        let same_name = record.holder == *me;
        if same_name && record.incarnation == incarnation && !record.released {
            let renewed = self.renewed_at.unwrap_or(Time::ZERO);
            return (now.saturating_since(renewed) >= period).then(|| FailoverLeaseRecord {
                renewals: record.renewals + 1,
                ..record.clone()
            });
        }
        // An earlier process of the same name has ended.
        let available = (record.released && unchanged_for >= delay) || (same_name && !record.released);
        let expired = unchanged_for >= TAKEOVER_TIMEOUT + delay;
        (available || expired).then(|| acquired_record(me, incarnation, record.fence + 1))
    }
}

fn acquired_record(me: &Arc<str>, incarnation: Incarnation, fence: u64) -> FailoverLeaseRecord {
    FailoverLeaseRecord {
        holder: Arc::clone(me),
        incarnation,
        fence,
        renewals: 0,
        released: false,
    }
}

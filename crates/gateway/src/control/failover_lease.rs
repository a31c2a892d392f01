//! The failover lease: a lease in the store that lets one instance at a time replace primaries.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Incarnation, Time, Version};

/// Time after sending its last successful renewal for which the holder may act on the lease.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without an observed renewal after which another instance takes over the lease. It exceeds [`HOLDER_TIMEOUT`]
/// by the time for which a call that the holder has already sent may still be in flight.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Extra delay per rank before an instance takes over an expired lease, so that not all instances try at once.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(120);
/// Upper bound of the stagger. In a large fleet many of the first-ranked instances may be cut off together with the
/// holder, and an unbounded stagger would add up over all of them.
const MAX_TAKEOVER_STAGGER: Duration = Duration::from_millis(1_500);

/// The failover lease as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverLeaseRecord {
    /// Instance that holds the lease.
    pub holder: Arc<str>,
    /// Incarnation of the holder's process.
    pub incarnation: Incarnation,
    /// Fencing token: incremented with each acquisition of the lease and sent along with promotion orders.
    pub fence: u64,
    /// Number of renewals by this holder; each one changes the object's version, which other instances observe.
    pub renewals: u64,
    /// Whether the holder released the lease before its expiry.
    pub released: bool,
}

/// The failover lease as this instance has observed it.
#[derive(Debug, Clone, Default)]
pub struct FailoverLease {
    record: Option<(Version, FailoverLeaseRecord)>,
    /// When the current version of the record, or its absence, was first observed; `None` before the first read.
    observed_at: Option<Time>,
    /// When this process sent its last successful write of the record.
    renewed_at: Option<Time>,
}

impl FailoverLease {
    /// Applies a read of the store, or of a relay; `None` when the store holds no record.
    pub fn on_read(&mut self, record: Option<(Version, FailoverLeaseRecord)>, now: Time) {
        let known_version = self.record.as_ref().map(|(v, _)| *v);
        let version = record.as_ref().map(|(v, _)| *v);
        if version.is_some() && version < known_version {
            // The read is older than a write of this process.
            return;
        }
        if known_version != record.as_ref().map(|(v, _)| *v) || self.observed_at.is_none() {
            self.observed_at = Some(now);
        }
        self.record = record;
    }

    /// Applies a successful write by this process that was sent at `sent`. The holder timeout counts from there,
    /// because the store may have applied the write at any moment since.
    pub fn on_written(&mut self, version: Version, record: FailoverLeaseRecord, sent: Time, now: Time) {
        self.record = Some((version, record));
        self.renewed_at = Some(sent);
        self.observed_at = Some(now);
    }

    /// The last observed record with its object version; `None` when the store holds none.
    pub const fn record(&self) -> Option<&(Version, FailoverLeaseRecord)> {
        self.record.as_ref()
    }

    /// The instance that holds the lease; `None` when there is no record or the lease was released. An expired lease
    /// still names its holder.
    pub fn holder(&self) -> Option<&Arc<str>> {
        self.record
            .as_ref()
            .filter(|(_, r)| !r.released)
            .map(|(_, r)| &r.holder)
    }

    /// The fencing token, if this process holds the lease and may act on it at `now`.
    pub fn held_fence(&self, own_id: &str, incarnation: Incarnation, now: Time) -> Option<u64> {
        let (_, record) = self.record.as_ref()?;
        let is_holder = *record.holder == *own_id && record.incarnation == incarnation && !record.released;
        let renewed = self.renewed_at?;
        (is_holder && now < renewed + HOLDER_TIMEOUT).then_some(record.fence)
    }

    /// The record that this process should write at `now` to acquire or renew the lease, or `None` when no write is
    /// due. `rank` is the place of this instance among those that could acquire it, and `period` the renewal period.
    pub fn due_write(
        &self,
        own_id: &Arc<str>,
        incarnation: Incarnation,
        rank: usize,
        period: Duration,
        now: Time,
    ) -> Option<FailoverLeaseRecord> {
        let observed_at = self.observed_at?;
        let unchanged_for = now.saturating_since(observed_at);
        let delay = (TAKEOVER_STAGGER * rank as u32).min(MAX_TAKEOVER_STAGGER);
        let Some((_, record)) = &self.record else {
            return (unchanged_for >= delay).then(|| acquired_record(own_id, incarnation, 1));
        };
        let same_id = record.holder == *own_id;
        if same_id && record.incarnation == incarnation && !record.released {
            let renewed = self.renewed_at.unwrap_or(Time::ZERO);
            return (now.saturating_since(renewed) >= period).then(|| FailoverLeaseRecord {
                renewals: record.renewals + 1,
                ..record.clone()
            });
        }
        // An unreleased record of another incarnation under this id belongs to a process that has ended.
        let available = (record.released && unchanged_for >= delay) || (same_id && !record.released);
        let expired = unchanged_for >= TAKEOVER_TIMEOUT + delay;
        (available || expired).then(|| acquired_record(own_id, incarnation, record.fence + 1))
    }
}

fn acquired_record(own_id: &Arc<str>, incarnation: Incarnation, fence: u64) -> FailoverLeaseRecord {
    FailoverLeaseRecord {
        holder: Arc::clone(own_id),
        incarnation,
        fence,
        renewals: 0,
        released: false,
    }
}

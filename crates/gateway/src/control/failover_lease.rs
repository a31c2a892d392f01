//! The failover lease: a lease in the store that lets one instance at a time replace primaries.

use super::reached_generation::ReachedGeneration;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Incarnation, Time, Version};
use wasabiyard_platform::Generation;

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
    /// Newest generation of the store whose records a holder has confirmed.
    #[serde(default)]
    pub confirmed: ReachedGeneration,
    /// Newest generation in which every view lease from before the restore has expired.
    #[serde(default)]
    pub settled: ReachedGeneration,
}

/// What a write of the lease depends on besides the lease itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaseTerms {
    /// Generation of the store.
    pub generation: Generation,
    /// Whether this process may confirm that generation.
    pub may_confirm: bool,
    /// Whether this process knows that the generation has settled.
    pub has_settled: bool,
}

impl LeaseTerms {
    /// The confirmed generation in a record that follows `previous`.
    fn confirmed_after(&self, previous: Option<&FailoverLeaseRecord>) -> ReachedGeneration {
        let before = previous.map_or(ReachedGeneration::NONE, |record| record.confirmed);
        before.next(self.generation, self.may_confirm)
    }

    /// The settled generation in a record that follows `previous`.
    fn settled_after(&self, previous: Option<&FailoverLeaseRecord>) -> ReachedGeneration {
        let before = previous.map_or(ReachedGeneration::NONE, |record| record.settled);
        before.next(self.generation, self.has_settled)
    }

    /// The fencing token of an acquisition after `previous`. It exceeds those that a restored store has forgotten.
    fn fence_after(&self, previous: Option<&FailoverLeaseRecord>) -> u64 {
        let next = previous.map_or(1, |record| record.fence + 1);
        next.max(self.generation.counter_floor() + 1)
    }
}

impl FailoverLeaseRecord {
    /// Whether a holder has confirmed the records of `generation`.
    pub fn confirms(&self, generation: Generation) -> bool {
        self.confirmed.covers(generation)
    }

    /// Whether a holder has seen `generation` settle.
    pub fn has_settled(&self, generation: Generation) -> bool {
        self.settled.covers(generation)
    }
}

/// How this process acquired the lease.
#[derive(Debug, Clone, Copy)]
struct Acquisition {
    fence: u64,
    /// When this process learned that it holds the lease under this token.
    at: Time,
    /// Whether the lease of another holder had expired, so that this holder had been unable to act for a while.
    after_expiry: bool,
}

/// The failover lease as this instance has observed it.
#[derive(Debug, Clone, Default)]
pub struct FailoverLease {
    record: Option<(Version, FailoverLeaseRecord)>,
    /// When the current version of the record, or its absence, was first observed; `None` before the first read.
    observed_at: Option<Time>,
    /// When this process sent its last successful write of the record, and the version that it wrote.
    renewed_at: Option<Time>,
    written_version: Option<Version>,
    acquisition: Option<Acquisition>,
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
    /// because the store may have applied the write at any moment since. An answer that comes after the read of a later
    /// record changes nothing: another process has written the lease since.
    pub fn on_written(&mut self, version: Version, record: FailoverLeaseRecord, sent: Time, now: Time) {
        if self.record.as_ref().is_some_and(|(known, _)| *known > version) {
            return;
        }
        // The answer to the acquisition itself may be lost; the first write that is known to have taken effect then counts.
        if self.acquisition.is_none_or(|a| a.fence != record.fence) {
            let previous = self.record.as_ref().map(|(_, previous)| previous);
            let after_expiry =
                record.renewals == 0 && previous.is_some_and(|p| !p.released && p.holder != record.holder);
            self.acquisition = Some(Acquisition {
                fence: record.fence,
                at: now,
                after_expiry,
            });
        }
        self.record = Some((version, record));
        self.written_version = Some(version);
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

    /// The fencing token, if this process may act on it at `now` and no two instances act in the order A, B, A within `turn`.
    ///
    /// An acquisition of an expired lease follows [`TAKEOVER_TIMEOUT`] after the last renewal of its former holder. Any other one may
    /// follow at once on acts of the former holder, or of one that a restored store has forgotten, and is not used before that time.
    pub fn held_fence_in_turn(
        &self,
        own_id: &str,
        incarnation: Incarnation,
        turn: Duration,
        now: Time,
    ) -> Option<u64> {
        let acquisition = self.acquisition?;
        let pause = if acquisition.after_expiry {
            turn.saturating_sub(TAKEOVER_TIMEOUT)
        } else {
            turn.max(TAKEOVER_TIMEOUT)
        };
        self.held_fence(own_id, incarnation, now)
            .filter(|fence| *fence == acquisition.fence && now >= acquisition.at + pause)
    }

    /// Whether this process holds the lease and no other one can have acquired it up to `now`, even if the store has
    /// forgotten such a write.
    pub fn is_exclusive(&self, now: Time) -> bool {
        let is_own = self.record.as_ref().map(|(version, _)| *version) == self.written_version;
        is_own && self.renewed_at.is_some_and(|at| now < at + TAKEOVER_TIMEOUT)
    }

    /// The record that this process should write at `now` to acquire or renew the lease, or `None` when no write is
    /// due. `rank` is the place of this instance among those that could acquire it, and `period` the renewal period.
    ///
    /// After a restore of the store, a holder acquires its lease again, because the store may have forgotten a later
    /// holder with a higher fencing token.
    pub fn due_write(
        &self,
        own_id: &Arc<str>,
        incarnation: Incarnation,
        rank: usize,
        period: Duration,
        terms: LeaseTerms,
        now: Time,
    ) -> Option<FailoverLeaseRecord> {
        let observed_at = self.observed_at?;
        let unchanged_for = now.saturating_since(observed_at);
        let delay = (TAKEOVER_STAGGER * rank as u32).min(MAX_TAKEOVER_STAGGER);
        let previous = self.record.as_ref().map(|(_, record)| record);
        let acquired = || FailoverLeaseRecord {
            holder: Arc::clone(own_id),
            incarnation,
            fence: terms.fence_after(previous),
            renewals: 0,
            released: false,
            confirmed: terms.confirmed_after(previous),
            settled: terms.settled_after(previous),
        };
        let Some(record) = previous else {
            return (unchanged_for >= delay).then(acquired);
        };
        let same_id = record.holder == *own_id;
        if same_id && record.incarnation == incarnation && !record.released {
            if record.fence < terms.generation.counter_floor() {
                return Some(acquired());
            }
            let renewed = self.renewed_at.unwrap_or(Time::ZERO);
            return (now.saturating_since(renewed) >= period).then(|| FailoverLeaseRecord {
                renewals: record.renewals + 1,
                confirmed: terms.confirmed_after(previous),
                settled: terms.settled_after(previous),
                ..record.clone()
            });
        }
        // An unreleased record of another incarnation under this id belongs to a process that has ended.
        let available = (record.released && unchanged_for >= delay) || (same_id && !record.released);
        let expired = unchanged_for >= TAKEOVER_TIMEOUT + delay;
        (available || expired).then(acquired)
    }
}

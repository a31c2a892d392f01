//! The registry of instances in the store, and which instances may still use a primary.
//!
//! An instance uses a primary only while it holds a view lease. Reads of the store, its own or a relay's, renew that
//! lease if they show the entry of the instance as live. The holder of the failover lease therefore waits for each
//! entry when it replaces a primary: until the instance reports that it has released the primary, or until every view
//! lease from a read that showed the entry as live has expired. An entry is deleted only after its instance has marked
//! it as leaving, or one view lease after it was marked as silent, so even a new holder of the failover lease, which
//! has no history, waits for every instance.

use crate::VIEW_LEASE;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time, Version};
use wasabiyard_platform::{ListedInstance, ListedState};

/// Safety margin on top of the view lease before an instance that does not respond counts as no longer using a
/// primary.
pub const VIEW_LEASE_MARGIN: Duration = Duration::from_millis(250);
/// Time without a heartbeat after which an instance is marked as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(8);

/// The instance registry as this instance has observed it.
#[derive(Debug, Clone, Default)]
pub struct InstanceRegistry {
    entries: BTreeMap<InstanceId, ListedInstance>,
    /// Object versions of the entries as last read from the store. An entry without one cannot be written or deleted
    /// until the next read.
    entry_versions: HashMap<InstanceId, Version>,
    /// For each silent entry, its version and when that version was first observed.
    silent_since: HashMap<InstanceId, (Version, Time)>,
    last_heartbeat: HashMap<InstanceId, Time>,
    released_epochs: HashMap<(InstanceId, Arc<str>), u64>,
    read_at: Time,
}

impl InstanceRegistry {
    /// Applies the entries of a view that was current at `as_of`, with their object versions.
    pub fn on_read<I>(&mut self, entries: I, as_of: Time, now: Time)
    where
        I: IntoIterator<Item = (Version, ListedInstance)>,
    {
        let entries: Vec<_> = entries.into_iter().collect();
        self.entry_versions = entries.iter().map(|(v, i)| (i.id.clone(), *v)).collect();
        for (version, instance) in &entries {
            if instance.state != ListedState::Silent {
                continue;
            }
            let since = self
                .silent_since
                .entry(instance.id.clone())
                .or_insert((*version, now));
            if since.0 != *version {
                *since = (*version, now);
            }
        }
        self.on_read_at(as_of);
        self.entries = entries.into_iter().map(|(_, i)| (i.id.clone(), i)).collect();
        let entries = &self.entries;
        self.silent_since
            .retain(|id, _| entries.get(id).is_some_and(|i| i.state == ListedState::Silent));
        self.last_heartbeat.retain(|id, _| entries.contains_key(id));
        self.released_epochs.retain(|(id, _), _| entries.contains_key(id));
        for id in entries.keys() {
            self.last_heartbeat.entry(id.clone()).or_insert(now);
        }
    }

    /// Records that the entries contain every registration that the store had acknowledged at `as_of`.
    pub fn on_read_at(&mut self, as_of: Time) {
        self.read_at = self.read_at.max(as_of);
    }

    /// The time as of which the entries are current.
    pub const fn read_at(&self) -> Time {
        self.read_at
    }

    /// The object version of an entry, which a conditional write needs; `None` when it is absent or must be read
    /// again.
    pub fn version(&self, id: &InstanceId) -> Option<Version> {
        self.entry_versions.get(id).copied()
    }

    /// The object version of the entry of one process; `None` also when the entry is that of another process with this id.
    pub fn version_of_process(&self, process: &ListedInstance) -> Option<Version> {
        let entry = self.entries.get(&process.id)?;
        let is_own = entry.incarnation == process.incarnation;
        is_own.then(|| self.version(&process.id)).flatten()
    }

    /// Records the version that the store reported when a conditional write conflicted.
    pub fn on_conflict(&mut self, id: &InstanceId, version: Version) {
        self.entry_versions.insert(id.clone(), version);
    }

    /// The instances with a live entry, ordered by id.
    pub fn live(&self) -> Vec<ListedInstance> {
        let live = self.entries.values().filter(|i| i.state == ListedState::Live);
        live.cloned().collect()
    }

    /// Records a heartbeat of a registered instance; others are ignored.
    pub fn on_heartbeat(&mut self, id: &InstanceId, now: Time) {
        if self.entries.contains_key(id) {
            self.last_heartbeat.insert(id.clone(), now);
        }
    }

    /// Restarts all heartbeat timeouts. Instances send heartbeats to the holder of the failover lease only, so an
    /// instance that has just acquired it has received none so far.
    pub fn on_lease_acquired(&mut self, now: Time) {
        for at in self.last_heartbeat.values_mut() {
            *at = now;
        }
    }

    /// Records that an instance has stopped using every primary of the service from before `epoch`. A late report of a
    /// lower epoch has no effect.
    pub fn on_primary_released(&mut self, from: InstanceId, service: Arc<str>, epoch: u64) {
        let released_epoch = self.released_epochs.entry((from, service)).or_default();
        *released_epoch = epoch.max(*released_epoch);
    }

    /// Instances that may still use a primary of the service from before `epoch`.
    pub fn pending_releases(&self, service: &Arc<str>, epoch: u64, now: Time) -> Vec<InstanceId> {
        let pending = self.entries.values().filter(|i| {
            let key = (i.id.clone(), Arc::clone(service));
            let released = self.released_epochs.get(&key).is_some_and(|e| *e >= epoch);
            !released && self.may_use_primaries(i, now)
        });
        pending.map(|i| i.id.clone()).collect()
    }

    fn may_use_primaries(&self, instance: &ListedInstance, now: Time) -> bool {
        match instance.state {
            ListedState::Live => true,
            ListedState::Leaving => false,
            ListedState::Silent => !self.is_silent_past_view_lease(&instance.id, now),
        }
    }

    fn is_silent_past_view_lease(&self, id: &InstanceId, now: Time) -> bool {
        let since = self.silent_since.get(id);
        since.is_some_and(|(_, since)| now.saturating_since(*since) > VIEW_LEASE + VIEW_LEASE_MARGIN)
    }

    /// Live entries whose instances have sent no heartbeat for the timeout, marked as silent and with the versions on
    /// which to write them.
    pub fn newly_silent(&self, now: Time) -> Vec<(Version, ListedInstance)> {
        let live = self.entries.values().filter(|i| i.state == ListedState::Live);
        let silent = live.filter(|i| self.is_unheard(&i.id, now));
        silent
            .filter_map(|i| {
                let marked = ListedInstance {
                    state: ListedState::Silent,
                    ..i.clone()
                };
                Some((self.version(&i.id)?, marked))
            })
            .collect()
    }

    /// Whether an instance has sent no heartbeat for the timeout at `now`.
    pub fn is_unheard(&self, id: &InstanceId, now: Time) -> bool {
        let last_heartbeat = self.last_heartbeat.get(id);
        last_heartbeat.is_some_and(|at| now.saturating_since(*at) > SILENCE_TIMEOUT)
    }

    /// Entries that may be deleted because their instances can no longer use any primary.
    pub fn removable(&self, now: Time) -> Vec<(Version, InstanceId)> {
        let removable = self.entries.values().filter(|i| !self.may_use_primaries(i, now));
        removable
            .filter_map(|i| Some((self.version(&i.id)?, i.id.clone())))
            .collect()
    }

    /// Records an attempt to mark or delete an entry, successful or not. The entry is not tried again before its
    /// version has been read again, and its heartbeat timeout restarts.
    pub fn on_prune_attempted(&mut self, id: &InstanceId, now: Time) {
        self.entry_versions.remove(id);
        self.last_heartbeat.insert(id.clone(), now);
    }
}

//! The register of instances in the store, and what it proves about the use of primaries.
//!
//! An instance relies on a primary only after a reading of the store that shows its own entry as live. Whoever replaces a
//! primary therefore waits for each entry: until the instance says that it has stopped using the primary, or until no
//! reading that showed it as live can still prove anything. An entry leaves the register only when its instance has said
//! that it is leaving, or a view lease after it was marked as silent, so a holder of the duty that has just started misses
//! nobody.

use crate::VIEW_LEASE;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time, Version};
use wasabiyard_platform::{ListedInstance, ListedState};

/// Added to the view lease before an instance that did not answer counts as stopped.
pub const VIEW_LEASE_MARGIN: Duration = Duration::from_millis(250);
/// An instance that is not heard for this long is marked as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(8);

/// What an instance knows of the register.
#[derive(Debug, Clone, Default)]
pub struct InstanceRegistry {
    entries: BTreeMap<InstanceId, ListedInstance>,
    /// Versions of the entries, as last read from the store.
    entry_versions: HashMap<InstanceId, Version>,
    /// Since when a version of an entry has been seen as silent.
    silent_since: HashMap<InstanceId, (Version, Time)>,
    last_heartbeat: HashMap<InstanceId, Time>,
    released_epochs: HashMap<(InstanceId, Arc<str>), u64>,
    read_at: Time,
}

impl InstanceRegistry {
    /// Takes over a reading of the store that was sent at `asked`.
    pub fn on_read<I>(&mut self, entries: I, sent_at: Time, now: Time)
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
        self.read_at = self.read_at.max(sent_at);
        self.on_relayed_entries(entries.into_iter().map(|(_, i)| i), now);
    }

    /// Takes over entries that another instance has read.
    pub fn on_relayed_entries<I>(&mut self, entries: I, now: Time)
    where
        I: IntoIterator<Item = ListedInstance>,
    {
        self.entries = entries.into_iter().map(|i| (i.id.clone(), i)).collect();
        let entries = &self.entries;
        self.silent_since
            .retain(|id, _| entries.get(id).is_some_and(|i| i.state == ListedState::Silent));
        self.last_heartbeat.retain(|id, _| entries.contains_key(id));
        for id in entries.keys() {
            self.last_heartbeat.entry(id.clone()).or_insert(now);
        }
    }

    /// When the last successful reading of the store was sent.
    pub const fn read_at(&self) -> Time {
        self.read_at
    }

    /// The version of an entry in the store.
    pub fn version(&self, id: &InstanceId) -> Option<Version> {
        self.entry_versions.get(id).copied()
    }

    /// The store has another version of an entry than was read.
    pub fn on_conflict(&mut self, id: &InstanceId, version: Version) {
        self.entry_versions.insert(id.clone(), version);
    }

    /// The instances that take callers, by id.
    pub fn live(&self) -> Vec<ListedInstance> {
        let live = self.entries.values().filter(|i| i.state == ListedState::Live);
        live.cloned().collect()
    }

    /// An instance has sent a sign of life.
    pub fn on_heartbeat(&mut self, id: &InstanceId, now: Time) {
        if self.entries.contains_key(id) {
            self.last_heartbeat.insert(id.clone(), now);
        }
    }

    /// This instance has taken the failover duty, and signs of life come to it from now on.
    pub fn on_lease_acquired(&mut self, now: Time) {
        for at in self.last_heartbeat.values_mut() {
            *at = now;
        }
    }

    /// An instance uses no primary of an epoch below `epoch` any more.
    pub fn on_primary_released(&mut self, from: InstanceId, service: Arc<str>, epoch: u64) {
        let released_epoch = self.released_epochs.entry((from, service)).or_default();
        *released_epoch = epoch.max(*released_epoch);
    }

    /// Instances that may still use a primary of a service from before `epoch`.
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

    /// Live entries whose instances have not been heard for long, as they should be written to the store.
    pub fn newly_silent(&self, now: Time) -> Vec<(Version, ListedInstance)> {
        let live = self.entries.values().filter(|i| i.state == ListedState::Live);
        let silent = live.filter(|i| {
            let last_heartbeat = self.last_heartbeat.get(&i.id);
            last_heartbeat.is_some_and(|at| now.saturating_since(*at) > SILENCE_TIMEOUT)
        });
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

    /// Entries that can be deleted: their instances use no primary.
    pub fn removable(&self, now: Time) -> Vec<(Version, InstanceId)> {
        let removable = self.entries.values().filter(|i| !self.may_use_primaries(i, now));
        removable
            .filter_map(|i| Some((self.version(&i.id)?, i.id.clone())))
            .collect()
    }

    /// An entry was deleted or marked, or cannot be; it is not tried again at once.
    pub fn on_prune_attempted(&mut self, id: &InstanceId, now: Time) {
        self.entry_versions.remove(id);
        self.last_heartbeat.insert(id.clone(), now);
    }
}

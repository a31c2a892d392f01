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
pub const LEASE_MARGIN: Duration = Duration::from_millis(250);
/// An instance that is not heard for this long is marked as silent.
const SILENT_AFTER: Duration = Duration::from_secs(8);

/// What an instance knows of the register.
#[derive(Debug, Clone, Default)]
pub struct Register {
    entries: BTreeMap<InstanceId, ListedInstance>,
    /// Versions of the entries, as last read from the store.
    versions: HashMap<InstanceId, Version>,
    /// Since when a version of an entry has been seen as silent.
    silent_since: HashMap<InstanceId, (Version, Time)>,
    heard: HashMap<InstanceId, Time>,
    released: HashMap<(InstanceId, Arc<str>), u64>,
    read_at: Time,
}

impl Register {
    /// Takes over a reading of the store that was sent at `asked`.
    pub fn on_read<I>(&mut self, entries: I, asked: Time, now: Time)
    where
        I: IntoIterator<Item = (Version, ListedInstance)>,
    {
        let entries: Vec<_> = entries.into_iter().collect();
        self.versions = entries.iter().map(|(v, i)| (i.id.clone(), *v)).collect();
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
        self.read_at = self.read_at.max(asked);
        self.on_view(entries.into_iter().map(|(_, i)| i), now);
    }

    /// Takes over entries that another instance has read.
    pub fn on_view<I>(&mut self, entries: I, now: Time)
    where
        I: IntoIterator<Item = ListedInstance>,
    {
        self.entries = entries.into_iter().map(|i| (i.id.clone(), i)).collect();
        let entries = &self.entries;
        self.silent_since
            .retain(|id, _| entries.get(id).is_some_and(|i| i.state == ListedState::Silent));
        self.heard.retain(|id, _| entries.contains_key(id));
        for id in entries.keys() {
            self.heard.entry(id.clone()).or_insert(now);
        }
    }

    /// When the last successful reading of the store was sent.
    pub const fn read_at(&self) -> Time {
        self.read_at
    }

    /// The version of an entry in the store.
    pub fn version(&self, id: &InstanceId) -> Option<Version> {
        self.versions.get(id).copied()
    }

    /// The store has another version of an entry than was read.
    pub fn on_version(&mut self, id: &InstanceId, version: Version) {
        self.versions.insert(id.clone(), version);
    }

    /// The instances that take callers, by id.
    pub fn live(&self) -> Vec<ListedInstance> {
        let live = self.entries.values().filter(|i| i.state == ListedState::Live);
        live.cloned().collect()
    }

    /// An instance has sent a sign of life.
    pub fn on_heard(&mut self, id: &InstanceId, now: Time) {
        if self.entries.contains_key(id) {
            self.heard.insert(id.clone(), now);
        }
    }

    /// This instance has taken the failover duty, and signs of life come to it from now on.
    pub fn on_duty_taken(&mut self, now: Time) {
        for at in self.heard.values_mut() {
            *at = now;
        }
    }

    /// An instance uses no primary of an epoch below `epoch` any more.
    pub fn on_released(&mut self, from: InstanceId, service: Arc<str>, epoch: u64) {
        let known = self.released.entry((from, service)).or_default();
        *known = epoch.max(*known);
    }

    /// Instances that may still use a primary of a service from before `epoch`.
    pub fn unreleased(&self, service: &Arc<str>, epoch: u64, now: Time) -> Vec<InstanceId> {
        let unreleased = self.entries.values().filter(|i| {
            let key = (i.id.clone(), Arc::clone(service));
            let released = self.released.get(&key).is_some_and(|e| *e >= epoch);
            !released && self.may_use_primaries(i, now)
        });
        unreleased.map(|i| i.id.clone()).collect()
    }

    fn may_use_primaries(&self, instance: &ListedInstance, now: Time) -> bool {
        match instance.state {
            ListedState::Live => true,
            ListedState::Leaving => false,
            ListedState::Silent => !self.is_silent_for_lease(&instance.id, now),
        }
    }

    fn is_silent_for_lease(&self, id: &InstanceId, now: Time) -> bool {
        let since = self.silent_since.get(id);
        since.is_some_and(|(_, since)| now.saturating_since(*since) > VIEW_LEASE + LEASE_MARGIN)
    }

    /// Live entries whose instances have not been heard for long, as they should be written to the store.
    pub fn newly_silent(&self, now: Time) -> Vec<(Version, ListedInstance)> {
        let live = self.entries.values().filter(|i| i.state == ListedState::Live);
        let silent = live.filter(|i| {
            let heard = self.heard.get(&i.id);
            heard.is_some_and(|at| now.saturating_since(*at) > SILENT_AFTER)
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
    pub fn on_tidied(&mut self, id: &InstanceId, now: Time) {
        self.versions.remove(id);
        self.heard.insert(id.clone(), now);
    }
}

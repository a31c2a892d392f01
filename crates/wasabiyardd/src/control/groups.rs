//! Cache of the replication groups of the databases for which this instance is the home or a standby.
//!
//! When a home crashes while the platform is down, its successor cannot read the group there. It requests the group
//! from the standbys of the database, which hold a copy that is at most half a minute old. An outdated copy is safe,
//! because the home queries the slots themselves for their terms.

use std::collections::BTreeMap;
use std::time::Duration;
use wasabiyard_model::Time;
use wasabiyard_platform::ReplicationGroup;

/// Period in which a home reads its groups, to learn of slots that leave. 860 databases cause 290 reads per second.
const HOME_READ_PERIOD: Duration = Duration::from_secs(3);
/// Period in which a standby reads its copies. 860 databases with three standbys cause 86 reads per second.
const STANDBY_READ_PERIOD: Duration = Duration::from_secs(30);
/// Delay before the read of a group that has never been read is repeated.
const READ_RETRY_PERIOD: Duration = Duration::from_millis(500);
/// Time after which a read without a result is repeated. Platform calls have their own timeout, so this is a safeguard.
const READ_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The role of this instance for a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DatabaseRole {
    /// Keeps a copy of the group for a successor of the home.
    Standby,
    /// Serves the database.
    Home,
}

#[derive(Debug)]
struct GroupEntry {
    role: DatabaseRole,
    group: Option<ReplicationGroup>,
    next_read: Time,
    read_pending: bool,
    /// Whether the last read returned no group, so that a home without one requests it from the standbys.
    read_failed: bool,
}

/// Replication groups by database name.
#[derive(Debug, Default)]
pub struct GroupCache {
    entries: BTreeMap<String, GroupEntry>,
}

impl GroupCache {
    /// Keeps the databases in `roles` and drops all others. Returns whether the result of [`GroupCache::home_groups`]
    /// may have changed.
    pub fn update_roles(&mut self, roles: &BTreeMap<&str, DatabaseRole>, now: Time) -> bool {
        let mut changed = false;
        self.entries.retain(|database, entry| {
            let role = roles.get(database.as_str());
            changed |= entry.role == DatabaseRole::Home && role != Some(&DatabaseRole::Home);
            role.is_some()
        });
        for (database, role) in roles {
            let Some(entry) = self.entries.get_mut(*database) else {
                let entry = GroupEntry {
                    role: *role,
                    group: None,
                    next_read: now,
                    read_pending: false,
                    read_failed: false,
                };
                self.entries.insert((*database).to_owned(), entry);
                continue;
            };
            if entry.role != *role {
                changed |= entry.group.is_some();
                entry.role = *role;
                entry.next_read = if entry.read_pending { entry.next_read } else { now };
            }
        }
        changed
    }

    /// Returns the databases whose group is due for a read, and marks these reads as started.
    pub fn start_due_reads(&mut self, now: Time) -> Vec<String> {
        let due = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| now >= entry.next_read);
        due.map(|(database, entry)| {
            entry.read_pending = true;
            entry.next_read = now + READ_STALL_TIMEOUT;
            database.clone()
        })
        .collect()
    }

    /// Databases whose home is this instance and whose group could not be read so far.
    pub fn unavailable(&self) -> impl Iterator<Item = &str> {
        let missing = |e: &GroupEntry| e.role == DatabaseRole::Home && e.group.is_none() && e.read_failed;
        self.entries
            .iter()
            .filter(move |(_, entry)| missing(entry))
            .map(|(database, _)| database.as_str())
    }

    /// Makes a group due for a read at the next tick, after a promotion by this instance or a sign that the group
    /// changed.
    pub fn refresh(&mut self, database: &str, now: Time) {
        if let Some(entry) = self.entries.get_mut(database).filter(|entry| !entry.read_pending) {
            entry.next_read = now;
        }
    }

    /// Stores the result of a read and schedules the next one. Returns the group if it changed. `jitter` in 0..1
    /// spreads the reads of many homes.
    pub fn on_read(
        &mut self,
        database: &str,
        group: Option<ReplicationGroup>,
        jitter: f64,
        now: Time,
    ) -> Option<&ReplicationGroup> {
        let entry = self.entries.get_mut(database)?;
        entry.read_pending = false;
        entry.read_failed = group.is_none();
        let period = match entry.role {
            _ if entry.group.is_none() && group.is_none() => READ_RETRY_PERIOD,
            DatabaseRole::Home => HOME_READ_PERIOD,
            DatabaseRole::Standby => STANDBY_READ_PERIOD,
        };
        entry.next_read = now + period.mul_f64(0.75 + 0.5 * jitter);
        entry.replace_unless_older(group?)
    }

    /// Stores a peer's copy of a group if none is cached or the copy has a higher term. Returns the group if it
    /// changed.
    pub fn on_peer_copy(&mut self, database: &str, group: ReplicationGroup) -> Option<&ReplicationGroup> {
        let entry = self.entries.get_mut(database)?;
        let newer = entry.group.as_ref().is_none_or(|old| group.term > old.term);
        if newer {
            entry.replace_unless_older(group)
        } else {
            None
        }
    }

    /// The cached group of a database.
    pub fn get(&self, database: &str) -> Option<&ReplicationGroup> {
        self.entries.get(database)?.group.as_ref()
    }

    /// The groups of the databases whose home is this instance, without those that have not been read yet.
    pub fn home_groups(&self) -> BTreeMap<String, ReplicationGroup> {
        let homes = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.role == DatabaseRole::Home);
        homes
            .filter_map(|(database, entry)| Some((database.clone(), entry.group.clone()?)))
            .collect()
    }
}

impl GroupEntry {
    /// Replaces the group unless the new one has a lower term, because a read that started earlier may end later.
    /// Returns the new group if it differs from the old one.
    fn replace_unless_older(&mut self, group: ReplicationGroup) -> Option<&ReplicationGroup> {
        if self
            .group
            .as_ref()
            .is_some_and(|old| group == *old || group.term < old.term)
        {
            return None;
        }
        Some(self.group.insert(group))
    }
}

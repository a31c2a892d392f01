//! The groups of the databases whose home is this instance, and of those for which it keeps a copy.
//!
//! A home that crashes while the platform is down is followed by an instance that cannot read the group. It asks the
//! keepers of the database, which hold a copy that is at most half a minute old. An old copy is safe: the home asks the
//! slots themselves for their terms.

use std::collections::BTreeMap;
use std::time::Duration;
use wasabiyard_model::Time;
use wasabiyard_platform::ReplicationGroup;

/// A home reads its groups this often, to learn of slots that leave. 860 databases make 290 reads a second.
const HOME_PERIOD: Duration = Duration::from_secs(3);
/// A keeper reads its copies this often. 860 databases with three keepers make 86 reads a second.
const KEEPER_PERIOD: Duration = Duration::from_secs(30);
/// A group that was not read yet is tried again after this time.
const RETRY_PERIOD: Duration = Duration::from_millis(500);
/// A read whose result does not come, although calls end by their timeout, is repeated.
const READ_LIMIT: Duration = Duration::from_secs(30);

/// What this instance is for a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// Keeps a copy of the group.
    Keeper,
    /// Serves the database.
    Home,
}

#[derive(Debug)]
struct Row {
    part: Part,
    group: Option<ReplicationGroup>,
    next_read: Time,
    reading: bool,
    /// Whether the last read gave nothing, so that keepers are asked.
    failed: bool,
}

/// The groups, by database.
#[derive(Debug, Default)]
pub struct Groups {
    rows: BTreeMap<String, Row>,
}

impl Groups {
    /// Keeps exactly the databases of `parts`. Returns whether the groups of homes changed.
    pub fn retain(&mut self, parts: &BTreeMap<&str, Part>, now: Time) -> bool {
        let mut changed = false;
        self.rows.retain(|database, row| {
            let part = parts.get(database.as_str());
            changed |= row.part == Part::Home && part != Some(&Part::Home);
            part.is_some()
        });
        for (database, part) in parts {
            let Some(row) = self.rows.get_mut(*database) else {
                let row = Row {
                    part: *part,
                    group: None,
                    next_read: now,
                    reading: false,
                    failed: false,
                };
                self.rows.insert((*database).to_owned(), row);
                continue;
            };
            if row.part != *part {
                changed |= row.group.is_some();
                row.part = *part;
                row.next_read = if row.reading { row.next_read } else { now };
            }
        }
        changed
    }

    /// Databases whose group is to be read now.
    pub fn due(&mut self, now: Time) -> Vec<String> {
        let due = self.rows.iter_mut().filter(|(_, row)| now >= row.next_read);
        due.map(|(database, row)| {
            row.reading = true;
            row.next_read = now + READ_LIMIT;
            database.clone()
        })
        .collect()
    }

    /// Databases whose home is this instance but whose group the platform does not give.
    pub fn missing(&self) -> impl Iterator<Item = &str> {
        let missing = |row: &Row| row.part == Part::Home && row.group.is_none() && row.failed;
        self.rows
            .iter()
            .filter(move |(_, row)| missing(row))
            .map(|(database, _)| database.as_str())
    }

    /// Asks for a read at the next tick, after a promotion by this instance or a sign that the group changed.
    pub fn refresh(&mut self, database: &str, now: Time) {
        if let Some(row) = self.rows.get_mut(database).filter(|row| !row.reading) {
            row.next_read = now;
        }
    }

    /// Takes over what was read. Returns the group when it changed and this instance is the home. `jitter` in 0..1 spreads the reads of many homes.
    pub fn found(
        &mut self,
        database: &str,
        group: Option<ReplicationGroup>,
        jitter: f64,
        now: Time,
    ) -> Option<&ReplicationGroup> {
        let row = self.rows.get_mut(database)?;
        row.reading = false;
        row.failed = group.is_none();
        let period = match row.part {
            _ if row.group.is_none() && group.is_none() => RETRY_PERIOD,
            Part::Home => HOME_PERIOD,
            Part::Keeper => KEEPER_PERIOD,
        };
        row.next_read = now + period.mul_f64(0.75 + 0.5 * jitter);
        row.adopt(group?)
    }

    /// Takes over a copy of a keeper. Returns the group when it is newer and this instance is the home.
    pub fn copied(&mut self, database: &str, group: ReplicationGroup) -> Option<&ReplicationGroup> {
        let row = self.rows.get_mut(database)?;
        let newer = row.group.as_ref().is_none_or(|old| group.term > old.term);
        if newer { row.adopt(group) } else { None }
    }

    /// The group of a database, as home or keeper.
    pub fn get(&self, database: &str) -> Option<&ReplicationGroup> {
        self.rows.get(database)?.group.as_ref()
    }

    /// The groups of the databases whose home is this instance, as far as they were read.
    pub fn known(&self) -> BTreeMap<String, ReplicationGroup> {
        let homes = self.rows.iter().filter(|(_, row)| row.part == Part::Home);
        homes
            .filter_map(|(database, row)| Some((database.clone(), row.group.clone()?)))
            .collect()
    }
}

impl Row {
    /// Takes over a group unless it is of a lower term: a read that started earlier may end later. Returns it when this
    /// instance is the home.
    fn adopt(&mut self, group: ReplicationGroup) -> Option<&ReplicationGroup> {
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

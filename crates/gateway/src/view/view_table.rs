//! The view as a relay holds it: every part with the number of its last change.

use super::{ViewAges, ViewCursor, ViewEntry, ViewKey, ViewPage, ViewValue};
use std::collections::BTreeMap;
use wasabiyard_model::Version;

/// Most entries of one page, so that it fits a datagram.
const MAX_PAGE_ENTRIES: usize = 30;
/// Most tombstones of removed parts that are kept for followers that have not received them yet.
const MAX_TOMBSTONES: usize = 500;

/// The parts of a relay's view, with the numbers of their last changes.
#[derive(Debug, Default)]
pub struct ViewTable {
    incarnation: u64,
    /// Rises each time the tombstones are discarded, which makes all followers fetch the whole view again.
    generation: u64,
    last_change: u64,
    /// Number of the last change and value of each part; no value is a tombstone.
    parts: BTreeMap<ViewKey, (u64, Option<ViewValue>)>,
}

impl ViewTable {
    /// Creates an empty table for a process with this incarnation.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// Replaces all parts whose keys `in_scope` selects by `parts`, which must have such keys only. Equal values do not
    /// count as changes.
    pub fn replace<F>(&mut self, in_scope: F, parts: Vec<(ViewKey, ViewValue)>)
    where
        F: Fn(&ViewKey) -> bool,
    {
        let removed: Vec<_> = self
            .parts
            .iter()
            .filter(|(key, (_, value))| {
                in_scope(key) && value.is_some() && !parts.iter().any(|(k, _)| k == *key)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in removed {
            self.set(key, None);
        }
        for (key, value) in parts {
            self.set(key, Some(value));
        }
        self.discard_tombstones();
    }

    fn set(&mut self, key: ViewKey, value: Option<ViewValue>) {
        if self.parts.get(&key).is_some_and(|(_, current)| *current == value) {
            return;
        }
        self.last_change += 1;
        self.parts.insert(key, (self.last_change, value));
    }

    fn discard_tombstones(&mut self) {
        let tombstones = self.parts.values().filter(|(_, value)| value.is_none());
        if tombstones.count() > MAX_TOMBSTONES {
            self.parts.retain(|_, (_, value)| value.is_some());
            self.generation += 1;
        }
    }

    /// The next page for a follower at `cursor`. An unknown cursor restarts from the whole view.
    pub fn page(&self, cursor: ViewCursor, ages: ViewAges, configuration: Version) -> ViewPage {
        let resumable = cursor.incarnation == self.incarnation
            && cursor.generation == self.generation
            && cursor.change <= self.last_change;
        let since = if resumable { cursor.change } else { 0 };
        let mut changed: Vec<_> = self
            .parts
            .iter()
            .filter(|(_, (change, value))| *change > since && (resumable || value.is_some()))
            .collect();
        changed.sort_by_key(|(_, (change, _))| *change);
        let complete = changed.len() <= MAX_PAGE_ENTRIES;
        changed.truncate(MAX_PAGE_ENTRIES);
        let last_included = match changed.last() {
            Some((_, (change, _))) if !complete => *change,
            _ => self.last_change,
        };
        ViewPage {
            cursor: ViewCursor {
                incarnation: self.incarnation,
                generation: self.generation,
                change: last_included,
            },
            restart: !resumable,
            complete,
            ages,
            configuration,
            entries: changed
                .into_iter()
                .map(|(key, (_, value))| ViewEntry {
                    key: key.clone(),
                    value: value.clone(),
                })
                .collect(),
        }
    }
}

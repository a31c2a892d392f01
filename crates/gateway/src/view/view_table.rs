//! The view as a relay keeps it: every part with the number of its last change.

use super::{ViewAges, ViewEntry, ViewKey, ViewMark, ViewPage, ViewValue};
use std::collections::BTreeMap;
use wasabiyard_model::Version;

/// Most changes in one page, so that it fits a datagram.
const PAGE_ENTRIES: usize = 30;
/// Parts that are gone are remembered up to this number, for askers that have not heard of it.
const MAX_GONE: usize = 500;

/// The parts of a view.
#[derive(Debug, Default)]
pub struct ViewTable {
    incarnation: u64,
    /// Rises each time that parts that are gone are forgotten, so that all askers begin anew.
    generation: u64,
    last_change: u64,
    parts: BTreeMap<ViewKey, (u64, Option<ViewValue>)>,
}

impl ViewTable {
    /// An empty table of one process.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// Replaces all parts that `covers` selects by `parts`.
    pub fn replace<F>(&mut self, covers: F, parts: Vec<(ViewKey, ViewValue)>)
    where
        F: Fn(&ViewKey) -> bool,
    {
        let gone: Vec<_> = self
            .parts
            .iter()
            .filter(|(key, (_, value))| {
                covers(key) && value.is_some() && !parts.iter().any(|(k, _)| k == *key)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.set(key, None);
        }
        for (key, value) in parts {
            self.set(key, Some(value));
        }
        self.forget_gone();
    }

    fn set(&mut self, key: ViewKey, value: Option<ViewValue>) {
        if self.parts.get(&key).is_some_and(|(_, known)| *known == value) {
            return;
        }
        self.last_change += 1;
        self.parts.insert(key, (self.last_change, value));
    }

    fn forget_gone(&mut self) {
        let gone = self.parts.values().filter(|(_, value)| value.is_none());
        if gone.count() > MAX_GONE {
            self.parts.retain(|_, (_, value)| value.is_some());
            self.generation += 1;
        }
    }

    /// The page for an asker that knows the view up to `mark`.
    pub fn page(&self, mark: ViewMark, ages: ViewAges, configuration: Version) -> ViewPage {
        let known = mark.incarnation == self.incarnation
            && mark.generation == self.generation
            && mark.change <= self.last_change;
        let since = if known { mark.change } else { 0 };
        let mut changed: Vec<_> = self
            .parts
            .iter()
            .filter(|(_, (change, value))| *change > since && (known || value.is_some()))
            .collect();
        changed.sort_by_key(|(_, (change, _))| *change);
        let complete = changed.len() <= PAGE_ENTRIES;
        changed.truncate(PAGE_ENTRIES);
        let through = match changed.last() {
            Some((_, (change, _))) if !complete => *change,
            _ => self.last_change,
        };
        ViewPage {
            mark: ViewMark {
                incarnation: self.incarnation,
                generation: self.generation,
                change: through,
            },
            restart: !known,
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

//! One scope of a view: its parts with the store's revisions of their last changes.

use super::{ViewEntry, ViewKey, ViewPosition, ViewValue};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3Default;

/// Most tombstones of removed parts that are kept for instances that have not received them yet.
const MAX_TOMBSTONES: usize = 500;

/// A part with the revision of its last change. No value is a tombstone, whose revision is that of the list in which
/// the part was missing first.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Part {
    revision: u64,
    value: Option<ViewValue>,
}

/// The parts of one scope, equal to the state of the store at one revision.
#[derive(Debug, Clone, Default)]
pub(super) struct ScopeTable {
    /// Revision of the store that the parts reflect, 0 before the first.
    revision: u64,
    /// Tombstones of parts that were removed after this revision are complete.
    history_start: u64,
    parts: BTreeMap<ViewKey, Part>,
}

impl ScopeTable {
    pub(super) const fn revision(&self) -> u64 {
        self.revision
    }

    /// Digest of which parts exist at which revisions. Two tables of one revision with equal digests are equal.
    pub(super) fn digest(&self) -> u64 {
        self.parts()
            .map(|(key, revision, _)| part_digest(key, revision))
            .fold(0, u64::wrapping_add)
    }

    /// The parts that exist, with the revisions of their last changes.
    pub(super) fn parts(&self) -> impl Iterator<Item = (&ViewKey, u64, &ViewValue)> {
        let parts = self.parts.iter();
        parts.filter_map(|(key, part)| Some((key, part.revision, part.value.as_ref()?)))
    }

    /// The content of a part; `None` if the part does not exist.
    pub(super) fn value(&self, key: &ViewKey) -> Option<&ViewValue> {
        self.parts.get(key)?.value.as_ref()
    }

    /// Replaces the parts by a list that reflects `revision`. Returns whether anything changed; a list that is older
    /// than the parts is ignored.
    pub(super) fn replace(&mut self, revision: u64, listed: Vec<(u64, ViewKey, ViewValue)>) -> bool {
        if revision < self.revision {
            return false;
        }
        if self.revision == 0 {
            self.history_start = revision;
        }
        self.revision = revision;
        let listed: BTreeMap<_, _> = listed.into_iter().map(|(r, key, v)| (key, (r, v))).collect();
        let mut changed = false;
        for (key, part) in &mut self.parts {
            if part.value.is_some() && !listed.contains_key(key) {
                *part = Part {
                    revision,
                    value: None,
                };
                changed = true;
            }
        }
        for (key, (revision, value)) in listed {
            changed |= self.set(key, revision, Some(value));
        }
        self.discard_tombstones();
        changed
    }

    /// The table after the entries of a complete transfer from a relay whose parts reflect `revision`, and whether it
    /// differs from this one. For a whole scope, the entries replace all parts.
    pub(super) fn merged(&self, revision: u64, whole_scope: bool, entries: Vec<ViewEntry>) -> (Self, bool) {
        let mut merged = if whole_scope {
            Self {
                history_start: revision,
                ..Self::default()
            }
        } else {
            self.clone()
        };
        merged.revision = revision;
        let mut changed = whole_scope;
        for entry in entries {
            changed |= merged.set(entry.key, entry.revision, entry.value);
        }
        merged.discard_tombstones();
        (merged, changed)
    }

    /// Sets a part unless its last change is newer. A change of the revision alone is not reported.
    fn set(&mut self, key: ViewKey, revision: u64, value: Option<ViewValue>) -> bool {
        let known = self.parts.get(&key);
        if known.is_some_and(|part| part.revision >= revision) {
            return false;
        }
        let changed = known.and_then(|part| part.value.as_ref()) != value.as_ref();
        self.parts.insert(key, Part { revision, value });
        changed
    }

    fn discard_tombstones(&mut self) {
        let tombstones = self.parts.values().filter(|part| part.value.is_none());
        if tombstones.count() > MAX_TOMBSTONES {
            self.parts.retain(|_, part| part.value.is_some());
            self.history_start = self.revision;
        }
    }

    /// Whether the changes after `position` can be sent without the whole scope.
    pub(super) const fn can_resume(&self, position: &ViewPosition) -> bool {
        position.whole_scope || position.revision >= self.history_start
    }

    /// The entries after `position`, in the order in which they are sent. Empty when the parts are older than it.
    pub(super) fn entries_after(&self, position: &ViewPosition) -> Vec<ViewEntry> {
        let newer = self.parts.iter().filter(|(key, part)| {
            part.revision > position.revision
                || (part.revision == position.revision && position.key.as_ref().is_some_and(|k| *key > k))
        });
        let mut entries: Vec<_> = newer
            .map(|(key, part)| ViewEntry {
                key: key.clone(),
                revision: part.revision,
                value: part.value.clone(),
            })
            .collect();
        entries.sort_by(|a, b| (a.revision, &a.key).cmp(&(b.revision, &b.key)));
        entries
    }
}

fn part_digest(key: &ViewKey, revision: u64) -> u64 {
    let mut hasher = Xxh3Default::new();
    key.hash(&mut hasher);
    revision.hash(&mut hasher);
    hasher.finish()
}

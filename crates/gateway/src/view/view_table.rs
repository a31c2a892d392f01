//! The view of an instance: what it has read from the store itself and received from relays.
//!
//! All positions are revisions of the store, which all instances share. An instance can therefore continue with any
//! relay where it stopped with another one, and serve its own view to others.

use super::scope_table::ScopeTable;
use super::{ViewAges, ViewCursor, ViewEntry, ViewKey, ViewPage, ViewPosition, ViewScope, ViewValue};
use wasabiyard_model::{InstanceId, Version};

/// Most entries of one page, so that it fits a datagram.
const MAX_PAGE_ENTRIES: usize = 30;

/// State of a view after a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewProgress {
    /// Further pages have to be requested from the same relay; nothing was applied yet.
    Partial,
    /// The view is at least as recent as that of the relay was at the time of the response.
    Complete {
        /// Scopes of which a part may have changed.
        changed: Vec<ViewScope>,
    },
}

/// Pages of one relay that are not complete yet.
#[derive(Debug)]
struct Transfer {
    relay: InstanceId,
    /// Incarnation of the relay's process, known after its first page.
    incarnation: Option<u64>,
    cursor: ViewCursor,
    entries: Vec<ViewEntry>,
}

/// The parts of a view by scope.
#[derive(Debug, Default)]
pub struct ViewTable {
    incarnation: u64,
    scopes: [ScopeTable; ViewScope::ALL.len()],
    /// Scopes that have to be requested as a whole, because the changes alone did not lead to the relay's state.
    incomplete: [bool; ViewScope::ALL.len()],
    transfer: Option<Transfer>,
}

impl ViewTable {
    /// Creates an empty table for a process with this incarnation.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// Replaces a scope by a list of the store that reflects `revision`. Each part comes with the revision of its last
    /// change. Returns whether anything changed; a list older than the scope is ignored.
    pub fn replace(
        &mut self,
        scope: ViewScope,
        revision: u64,
        parts: Vec<(u64, ViewKey, ViewValue)>,
    ) -> bool {
        debug_assert!(parts.iter().all(|(_, key, _)| key.scope() == scope));
        self.scopes[scope.index()].replace(revision, parts)
    }

    /// Revision of the store that a scope reflects, 0 before the first list or transfer.
    pub const fn revision(&self, scope: ViewScope) -> u64 {
        self.scopes[scope.index()].revision()
    }

    /// The parts of a scope with the revisions of their last changes.
    pub fn parts(&self, scope: ViewScope) -> impl Iterator<Item = (&ViewKey, u64, &ViewValue)> {
        self.scopes[scope.index()].parts()
    }

    /// The content of a part; `None` if the part does not exist.
    pub fn value(&self, key: &ViewKey) -> Option<&ViewValue> {
        self.scopes[key.scope().index()].value(key)
    }

    /// The cursor to send to a relay. A transfer that another relay has begun is dropped.
    pub fn cursor_for(&mut self, relay: &InstanceId) -> ViewCursor {
        if let Some(transfer) = self.transfer.as_ref().filter(|t| t.relay == *relay) {
            return transfer.cursor.clone();
        }
        let cursor = self.complete_cursor();
        self.transfer = Some(Transfer {
            relay: relay.clone(),
            incarnation: None,
            cursor: cursor.clone(),
            entries: Vec::new(),
        });
        cursor
    }

    fn complete_cursor(&self) -> ViewCursor {
        let mut positions = self.scopes.each_ref().map(|s| ViewPosition::at(s.revision()));
        for (position, incomplete) in positions.iter_mut().zip(self.incomplete) {
            if incomplete {
                *position = ViewPosition::WHOLE_SCOPE;
            }
        }
        ViewCursor { positions }
    }

    /// Applies a page of the relay that [`Self::cursor_for`] was last called with. Entries take effect with the page
    /// that completes the transfer.
    pub fn apply(&mut self, page: ViewPage) -> ViewProgress {
        let Some(mut transfer) = self.transfer.take() else {
            return ViewProgress::Partial;
        };
        if transfer
            .incarnation
            .is_some_and(|known| known != page.incarnation)
        {
            // A relay that has restarted in the middle does not know which removed parts it had already sent.
            return ViewProgress::Partial;
        }
        transfer.incarnation = Some(page.incarnation);
        transfer.entries.extend(page.entries);
        transfer.cursor = page.cursor;
        if !page.complete {
            self.transfer = Some(transfer);
            return ViewProgress::Partial;
        }
        match self.merge(transfer, page.digests) {
            Some(changed) => ViewProgress::Complete { changed },
            None => ViewProgress::Partial,
        }
    }

    /// Takes over a complete transfer. `None` when a scope does not equal that of the relay afterwards: a part may have
    /// appeared and gone between two lists of the relay, which then has no tombstone of it. Nothing changes then, and
    /// the scope is requested as a whole.
    fn merge(
        &mut self,
        transfer: Transfer,
        digests: [Option<u64>; ViewScope::ALL.len()],
    ) -> Option<Vec<ViewScope>> {
        let mut by_scope: [Vec<ViewEntry>; ViewScope::ALL.len()] = Default::default();
        for entry in transfer.entries {
            by_scope[entry.key.scope().index()].push(entry);
        }
        let mut merged = Vec::new();
        for (scope, entries) in ViewScope::ALL.into_iter().zip(by_scope) {
            let i = scope.index();
            let position = &transfer.cursor.positions[i];
            let Some(digest) = digests[i].filter(|_| position.revision >= self.scopes[i].revision()) else {
                // This instance knows more than the relay.
                continue;
            };
            let (table, changed) = self.scopes[i].merged(position.revision, position.whole_scope, entries);
            if table.digest() != digest {
                self.incomplete[i] = true;
                return None;
            }
            merged.push((scope, table, changed));
        }
        let mut changed_scopes = Vec::new();
        for (scope, table, changed) in merged {
            self.scopes[scope.index()] = table;
            self.incomplete[scope.index()] = false;
            if changed {
                changed_scopes.push(scope);
            }
        }
        Some(changed_scopes)
    }

    /// The next page for an instance at `cursor`. A scope whose removed parts since the cursor are no longer known is
    /// sent as a whole.
    pub fn page(&self, cursor: &ViewCursor, ages: ViewAges, configuration: Version) -> ViewPage {
        let mut cursor = cursor.clone();
        let mut entries = Vec::new();
        let mut complete = true;
        let mut digests = [None; ViewScope::ALL.len()];
        for ((scope, position), digest) in self.scopes.iter().zip(&mut cursor.positions).zip(&mut digests) {
            if position.revision > scope.revision() {
                // This instance knows less than the other one.
                continue;
            }
            *digest = Some(scope.digest());
            if !scope.can_resume(position) {
                *position = ViewPosition::WHOLE_SCOPE;
            }
            let mut pending = scope.entries_after(position);
            let room = MAX_PAGE_ENTRIES - entries.len();
            if pending.len() > room {
                complete = false;
                pending.truncate(room);
                if let Some(last) = pending.last() {
                    position.revision = last.revision;
                    position.key = Some(last.key.clone());
                }
            } else {
                position.revision = scope.revision();
                position.key = None;
            }
            entries.extend(pending);
        }
        ViewPage {
            incarnation: self.incarnation,
            cursor,
            complete,
            digests,
            ages,
            configuration,
            entries,
        }
    }
}

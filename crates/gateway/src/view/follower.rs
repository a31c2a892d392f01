//! The view as a follower rebuilds it from the pages of one relay.

use super::{ViewCursor, ViewKey, ViewPage, ViewValue};
use std::collections::BTreeMap;
use wasabiyard_model::InstanceId;

/// State of a follower's view after a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewProgress {
    /// Further pages have to be requested before the view may be used.
    Partial,
    /// The view equals the relay's view at the time of the response.
    Complete {
        /// Whether it may differ from the previous complete view.
        changed: bool,
    },
}

/// A view rebuilt from the pages of the relay that was queried last.
#[derive(Debug, Default)]
pub struct Follower {
    relay: Option<InstanceId>,
    cursor: ViewCursor,
    parts: BTreeMap<ViewKey, ViewValue>,
    /// Whether a page has changed the parts since the last complete view.
    changed: bool,
}

impl Follower {
    /// The cursor to send to a relay. Another relay counts its changes differently, so the view starts anew.
    pub fn cursor_for(&mut self, relay: &InstanceId) -> ViewCursor {
        if self.relay.as_ref() != Some(relay) {
            *self = Self {
                relay: Some(relay.clone()),
                ..Self::default()
            };
        }
        self.cursor
    }

    /// Applies a page of the relay that [`Self::cursor_for`] was last called with.
    pub fn apply(&mut self, page: ViewPage) -> ViewProgress {
        if page.restart {
            self.parts.clear();
        }
        self.changed |= page.restart || !page.entries.is_empty();
        self.cursor = page.cursor;
        for entry in page.entries {
            match entry.value {
                Some(value) => {
                    self.parts.insert(entry.key, value);
                }
                None => {
                    self.parts.remove(&entry.key);
                }
            }
        }
        if !page.complete {
            return ViewProgress::Partial;
        }
        ViewProgress::Complete {
            changed: std::mem::take(&mut self.changed),
        }
    }

    /// All parts by key. They are consistent only after [`ViewProgress::Complete`].
    pub fn parts(&self) -> impl Iterator<Item = (&ViewKey, &ViewValue)> {
        self.parts.iter()
    }
}

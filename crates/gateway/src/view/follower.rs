//! The view as a follower rebuilds it from the answers of one relay.

use super::{ViewKey, ViewMark, ViewPage, ViewValue};
use std::collections::BTreeMap;
use wasabiyard_model::InstanceId;

/// What a page led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Followed {
    /// More pages are needed.
    Partial,
    /// The view is whole.
    Whole {
        /// Whether it differs from the last whole view.
        changed: bool,
    },
}

/// The rebuilt view.
#[derive(Debug, Default)]
pub struct Follower {
    relay: Option<InstanceId>,
    mark: ViewMark,
    parts: BTreeMap<ViewKey, ViewValue>,
    changed: bool,
}

impl Follower {
    /// The mark to send to a relay. Another relay counts its changes differently, so the view starts anew.
    pub fn mark_for(&mut self, relay: &InstanceId) -> ViewMark {
        if self.relay.as_ref() != Some(relay) {
            *self = Self {
                relay: Some(relay.clone()),
                ..Self::default()
            };
        }
        self.mark
    }

    /// Takes over a page of the relay that was asked.
    pub fn take(&mut self, page: ViewPage) -> Followed {
        if page.restart {
            self.parts.clear();
        }
        self.changed |= page.restart || !page.entries.is_empty();
        self.mark = page.mark;
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
            return Followed::Partial;
        }
        Followed::Whole {
            changed: std::mem::take(&mut self.changed),
        }
    }

    /// The parts.
    pub fn parts(&self) -> impl Iterator<Item = (&ViewKey, &ViewValue)> {
        self.parts.iter()
    }
}

//! Session state that a backend connection carries.

use crate::Shape;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Most shapes that stay prepared on one connection.
pub const MAX_PREPARED: usize = 64;

/// Values of a session, by name.
pub type SessionValues = BTreeMap<Rc<str>, Rc<str>>;

/// What was set and prepared on a backend connection.
#[derive(Debug, Clone, Default)]
pub struct Profile {
    /// Values in force.
    pub values: SessionValues,
    /// Shapes that are prepared under their derived names.
    pub prepared: BTreeSet<Shape>,
}

/// What has to be sent to a connection before a session may use it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Adjustment {
    /// Whether everything has to be dropped first.
    pub reset: bool,
    /// Values to set.
    pub set: Vec<(Rc<str>, Rc<str>)>,
}

impl Profile {
    /// What makes the values of the connection equal to those of a session.
    pub fn adjustment(&self, wanted: &SessionValues) -> Adjustment {
        let reset = self.values.keys().any(|name| !wanted.contains_key(name));
        let set = wanted
            .iter()
            .filter(|&(name, value)| reset || self.values.get(name) != Some(value));
        Adjustment {
            reset,
            set: set.map(|(n, v)| (Rc::clone(n), Rc::clone(v))).collect(),
        }
    }
}

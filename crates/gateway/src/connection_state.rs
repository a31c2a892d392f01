//! Session values and prepared statements of a backend connection.

use crate::PreparedStatement;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Most statements that stay prepared on one backend connection.
pub const MAX_PREPARED_STATEMENTS: usize = 64;
/// Most bytes of session values and prepared statements that stay on a backend connection without the session that set
/// them. No session pays for them any more.
pub const MAX_LEFT_STATE_BYTES: usize = 64 * 1_024;

/// Values that a caller has set in its session, by name.
pub type SessionValues = BTreeMap<Rc<str>, Rc<str>>;

/// Session values and prepared statements of one backend connection. They outlive the caller's session that set them.
#[derive(Debug, Clone, Default)]
pub struct ConnectionState {
    /// Session values that were set on the connection.
    pub values: SessionValues,
    /// Statements that are prepared on the connection, under names derived from their definitions.
    pub prepared: BTreeSet<PreparedStatement>,
}

/// Commands that a connection needs before another session may use it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Adjustment {
    /// Whether the connection has to be reset first, because it has a value that the session lacks.
    pub reset: bool,
    /// Values to set, after the reset if there is one.
    pub set: Vec<(Rc<str>, Rc<str>)>,
}

impl ConnectionState {
    /// Whether the text of all values and prepared statements is short enough to outlive their session.
    pub fn may_be_left(&self) -> bool {
        let values = self.values.iter().map(|(name, value)| name.len() + value.len());
        let prepared = self.prepared.iter().map(|definition| definition.text.len());
        values.chain(prepared).sum::<usize>() <= MAX_LEFT_STATE_BYTES
    }

    /// The commands that make the values of the connection equal to those of a session.
    pub fn adjustment(&self, session_values: &SessionValues) -> Adjustment {
        let reset = self.values.keys().any(|name| !session_values.contains_key(name));
        let set = session_values
            .iter()
            .filter(|&(name, value)| reset || self.values.get(name) != Some(value));
        Adjustment {
            reset,
            set: set.map(|(n, v)| (Rc::clone(n), Rc::clone(v))).collect(),
        }
    }
}

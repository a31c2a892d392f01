//! The instances through which this one uses a backend server.

use super::holder::HolderPair;
use super::suspects::Suspects;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use wasabiyard_model::{InstanceId, Time};

/// The holder of one server and its substitute, as far as they are not suspect.
#[derive(Debug, Clone)]
pub struct RelayRoute {
    server: Arc<str>,
    own_id: InstanceId,
    holders: HolderPair,
    suspects: Rc<RefCell<Suspects>>,
}

impl RelayRoute {
    pub(super) const fn new(
        server: Arc<str>,
        own_id: InstanceId,
        holders: HolderPair,
        suspects: Rc<RefCell<Suspects>>,
    ) -> Self {
        Self {
            server,
            own_id,
            holders,
            suspects,
        }
    }

    /// The instance whose connections a statement uses at `now`; `None` when it has to use a direct connection. An
    /// instance that holds the server itself never avoids itself.
    pub fn target(&self, now: Time) -> Option<&InstanceId> {
        let suspects = self.suspects.borrow();
        let mut holders = std::iter::once(&self.holders.first).chain(&self.holders.second);
        holders.find(|id| **id == self.own_id || suspects.allows(id, &self.server, now))
    }

    /// Whether this instance is the one that the next statement uses.
    pub fn is_local(&self, now: Time) -> bool {
        self.target(now) == Some(&self.own_id)
    }

    /// Whether this instance holds the server.
    pub fn is_holder(&self) -> bool {
        self.holders.first == self.own_id
    }

    /// The holders, apart from what this instance suspects.
    pub const fn holders(&self) -> &HolderPair {
        &self.holders
    }
}

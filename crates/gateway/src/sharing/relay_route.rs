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
    ///
    /// A holder without its server shows that either of them is lost. Direct connections tell which, and this instance must know
    /// that of its own before it reports the server as lost. The substitute is used once the server `answers_directly`.
    pub fn target(&self, answers_directly: bool, now: Time) -> Option<&InstanceId> {
        let suspects = self.suspects.borrow();
        let allows = |id: &InstanceId| *id == self.own_id || suspects.allows(id, &self.server, now);
        let first = &self.holders.first;
        if allows(first) {
            return Some(first);
        }
        if suspects.is_without_server(first, &self.server) && !answers_directly {
            return None;
        }
        self.holders.second.as_ref().filter(|id| allows(id))
    }

    /// Whether `target` is this instance.
    pub fn is_own(&self, target: &InstanceId) -> bool {
        *target == self.own_id
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

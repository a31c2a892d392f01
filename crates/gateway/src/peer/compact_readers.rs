//! Which instances read the short encoding. Builds without it run beside this one during a rollout.

use std::collections::HashMap;
use wasabiyard_model::{Incarnation, InstanceId};

/// Processes that have shown that they read the short encoding.
#[derive(Debug, Clone, Default)]
pub struct CompactReaders {
    incarnations: HashMap<InstanceId, Incarnation>,
}

impl CompactReaders {
    /// Records an envelope of a process.
    pub fn on_envelope(&mut self, from: &InstanceId, incarnation: Incarnation, reads_compact: bool) {
        if reads_compact {
            self.incarnations.insert(from.clone(), incarnation);
        } else {
            self.incarnations.remove(from);
        }
    }

    /// Whether the process `incarnation` of an instance is known to read the short encoding. A restarted one may be of
    /// another build.
    pub fn contains(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
        self.incarnations.get(id) == Some(&incarnation)
    }
}

//! The identity of a process that may hold share units.

use std::fmt;
use wasabiyard_model::{Incarnation, InstanceId};

/// An instance in one incarnation. Units belong to a process rather than to an instance name, because a process
/// persists nothing and its successor starts without units.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    /// Name of the instance, which a restarted process keeps.
    pub instance: InstanceId,
    /// Incarnation of the instance, higher for each process of the same name.
    pub incarnation: Incarnation,
}

impl Holder {
    /// Creates a holder from its name and incarnation.
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            instance,
            incarnation,
        }
    }
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.incarnation)
    }
}

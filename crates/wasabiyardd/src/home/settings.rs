//! Settings of the home role.

use super::slot_connection::Credential;
use wasabiyard_model::{Incarnation, InstanceId};

/// The part of the daemon settings that the home role needs.
#[derive(Debug, Clone)]
pub struct HomeSettings {
    /// Name of this instance, which is part of the owner name of its promotions.
    pub instance: InstanceId,
    /// Incarnation of this process, which is part of the owner name too.
    pub incarnation: Incarnation,
    /// Credential that the slots accept.
    pub credential: Credential,
}

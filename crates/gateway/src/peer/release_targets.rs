//! Who is told that an instance has stopped using a primary.

use std::collections::HashMap;
use std::sync::Arc;
use wasabiyard_model::InstanceId;

/// The instances that wait for releases: the holder of the failover duty and, for each service, the instance that told of
/// the last change of its primary. They differ when this instance cannot read the store and so does not know of a new
/// holder.
#[derive(Debug, Clone, Default)]
pub struct ReleaseTargets {
    recorders: HashMap<Arc<str>, InstanceId>,
}

impl ReleaseTargets {
    /// An instance has told that it changed the primary of a service.
    pub fn on_recorded(&mut self, service: Arc<str>, from: InstanceId) {
        self.recorders.insert(service, from);
    }

    /// The instances to tell about a service, without `me`.
    pub fn of(&self, service: &str, duty_holder: Option<&str>, me: &InstanceId) -> Vec<InstanceId> {
        let mut targets: Vec<_> = duty_holder.map(InstanceId::from).into_iter().collect();
        targets.extend(self.recorders.get(service).cloned());
        targets.dedup();
        targets.retain(|id| id != me);
        targets
    }
}

//! Recipients of the messages in which this instance reports that it has released a primary.

use std::collections::HashMap;
use std::sync::Arc;
use wasabiyard_model::InstanceId;

/// Instances that wait for releases of a primary: the holder of the failover lease and, for each service, the sender of
/// the last new primary record. They differ when this instance cannot read the store and so does not know the new
/// holder.
#[derive(Debug, Clone, Default)]
pub struct ReleaseTargets {
    /// Sender of the last new primary record, by service.
    record_writers: HashMap<Arc<str>, InstanceId>,
}

impl ReleaseTargets {
    /// Records that `from` announced a new primary record of a service.
    pub fn on_primary_record(&mut self, service: Arc<str>, from: InstanceId) {
        self.record_writers.insert(service, from);
    }

    /// The instances that wait for releases of a service's primary, without `own_id`.
    pub fn for_service(
        &self,
        service: &str,
        failover_lease_holder: Option<&str>,
        own_id: &InstanceId,
    ) -> Vec<InstanceId> {
        let mut targets: Vec<_> = failover_lease_holder.map(InstanceId::from).into_iter().collect();
        targets.extend(self.record_writers.get(service).cloned());
        targets.dedup();
        targets.retain(|id| id != own_id);
        targets
    }
}

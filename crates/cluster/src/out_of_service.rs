//! Failure domains and instances that operators took out of service.

use std::collections::BTreeSet;
use wasabiyard_model::InstanceId;

/// The version in force of the out-of-service document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OutOfServiceState {
    version: u64,
    failure_domains: BTreeSet<String>,
    instances: BTreeSet<InstanceId>,
}

impl OutOfServiceState {
    /// Version of the document; 0 before the first one.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Failure domains that are out of service.
    pub const fn failure_domains(&self) -> &BTreeSet<String> {
        &self.failure_domains
    }

    /// Instances that are out of service individually, whatever their failure domain.
    pub const fn instances(&self) -> &BTreeSet<InstanceId> {
        &self.instances
    }

    /// Whether an instance may take new work.
    pub fn in_service(&self, instance: &InstanceId, failure_domain: &str) -> bool {
        !self.failure_domains.contains(failure_domain) && !self.instances.contains(instance)
    }

    /// Replaces the document by a newer version. Returns false, without a change, when the version is not newer.
    pub fn adopt<D, I>(&mut self, version: u64, failure_domains: D, instances: I) -> bool
    where
        D: IntoIterator<Item = String>,
        I: IntoIterator<Item = InstanceId>,
    {
        if version <= self.version {
            return false;
        }
        *self = Self {
            version,
            failure_domains: failure_domains.into_iter().collect(),
            instances: instances.into_iter().collect(),
        };
        true
    }
}

//! State shared by the tasks of the control thread.

use super::failover::ReachabilityReports;
use super::failover_lease::FailoverLease;
use super::instance_registry::InstanceRegistry;
use super::store_circuit_breaker::StoreCircuitBreaker;
use super::view_requests::PendingViewRequests;
use crate::view::{Follower, ViewTable};
use crate::{ClusterSnapshot, PrimaryRecord};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use wasabiyard_model::Version;

/// What this instance has observed in the store, from relays and from heartbeats.
#[derive(Debug)]
pub(super) struct ControlState {
    /// Working copy of the cluster snapshot; the traffic thread sees changes after
    /// [`super::ControlThread::publish_snapshot`].
    pub(super) snapshot: ClusterSnapshot,
    pub(super) failover_lease: FailoverLease,
    /// Object versions of the primary records by service, for conditional writes.
    pub(super) primary_versions: HashMap<Arc<str>, Version>,
    pub(super) registry: InstanceRegistry,
    pub(super) reachability: ReachabilityReports,
    /// Services for which a task is taking a step, so that no second task starts.
    pub(super) changing_services: HashSet<Arc<str>>,
    /// What this instance has read from the store and serves to followers.
    pub(super) relay_view: ViewTable,
    /// What this instance has received from a relay.
    pub(super) follower: Follower,
    pub(super) view_requests: PendingViewRequests,
    pub(super) store_breaker: StoreCircuitBreaker,
    pub(super) stopping: bool,
}

impl ControlState {
    pub(super) fn new(incarnation: u64) -> Self {
        Self {
            snapshot: ClusterSnapshot::default(),
            failover_lease: FailoverLease::default(),
            primary_versions: HashMap::new(),
            registry: InstanceRegistry::default(),
            reachability: ReachabilityReports::default(),
            changing_services: HashSet::new(),
            relay_view: ViewTable::new(incarnation),
            follower: Follower::default(),
            view_requests: PendingViewRequests::default(),
            store_breaker: StoreCircuitBreaker::default(),
            stopping: false,
        }
    }

    /// Copies the live instances and the holder of the failover lease into the snapshot.
    pub(super) fn refresh_snapshot(&mut self) {
        self.snapshot.failover_lease_holder = self.failover_lease.holder().map(Arc::clone);
        self.snapshot.members = self.registry.live();
    }

    /// Applies a primary record if its epoch is above the known one. Returns whether it was applied.
    pub(super) fn apply_primary_record(&mut self, service: Arc<str>, record: PrimaryRecord) -> bool {
        let known = self.snapshot.primaries.get(&service);
        if known.is_some_and(|k| k.epoch >= record.epoch) {
            return false;
        }
        log::info!(service:% = service, epoch = record.epoch, leadership:? = record.leadership; "primary record");
        self.snapshot.primaries.insert(service, record);
        true
    }
}

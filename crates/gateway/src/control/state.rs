//! State shared by the tasks of the control thread.

use super::failover::ReachabilityReports;
use super::failover_lease::FailoverLease;
use super::instance_registry::InstanceRegistry;
use super::revision_proofs::RevisionProofs;
use super::store_circuit_breaker::StoreCircuitBreaker;
use super::view_requests::PendingViewRequests;
use crate::view::{ViewKey, ViewScope, ViewTable, ViewValue};
use crate::{BackendServer, ClusterSnapshot, PrimaryRecord};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use wasabiyard_model::{Time, Version};

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
    /// What this instance has read from the store and received from relays, and serves to followers.
    pub(super) view: ViewTable,
    /// Revisions that linearizable calls of this instance have proved.
    pub(super) proofs: RevisionProofs,
    /// Reads of the store are linearizable before this time, because stale ones lag too far behind.
    pub(super) stale_reads_after: Time,
    /// Revision at which this process registered; an older view cannot contain its entry.
    pub(super) registration_revision: u64,
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
            view: ViewTable::new(incarnation),
            proofs: RevisionProofs::default(),
            stale_reads_after: Time::ZERO,
            registration_revision: 0,
            view_requests: PendingViewRequests::default(),
            store_breaker: StoreCircuitBreaker::default(),
            stopping: false,
        }
    }

    /// Brings the state in line with a scope of the view that was current at `as_of`.
    pub(super) fn on_view_changed(&mut self, scope: ViewScope, as_of: Time, now: Time) {
        match scope {
            ViewScope::Records => self.apply_records(as_of, now),
            ViewScope::Servers => self.apply_servers(now),
            ViewScope::Domains => self.apply_domains(),
        }
    }

    fn apply_records(&mut self, as_of: Time, now: Time) {
        let mut members = Vec::new();
        let mut primaries = Vec::new();
        let mut lease = None;
        for (key, revision, value) in self.view.parts(ViewScope::Records) {
            let version = Version(revision);
            match (key, value) {
                (ViewKey::Member(_), ViewValue::Member(m)) => members.push((version, m.clone())),
                (ViewKey::Primary(service), ViewValue::Primary(r)) => {
                    primaries.push((Arc::clone(service), version, r.clone()));
                }
                (ViewKey::FailoverLease, ViewValue::FailoverLease(record)) => {
                    lease = Some((version, record.clone()));
                }
                _ => log_mismatch(key),
            }
        }
        self.failover_lease.on_read(lease, now);
        for (service, version, record) in primaries {
            let known = self.primary_versions.entry(Arc::clone(&service)).or_default();
            *known = version.max(*known);
            self.apply_primary_record(service, record);
        }
        self.registry.on_read(members, as_of, now);
        self.refresh_snapshot();
    }

    fn apply_servers(&mut self, now: Time) {
        let mut servers = HashMap::new();
        for (key, _, value) in self.view.parts(ViewScope::Servers) {
            match value {
                ViewValue::Server(server) => {
                    servers.insert(Arc::clone(&server.id), Arc::new(server.clone()));
                }
                _ => log_mismatch(key),
            }
        }
        log_server_changes(&self.snapshot.servers, &servers);
        self.snapshot.servers = servers;
        self.reachability.on_server_list(&self.snapshot, now);
    }

    fn apply_domains(&mut self) {
        let mut domains = Vec::new();
        for (key, _, _) in self.view.parts(ViewScope::Domains) {
            if let ViewKey::DomainOut(name) = key {
                domains.push(Arc::clone(name));
            } else {
                log_mismatch(key);
            }
        }
        log::info!(domains:? = domains; "failure domains out of service");
        self.snapshot.domains_out = domains;
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

fn log_mismatch(key: &ViewKey) {
    log::warn!(key:? = key; "view entry has a value of another kind than its key");
}

/// Logs backend servers that are new, changed or gone, and only their number when the list was empty before.
fn log_server_changes(
    known: &HashMap<Arc<str>, Arc<BackendServer>>,
    listed: &HashMap<Arc<str>, Arc<BackendServer>>,
) {
    if known.is_empty() {
        log::info!(servers = listed.len(); "backend servers listed");
        return;
    }
    for (id, server) in listed {
        let before = known.get(id);
        if before.is_none_or(|k| k.draining != server.draining || k.role != server.role) {
            log::info!(
                server:% = id, service:% = server.service, role:? = server.role, draining = server.draining;
                "backend server added or changed"
            );
        }
    }
    for id in known.keys().filter(|id| !listed.contains_key(*id)) {
        log::info!(server:% = id; "backend server removed from the list");
    }
}

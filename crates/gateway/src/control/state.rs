//! State shared by the tasks of the control thread.

use super::failover::ReachabilityReports;
use super::failover_lease::{FailoverLease, LeaseTerms};
use super::instance_registry::InstanceRegistry;
use super::revision_proofs::RevisionProofs;
use super::store_circuit_breaker::StoreCircuitBreaker;
use super::store_generation::StoreGeneration;
use super::stored_primaries::{StoredPrimaries, StoredRecord};
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
    /// The primary records with their object versions, for conditional writes. Those of the snapshot may be newer: they
    /// may have been announced.
    pub(super) stored_primaries: StoredPrimaries,
    pub(super) registry: InstanceRegistry,
    pub(super) reachability: ReachabilityReports,
    /// Services for which a task is taking a step, so that no second task starts.
    pub(super) changing_services: HashSet<Arc<str>>,
    /// Services whose backend servers are not looked at again before a time, since the last look or order was in vain.
    pub(super) next_looks: HashMap<Arc<str>, Time>,
    /// What this instance has read from the store and received from relays, and serves to followers.
    pub(super) view: ViewTable,
    /// Restores of the store.
    pub(super) generation: StoreGeneration,
    /// Whether this process held the failover lease through the last restore, and so knows all changes of primaries.
    pub(super) held_lease_through_restore: bool,
    /// Time as of which the records have shown the live entry of this process, whether they are confirmed or not.
    pub(super) registered_as_of: Time,
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
            stored_primaries: StoredPrimaries::default(),
            registry: InstanceRegistry::default(),
            reachability: ReachabilityReports::default(),
            changing_services: HashSet::new(),
            next_looks: HashMap::new(),
            view: ViewTable::new(incarnation),
            generation: StoreGeneration::default(),
            held_lease_through_restore: false,
            registered_as_of: Time::ZERO,
            proofs: RevisionProofs::default(),
            stale_reads_after: Time::ZERO,
            registration_revision: 0,
            view_requests: PendingViewRequests::default(),
            store_breaker: StoreCircuitBreaker::default(),
            stopping: false,
        }
    }

    /// Marks a service as being changed by a task. Returns whether the task may start now.
    pub(super) fn start_change(&mut self, service: &Arc<str>, now: Time) -> bool {
        let is_due = self.next_looks.get(service).is_none_or(|at| now >= *at);
        is_due && self.changing_services.insert(Arc::clone(service))
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
        self.observe_generation(now);
        self.failover_lease.on_read(lease, now);
        for (service, version, record) in primaries {
            let stored = StoredRecord {
                version,
                record: record.clone(),
            };
            self.stored_primaries.on_read(Arc::clone(&service), stored);
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

    /// Notices whether the records of the view come from a restored store.
    pub(super) fn observe_generation(&mut self, now: Time) {
        let revision = self.view.revision(ViewScope::Records);
        if self.generation.on_read(revision, now) {
            let generation = self.generation.current().restores();
            log::warn!(generation; "records of a restored store; they prove nothing until they are confirmed");
            self.held_lease_through_restore = self.failover_lease.is_exclusive(now);
            self.stored_primaries.clear();
        }
    }

    /// Whether the holder of the failover lease has confirmed the records of the present generation.
    pub(super) fn is_confirmed(&self) -> bool {
        let lease = self.failover_lease.record();
        lease.is_some_and(|(_, record)| record.confirms(self.generation.current()))
    }

    /// Whether every view lease from before the last restore has expired, so that the instance registry contains whoever
    /// may use a primary.
    pub(super) fn has_settled(&self, now: Time) -> bool {
        let lease = self.failover_lease.record();
        let recorded = lease.is_some_and(|(_, record)| record.has_settled(self.generation.current()));
        recorded || self.generation.has_settled(now)
    }

    /// Whether this process knows the primaries at `now` in spite of a restore, so that it may write their records again.
    pub(super) fn knows_primaries(&self, now: Time) -> bool {
        self.held_lease_through_restore || self.generation.has_settled(now)
    }

    /// What this process may write into the failover lease at `now`. A generation is confirmed when all primary records
    /// are written again. The first lease of a fleet follows on no earlier generation.
    pub(super) fn lease_terms(&self, now: Time) -> LeaseTerms {
        let generation = self.generation.current();
        let is_first_lease = self.failover_lease.record().is_none() && !self.generation.has_seen_restore();
        let floor = generation.counter_floor();
        let rewritten = self.snapshot.primaries.values().all(|r| r.epoch > floor);
        LeaseTerms {
            generation,
            may_confirm: is_first_lease || (self.knows_primaries(now) && rewritten),
            has_settled: is_first_lease || self.generation.has_settled(now),
        }
    }

    /// Primary records of this instance that the store has lost, or that conflict with those in the store. Until a restored
    /// store is confirmed, a later epoch shows a loss; afterwards it only shows that the view is older.
    pub(super) fn unstored_primary_records(&self) -> Vec<(Arc<str>, PrimaryRecord)> {
        let is_confirmed = self.is_confirmed();
        let is_unstored =
            |service, known: &PrimaryRecord| match self.view.value(&ViewKey::Primary(Arc::clone(service))) {
                Some(ViewValue::Primary(stored)) if is_confirmed => known.conflicts_with(stored),
                Some(ViewValue::Primary(stored)) => known.epoch > stored.epoch,
                _ => !is_confirmed,
            };
        let known = self.snapshot.primaries.iter();
        let unstored = known.filter(|(service, record)| is_unstored(service, record));
        unstored
            .map(|(service, record)| (Arc::clone(service), record.clone()))
            .collect()
    }

    /// Copies the live instances and the holder of the failover lease into the snapshot.
    pub(super) fn refresh_snapshot(&mut self) {
        self.snapshot.failover_lease_holder = self.failover_lease.holder().map(Arc::clone);
        self.snapshot.members = self.registry.live();
    }

    /// Applies a primary record if its epoch is above the known one. If it conflicts with the known one, neither is used
    /// until a record of a later epoch. Returns whether the known record has changed.
    pub(super) fn apply_primary_record(&mut self, service: Arc<str>, record: PrimaryRecord) -> bool {
        if let Some(known) = self.snapshot.primaries.get(&service) {
            if known.conflicts_with(&record) {
                return self.on_conflicting_record(&service, &record);
            }
            if known.epoch >= record.epoch {
                return false;
            }
        }
        log::info!(service:% = service, epoch = record.epoch, leadership:? = record.leadership; "primary record");
        self.snapshot.primaries.insert(service, record);
        true
    }

    /// Takes the primary of a service out of use, because another instance may use the one of the conflicting record. Records
    /// of a restored store prove nothing before they are confirmed. Returns whether the known record has changed.
    fn on_conflicting_record(&mut self, service: &Arc<str>, conflicting: &PrimaryRecord) -> bool {
        if !self.is_confirmed() {
            return false;
        }
        let Some(known) = self.snapshot.primaries.get_mut(service) else {
            return false;
        };
        log::error!(
            service:% = service, epoch = known.epoch, known:? = known.leadership, other:? = conflicting.leadership;
            "two primary records have the same epoch; neither is used"
        );
        let was_in_use = known.serving().is_some();
        if was_in_use {
            *known = known.out_of_use();
        }
        was_in_use
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

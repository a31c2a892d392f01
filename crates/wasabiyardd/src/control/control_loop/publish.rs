//! Builds snapshots of the control state and publishes them to the traffic threads.

use super::{ADMISSION_LEASE, ControlLoop};
use crate::clock;
use crate::control::groups::DatabaseRole;
use crate::control::status::admission_name;
use crate::snapshot::{AdmissionState, Home, Snapshot};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use wasabiyard_cluster::{Move, Place};
use wasabiyard_model::{InstanceId, Time};
use wasabiyard_platform::{OutOfService, Platform};
use wasabiyard_timeline::Event;

impl<P> ControlLoop<P>
where
    P: Platform + 'static,
{
    /// Records a time line event for each difference between the published out-of-service document and the one in
    /// force.
    pub(super) fn record_out_of_service_changes(&self) {
        let snapshot = self.deps.snapshots.load();
        let old_domains: BTreeSet<_> = snapshot.out_of_service.domains.iter().cloned().collect();
        let old_instances: BTreeSet<_> = snapshot.out_of_service.instances.iter().cloned().collect();
        let out_of_service = self.cluster.out_of_service_state();
        let domain_out = |domain: &String| Event::DomainOut {
            domain: domain.clone(),
        };
        let domain_in = |domain: &String| Event::DomainIn {
            domain: domain.clone(),
        };
        let instance_out = |subject: &InstanceId| Event::InstanceOut {
            subject: subject.clone(),
        };
        let instance_in = |subject: &InstanceId| Event::InstanceIn {
            subject: subject.clone(),
        };
        let events = out_of_service
            .failure_domains()
            .difference(&old_domains)
            .map(domain_out);
        let events = events.chain(
            old_domains
                .difference(out_of_service.failure_domains())
                .map(domain_in),
        );
        let events = events.chain(
            out_of_service
                .instances()
                .difference(&old_instances)
                .map(instance_out),
        );
        let events = events.chain(
            old_instances
                .difference(out_of_service.instances())
                .map(instance_in),
        );
        events.for_each(|event| self.deps.recorder.record(event));
    }

    /// Updates placement and admission, publishes a snapshot if the state changed, and renews the admission lease.
    pub(super) fn publish(&mut self) {
        let now = clock::now();
        let moves = self.cluster.update_placement();
        if !moves.is_empty() {
            self.snapshot_dirty = true;
        }
        let local_instance = &self.settings.identity.instance;
        // Each instance sees every move, but only the old and the new home record it.
        let concerned =
            |m: &Move| m.from.as_ref() == Some(local_instance) || m.to.as_ref() == Some(local_instance);
        for Move { database, from, to } in moves.into_iter().filter(concerned) {
            self.deps.recorder.record(Event::HomeMoved { database, from, to });
        }
        let role = |place: &Place| {
            let standby = || {
                place
                    .standbys()
                    .any(|id| id == local_instance)
                    .then_some(DatabaseRole::Standby)
            };
            if place.home == *local_instance {
                Some(DatabaseRole::Home)
            } else {
                standby()
            }
        };
        let places = self.cluster.placement().places();
        let roles = places
            .filter_map(|(database, place)| Some((database, role(place)?)))
            .collect();
        self.snapshot_dirty |= self.groups.update_roles(&roles, now);
        let admission = self.admission(now);
        if admission != self.admission {
            self.admission = admission;
            self.snapshot_dirty = true;
            let event = Event::AdmissionChanged {
                admission: admission_name(admission).to_owned(),
            };
            self.deps.recorder.record(event);
        }
        if std::mem::take(&mut self.snapshot_dirty) {
            self.deps.snapshots.publish(self.build_snapshot());
        }
        // Renewed only after the new snapshot is published, because the snapshot from before a pause must not become
        // valid again, not even briefly.
        self.deps.snapshots.set_admission_lease_end(now + ADMISSION_LEASE);
    }

    pub(super) fn admission(&self, now: Time) -> AdmissionState {
        if self.leaving {
            AdmissionState::Draining
        } else if !self.cluster.is_ready() || self.session_key.is_empty() {
            AdmissionState::NotReady
        } else if self.cluster.is_out_of_service() {
            AdmissionState::OutOfService
        } else if self.cluster.is_cut_off(now) {
            AdmissionState::CutOff
        } else {
            AdmissionState::Open
        }
    }

    pub(super) fn build_snapshot(&self) -> Snapshot {
        let out_of_service = self.cluster.out_of_service_state();
        Snapshot {
            admission: self.admission,
            manifest: Arc::clone(self.cluster.manifest().manifest()),
            manifest_version: self.cluster.manifest().version(),
            homes: self.homes(),
            groups: self.groups.home_groups(),
            out_of_service: Arc::new(OutOfService {
                domains: out_of_service.failure_domains().iter().cloned().collect(),
                instances: out_of_service.instances().iter().cloned().collect(),
            }),
            session_key: Arc::clone(&self.session_key),
        }
    }

    pub(super) fn homes(&self) -> HashMap<String, Home> {
        let members = self.cluster.members();
        let home = |instance: &InstanceId| {
            let member = members.get(members.find(instance)?);
            let local = *instance == self.settings.identity.instance;
            Some(Home {
                instance: instance.clone(),
                address: member.address,
                local,
            })
        };
        let places = self.cluster.placement().places();
        places
            .filter_map(|(database, place)| Some((database.to_owned(), home(&place.home)?)))
            .collect()
    }
}

//! Publishes the state as snapshots.

use super::{ControlLoop, TRUST};
use crate::clock;
use crate::control::groups::Part;
use crate::control::status::admission_name;
use crate::snapshot::{Admission, Home, Snapshot};
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
    /// Records the difference between the published out-of-service document and the one in force.
    pub(super) fn record_service(&self) {
        let snapshot = self.wiring.snapshots.load();
        let old_domains: BTreeSet<_> = snapshot.out_of_service.domains.iter().cloned().collect();
        let old_instances: BTreeSet<_> = snapshot.out_of_service.instances.iter().cloned().collect();
        let service = self.cluster.out_of_service_state();
        let out = |domain: &String| Event::DomainOut {
            domain: domain.clone(),
        };
        let back = |domain: &String| Event::DomainIn {
            domain: domain.clone(),
        };
        let instance_out = |subject: &InstanceId| Event::InstanceOut {
            subject: subject.clone(),
        };
        let instance_back = |subject: &InstanceId| Event::InstanceIn {
            subject: subject.clone(),
        };
        let events = service.failure_domains().difference(&old_domains).map(out);
        let events = events.chain(old_domains.difference(service.failure_domains()).map(back));
        let events = events.chain(service.instances().difference(&old_instances).map(instance_out));
        let events = events.chain(old_instances.difference(service.instances()).map(instance_back));
        events.for_each(|event| self.wiring.recorder.record(event));
    }

    /// Publishes a snapshot when something changed.
    pub(super) fn publish(&mut self) {
        let now = clock::now();
        let moves = self.cluster.update_placement();
        if !moves.is_empty() {
            self.changed = true;
        }
        let own = &self.settings.identity.instance;
        // Each instance sees every move; the event belongs to the two that it concerns.
        let concerned = |m: &Move| m.from.as_ref() == Some(own) || m.to.as_ref() == Some(own);
        for Move { database, from, to } in moves.into_iter().filter(concerned) {
            self.wiring
                .recorder
                .record(Event::HomeMoved { database, from, to });
        }
        let part = |place: &Place| {
            let keeper = || place.keepers().any(|id| id == own).then_some(Part::Keeper);
            if place.home == *own {
                Some(Part::Home)
            } else {
                keeper()
            }
        };
        let places = self.cluster.placement().places();
        let parts = places
            .filter_map(|(database, place)| Some((database, part(place)?)))
            .collect();
        self.changed |= self.groups.retain(&parts, now);
        let admission = self.admission(now);
        if admission != self.admission {
            self.admission = admission;
            self.changed = true;
            let event = Event::AdmissionChanged {
                admission: admission_name(admission).to_owned(),
            };
            self.wiring.recorder.record(event);
        }
        if std::mem::take(&mut self.changed) {
            self.wiring.snapshots.publish(self.build_snapshot());
        }
        // After the snapshot: the one of before a pause must not be trusted again, however briefly.
        self.wiring.snapshots.trust_until(now + TRUST);
    }

    pub(super) fn admission(&self, now: Time) -> Admission {
        if self.leaving {
            Admission::Draining
        } else if !self.cluster.is_ready() || self.session_key.is_empty() {
            Admission::NotReady
        } else if self.cluster.is_out_of_service() {
            Admission::OutOfService
        } else if self.cluster.is_cut_off(now) {
            Admission::CutOff
        } else {
            Admission::Open
        }
    }

    pub(super) fn build_snapshot(&self) -> Snapshot {
        let service = self.cluster.out_of_service_state();
        Snapshot {
            admission: self.admission,
            manifest: Arc::clone(self.cluster.manifest().manifest()),
            manifest_version: self.cluster.manifest().version(),
            homes: self.homes(),
            groups: self.groups.known(),
            out_of_service: Arc::new(OutOfService {
                domains: service.failure_domains().iter().cloned().collect(),
                instances: service.instances().iter().cloned().collect(),
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

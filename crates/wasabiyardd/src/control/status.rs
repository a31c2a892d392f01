//! Control state as the admin server reports it.

use crate::control::groups::GroupCache;
use crate::snapshot::AdmissionState;
use serde::{Deserialize, Serialize};
use wasabiyard_cluster::{Cluster, Member};
use wasabiyard_model::InstanceId;
use wasabiyard_wire::MemberState;

/// A member as this instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name.
    pub instance: String,
    /// Incarnation, which distinguishes successive processes of this name.
    pub incarnation: u64,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Address of its peer listener.
    pub address: String,
    /// Whether neither it nor its failure domain is out of service.
    pub in_service: bool,
}

/// A database as this instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseStatus {
    /// Name.
    pub database: String,
    /// Instance that serves the database, empty when there is none.
    pub home: String,
    /// Instance in another failure domain that serves the database while the home is unreachable but not yet known to
    /// be dead; empty when there is none.
    pub fallback: String,
    /// Term of the replication group; absent unless this instance is the home and has read the group.
    pub term: Option<u64>,
    /// Slot of the primary; absent unless this instance is the home and has read the group.
    pub primary: Option<String>,
}

/// The control state, updated once per second.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of this instance.
    pub instance: String,
    /// `not-ready`, `open`, `out-of-service`, `draining` or `cut-off`.
    pub admission: String,
    /// Version of the manifest in force.
    pub manifest_version: u64,
    /// Version of the out-of-service document in force.
    pub out_of_service_version: u64,
    /// Whether this instance watches the platform on behalf of its failure domain.
    pub relay: bool,
    /// Duration of the longest tick of the last second, in microseconds.
    pub tick_micros: u64,
    /// Members of the fleet that this instance knows, sorted by name.
    pub members: Vec<MemberStatus>,
    /// Databases of the manifest in force.
    pub databases: Vec<DatabaseStatus>,
}

impl Status {
    /// Collects the state, except admission, relay and tick duration.
    pub(super) fn from_cluster(local_instance: &InstanceId, cluster: &Cluster, groups: &GroupCache) -> Self {
        Self {
            instance: local_instance.to_string(),
            manifest_version: cluster.manifest().version(),
            out_of_service_version: cluster.out_of_service_state().version(),
            members: members(cluster),
            databases: databases(cluster, groups),
            ..Self::default()
        }
    }
}

fn members(cluster: &Cluster) -> Vec<MemberStatus> {
    let row = |m: &Member| {
        let domain = cluster.members().domain_name(m);
        MemberStatus {
            instance: m.id.to_string(),
            incarnation: m.incarnation.0,
            state: state_name(m.state).to_owned(),
            failure_domain: domain.to_owned(),
            address: m.address.to_string(),
            in_service: cluster.out_of_service_state().in_service(&m.id, domain),
        }
    };
    let mut rows: Vec<_> = cluster.members().iter().map(|(_, m)| row(m)).collect();
    rows.sort_by(|a, b| a.instance.cmp(&b.instance));
    rows
}

fn databases(cluster: &Cluster, groups: &GroupCache) -> Vec<DatabaseStatus> {
    let groups = groups.home_groups();
    let name = |id: Option<&InstanceId>| id.map(InstanceId::to_string).unwrap_or_default();
    let row = |database: &str| {
        let place = cluster.placement().place(database);
        let group = groups.get(database);
        DatabaseStatus {
            database: database.to_owned(),
            home: name(place.map(|p| &p.home)),
            fallback: name(place.and_then(|p| p.fallback.as_ref())),
            term: group.map(|g| g.term),
            primary: group.map(|g| g.primary.clone()),
        }
    };
    cluster.manifest().databases().into_iter().map(row).collect()
}

const fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

/// Name of an admission state in the status and in time line events.
pub(super) const fn admission_name(admission: AdmissionState) -> &'static str {
    match admission {
        AdmissionState::NotReady => "not-ready",
        AdmissionState::Open => "open",
        AdmissionState::OutOfService => "out-of-service",
        AdmissionState::Draining => "draining",
        AdmissionState::CutOff => "cut-off",
    }
}

//! The documents that wasabiyard and the platform store through the object API.

use serde::{Deserialize, Serialize};
use wasabiyard_model::{Incarnation, InstanceId};

/// Keys and key prefixes of the stored objects.
pub mod keys {
    /// Key of the [`ManifestIndex`](super::ManifestIndex) of the manifest in force.
    pub const MANIFEST_INDEX: &str = "config/index";
    /// Prefix of manifest sections; followed by the SHA-256 of the section's text in hexadecimal.
    pub const MANIFEST_SECTION_PREFIX: &str = "config/section/";
    /// Key of the [`OutOfService`](super::OutOfService) document.
    pub const OUT_OF_SERVICE: &str = "operations/out-of-service";
    /// Prefix of replication groups; followed by the name of the database.
    pub const GROUP_PREFIX: &str = "groups/";
    /// Prefix of instance registrations; followed by the name of the instance.
    pub const REGISTRATION_PREFIX: &str = "instances/";
    /// Prefix of the registrations of rate share holders; followed by the name of the instance, a slash and the
    /// incarnation. Each incarnation has its own object: with one per name, the registration of a restarted process
    /// would overwrite that of the ended one, whose units could then not be reclaimed.
    pub const SHARE_HOLDER_PREFIX: &str = "holders/";
    /// Prefix of [`ShareRound`](super::ShareRound) documents; followed by the number of the bucket.
    pub const SHARE_ROUND_PREFIX: &str = "shares/";
    /// Key of the object that holds the secret by which session tokens are authenticated, in hexadecimal.
    pub const SESSION_KEY: &str = "keys/session";
}

/// The sections of the manifest in force, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestIndex {
    /// Version of the manifest; increases with each accepted change.
    pub version: u64,
    /// Heading and digest (hexadecimal SHA-256 of the section's text) of each section.
    pub sections: Vec<(String, String)>,
}

/// The failure domains and instances that operators took out of service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutOfService {
    /// Names of failure domains.
    pub domains: Vec<String>,
    /// Names of instances.
    pub instances: Vec<InstanceId>,
}

/// Whether a group has a primary in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GroupState {
    /// `primary` is the primary of `term`.
    Stable,
    /// `owner` is promoting a primary for `term`.
    Promoting,
}

/// State of a backend server in its replication group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SlotState {
    /// Accepts new work.
    Live,
    /// Is being removed and gets no new work.
    Leaving,
}

/// A slot: one backend server of a replication group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSlot {
    /// Name of the slot, unique in the group.
    pub id: String,
    /// Address for `PostgreSQL` connections, `IP:PORT`.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Whether the slot accepts new work.
    pub state: SlotState,
}

/// A replication group of backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicationGroup {
    /// Term of the last promotion, whether complete or not.
    pub term: u64,
    /// Name of the primary slot.
    pub primary: String,
    /// Unique name of the promotion that made the last change. An instance uses `ID/INCARNATION/NUMBER`, in which it
    /// numbers the promotions of one process.
    pub owner: String,
    /// Whether a promotion is in progress.
    pub state: GroupState,
    /// Maximum number of connections that each slot accepts.
    #[serde(default)]
    pub max_connections: u32,
    /// All slots of the group, including the primary.
    pub slots: Vec<GroupSlot>,
}

/// Registration of an instance. It registers as a holder of rate shares only after it found itself in the platform's
/// list of instances, so its later absence from the list proves that it has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Address of its peer listener, `IP:PORT`.
    pub address: String,
    /// Failure domain.
    pub domain: String,
}

/// The reissue round of one bucket of rate shares.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRound {
    /// Number of the round, starting at 1 for the initial issue.
    pub round: u64,
    /// The instance that coordinates this round and issues its units.
    pub steward: InstanceId,
    /// Incarnation of the coordinator.
    pub incarnation: Incarnation,
    /// Whether the round is complete and the coordinator holds all units that nobody reported.
    pub closed: bool,
    /// Names of the organisations whose units were issued in this or an earlier round.
    #[serde(default)]
    pub issued: Vec<String>,
    /// Registered instances that are proved to have ended and whose units this round reissued.
    #[serde(default)]
    pub gone: Vec<(InstanceId, Incarnation)>,
}

//! The documents that wasabiyard and the platform keep in the object API.

use serde::{Deserialize, Serialize};
use wasabiyard_model::{Incarnation, InstanceId};

/// Keys of the objects.
pub mod keys {
    /// The index of the manifest in force.
    pub const MANIFEST_INDEX: &str = "config/index";
    /// Prefix of sections, followed by the digest in hexadecimal.
    pub const MANIFEST_SECTION_PREFIX: &str = "config/section/";
    /// The failure domains and instances that are out of service.
    pub const OUT_OF_SERVICE: &str = "operations/out-of-service";
    /// Prefix of database groups, followed by the name of the database.
    pub const GROUP_PREFIX: &str = "groups/";
    /// Prefix of registrations, followed by the name of the instance.
    pub const REGISTRATION_PREFIX: &str = "instances/";
    /// Prefix of holders of rate shares, followed by the name of the instance, a slash and the incarnation. Each
    /// incarnation has its own object: one for each name would lose the trace of an ended process when its successor
    /// registers.
    pub const SHARE_HOLDER_PREFIX: &str = "holders/";
    /// Prefix of share rounds, followed by the bucket.
    pub const SHARE_ROUND_PREFIX: &str = "shares/";
    /// The key that authenticates session tokens, hexadecimal.
    pub const SESSION_KEY: &str = "keys/session";
}

/// The manifest in force: its sections in order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestIndex {
    /// Number of the manifest; each accepted change raises it.
    pub version: u64,
    /// Heading and digest (hexadecimal SHA-256 of the section's text) of each section.
    pub sections: Vec<(String, String)>,
}

/// What operators took out of service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutOfService {
    /// Failure domains.
    pub domains: Vec<String>,
    /// Instances.
    pub instances: Vec<InstanceId>,
}

/// Whether a group has a primary in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GroupState {
    /// `primary` reigns in `term`.
    Stable,
    /// `owner` makes a primary for `term`.
    Promoting,
}

/// State of a backend server in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SlotState {
    /// May get work.
    Live,
    /// Gets no new work.
    Leaving,
}

/// A backend server of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSlot {
    /// Name, unique in the group.
    pub id: String,
    /// `IP:PORT`.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// State.
    pub state: SlotState,
}

/// A replication group of backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicationGroup {
    /// Term of the last promotion, finished or not.
    pub term: u64,
    /// Name of the primary slot.
    pub primary: String,
    /// Who made the last change: instance and incarnation, `ID/INCARNATION`.
    pub owner: String,
    /// State.
    pub state: GroupState,
    /// Connections that each slot accepts.
    #[serde(default)]
    pub max_connections: u32,
    /// The slots.
    pub slots: Vec<GroupSlot>,
}

/// An instance. As a holder of rate shares it registers only after it saw itself in the platform's list, so its absence
/// from the list proves that it has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Address of its peer listener, `IP:PORT`.
    pub address: String,
    /// Failure domain.
    pub domain: String,
}

/// The reissue round of one bucket of rate shares.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRound {
    /// Number of the round; 1 is the first issue.
    pub round: u64,
    /// The instance that issues the units of this round.
    pub steward: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether the steward has finished and taken the missing units.
    pub closed: bool,
    /// Organisations whose units were issued in this or an earlier round.
    #[serde(default)]
    pub issued: Vec<String>,
    /// Registered instances that were proved to have ended, and whose units this round issued again.
    #[serde(default)]
    pub gone: Vec<(InstanceId, Incarnation)>,
}

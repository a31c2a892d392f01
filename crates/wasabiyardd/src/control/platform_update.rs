//! Results of platform calls, as the control loop receives them.

use std::sync::Arc;
use wasabiyard_platform::{ListedInstance, ManifestIndex, Object, OutOfService, ReplicationGroup};
use wasabiyard_wire::SectionEntry;

/// A configuration document that relays watch at the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Document {
    /// The index of the manifest.
    Manifest,
    /// The failure domains and instances that operators took out of service.
    OutOfService,
}

/// The result of a platform call.
#[derive(Debug)]
pub enum PlatformUpdate {
    /// The platform's list of instances.
    Listed(Vec<ListedInstance>),
    /// The platform answered a read or a watch of this document, so the version reported before this is the newest.
    Confirmed(Document),
    /// The index of the manifest.
    Index(ManifestIndex),
    /// A manifest version with all its sections in order; `None` when a section could not be read.
    Sections(u64, Option<Vec<(SectionEntry, Arc<str>)>>),
    /// The out-of-service document, with the version of its object.
    OutOfService(u64, OutOfService),
    /// The replication group of a database; `None` when it does not exist, is malformed or could not be read.
    Group(String, Option<ReplicationGroup>),
    /// The key that authenticates session tokens.
    SessionKey(Vec<u8>),
}

impl Document {
    /// Key of the object at the platform.
    pub const fn key(self) -> &'static str {
        match self {
            Self::Manifest => wasabiyard_platform::keys::MANIFEST_INDEX,
            Self::OutOfService => wasabiyard_platform::keys::OUT_OF_SERVICE,
        }
    }

    /// Parses the object. Logs a malformed object and returns `None`.
    pub fn parse(self, object: Object) -> Option<PlatformUpdate> {
        let version = object.version.0;
        let read = match self {
            Self::Manifest => serde_json::from_value(object.value).map(PlatformUpdate::Index),
            Self::OutOfService => {
                serde_json::from_value(object.value).map(|doc| PlatformUpdate::OutOfService(version, doc))
            }
        };
        read.inspect_err(|e| log::error!("{} at version {version} is malformed: {e}", self.key()))
            .ok()
    }
}

//! What calls to the platform found.

use std::sync::Arc;
use wasabiyard_platform::{ListedInstance, ManifestIndex, Object, OutOfService, ReplicationGroup};
use wasabiyard_wire::SectionEntry;

/// A document of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Document {
    /// The index of the manifest.
    Manifest,
    /// What is out of service.
    OutOfService,
}

/// A result.
#[derive(Debug)]
pub enum Finding {
    /// The platform's list of instances.
    Listed(Vec<ListedInstance>),
    /// The platform answered about a document; everything it said before is the newest version.
    Confirmed(Document),
    /// The index of the manifest.
    Index(ManifestIndex),
    /// All sections of a version of the manifest; `None` when one could not be read.
    Sections(u64, Option<Vec<(SectionEntry, Arc<str>)>>),
    /// What is out of service, with the version of the object.
    OutOfService(u64, OutOfService),
    /// The group of a database, `None` when it could not be read.
    Group(String, Option<ReplicationGroup>),
    /// The key of session tokens.
    SessionKey(Vec<u8>),
}

impl Document {
    /// Key of the object.
    pub const fn key(self) -> &'static str {
        match self {
            Self::Manifest => wasabiyard_platform::keys::MANIFEST_INDEX,
            Self::OutOfService => wasabiyard_platform::keys::OUT_OF_SERVICE,
        }
    }

    /// Reads the object as a finding; `None` when it is malformed, which is logged.
    pub fn read(self, object: Object) -> Option<Finding> {
        let version = object.version.0;
        let read = match self {
            Self::Manifest => serde_json::from_value(object.value).map(Finding::Index),
            Self::OutOfService => {
                serde_json::from_value(object.value).map(|doc| Finding::OutOfService(version, doc))
            }
        };
        read.inspect_err(|e| log::error!("{} at version {version} cannot be read: {e}", self.key()))
            .ok()
    }
}

//! The product's own objects in the store: names and reading.

use super::FailoverLeaseRecord;
use crate::PrimaryRecord;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use wasabiyard_model::Version;
use wasabiyard_platform::{ListedInstance, Object};

/// Kind of the product's own objects.
pub(super) const KEY_PREFIX: &str = "wasabiyard/";
const INSTANCE_PREFIX: &str = "instance-";
const PRIMARY_PREFIX: &str = "primary-";
const FAILOVER_LEASE_NAME: &str = "duty";
const PEER_SECRET_NAME: &str = "secret";

/// The key that authenticates messages between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PeerSecretRecord {
    /// Random bytes as hexadecimal text.
    pub(super) key: Arc<str>,
}

/// All own objects, decoded.
#[derive(Debug, Default)]
pub(super) struct Records {
    pub(super) primaries: HashMap<Arc<str>, (Version, PrimaryRecord)>,
    pub(super) instances: HashMap<Arc<str>, (Version, ListedInstance)>,
    pub(super) failover_lease: Option<(Version, FailoverLeaseRecord)>,
    pub(super) peer_secret: Option<PeerSecretRecord>,
}

pub(super) fn instance_key(name: &str) -> String {
    format!("{KEY_PREFIX}{INSTANCE_PREFIX}{name}")
}

pub(super) fn primary_key(service: &str) -> String {
    format!("{KEY_PREFIX}{PRIMARY_PREFIX}{service}")
}

pub(super) fn failover_lease_key() -> String {
    format!("{KEY_PREFIX}{FAILOVER_LEASE_NAME}")
}

pub(super) fn peer_secret_key() -> String {
    format!("{KEY_PREFIX}{PEER_SECRET_NAME}")
}

impl Records {
    /// Decodes the objects of the kind. Objects that cannot be read are logged and skipped.
    pub(super) fn from_objects(objects: &[Object]) -> Self {
        let mut records = Self::default();
        for object in objects {
            let name = object.key.strip_prefix(KEY_PREFIX).unwrap_or(&object.key);
            if let Some(service) = name.strip_prefix(PRIMARY_PREFIX) {
                if let Some(record) = decode(object) {
                    records
                        .primaries
                        .insert(Arc::from(service), (object.version, record));
                }
            } else if let Some(instance) = name.strip_prefix(INSTANCE_PREFIX) {
                if let Some(record) = decode(object) {
                    records
                        .instances
                        .insert(Arc::from(instance), (object.version, record));
                }
            } else if name == FAILOVER_LEASE_NAME {
                records.failover_lease = decode(object).map(|record| (object.version, record));
            } else if name == PEER_SECRET_NAME {
                records.peer_secret = decode(object);
            }
        }
        records
    }
}

fn decode<T>(object: &Object) -> Option<T>
where
    T: DeserializeOwned,
{
    match T::deserialize(&object.value) {
        Ok(record) => Some(record),
        Err(e) => {
            log::warn!(object:% = object.key, error:% = e; "an own object cannot be read");
            None
        }
    }
}

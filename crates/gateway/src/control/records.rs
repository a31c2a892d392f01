//! Keys and decoding of the objects that the gateway keeps in the store.

use super::FailoverLeaseRecord;
use crate::PrimaryRecord;
use crate::usage::StoredCounts;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use wasabiyard_model::Version;
use wasabiyard_platform::{ListedInstance, Object};

/// Prefix of the keys of all objects that the gateway writes.
pub(super) const KEY_PREFIX: &str = "wasabiyard/";
const INSTANCE_PREFIX: &str = "instance-";
const PRIMARY_PREFIX: &str = "primary-";
const FAILOVER_LEASE_NAME: &str = "duty";
const USAGE_COUNTS_PREFIX: &str = "counts-";
const USAGE_NAME: &str = "usage";
const PEER_SECRET_NAME: &str = "secret";

/// The key that authenticates messages between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PeerSecretRecord {
    /// 128 random bits as hexadecimal text; the text itself is the key.
    pub(super) key: Arc<str>,
}

/// The decoded objects under [`KEY_PREFIX`], with their object versions where conditional writes need them.
#[derive(Debug, Default)]
pub(super) struct Records {
    pub(super) primaries: HashMap<Arc<str>, (Version, PrimaryRecord)>,
    pub(super) instances: HashMap<Arc<str>, (Version, ListedInstance)>,
    pub(super) failover_lease: Option<(Version, FailoverLeaseRecord)>,
    pub(super) secret_record: Option<PeerSecretRecord>,
    /// Usage counts that the holder of the failover lease did not receive, by instance.
    pub(super) usage_counts: HashMap<Arc<str>, (Version, StoredCounts)>,
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

pub(super) fn usage_counts_key(instance: &str) -> String {
    format!("{KEY_PREFIX}{USAGE_COUNTS_PREFIX}{instance}")
}

pub(super) fn usage_key() -> String {
    format!("{KEY_PREFIX}{USAGE_NAME}")
}

pub(super) fn peer_secret_key() -> String {
    format!("{KEY_PREFIX}{PEER_SECRET_NAME}")
}

impl Records {
    /// Decodes the objects under [`KEY_PREFIX`]. Objects that cannot be decoded are logged and skipped.
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
            } else if let Some(instance) = name.strip_prefix(USAGE_COUNTS_PREFIX) {
                if let Some(record) = decode(object) {
                    records
                        .usage_counts
                        .insert(Arc::from(instance), (object.version, record));
                }
            } else if name == FAILOVER_LEASE_NAME {
                records.failover_lease = decode(object).map(|record| (object.version, record));
            } else if name == PEER_SECRET_NAME {
                records.secret_record = decode(object);
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
            log::warn!(object:% = object.key, error:% = e; "could not decode a stored record; skipped");
            None
        }
    }
}

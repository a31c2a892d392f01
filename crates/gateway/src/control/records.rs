//! The product's own objects in the store: names and reading.

use super::DutyRecord;
use crate::PrimaryRecord;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use wasabiyard_model::Version;
use wasabiyard_platform::{ListedInstance, Object};

/// Kind of the product's own objects.
pub(super) const KIND: &str = "wasabiyard/";
const INSTANCE: &str = "instance-";
const PRIMARY: &str = "primary-";
const DUTY: &str = "duty";
const SECRET: &str = "secret";

/// The key that authenticates messages between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SecretRecord {
    /// Random bytes as hexadecimal text.
    pub(super) key: Arc<str>,
}

/// All own objects, decoded.
#[derive(Debug, Default)]
pub(super) struct Records {
    pub(super) primaries: HashMap<Arc<str>, (Version, PrimaryRecord)>,
    pub(super) instances: HashMap<Arc<str>, (Version, ListedInstance)>,
    pub(super) duty: Option<(Version, DutyRecord)>,
    pub(super) secret: Option<SecretRecord>,
}

pub(super) fn instance_key(name: &str) -> String {
    format!("{KIND}{INSTANCE}{name}")
}

pub(super) fn primary_key(service: &str) -> String {
    format!("{KIND}{PRIMARY}{service}")
}

pub(super) fn duty_key() -> String {
    format!("{KIND}{DUTY}")
}

pub(super) fn secret_key() -> String {
    format!("{KIND}{SECRET}")
}

impl Records {
    /// Decodes the objects of the kind. Objects that cannot be read are logged and skipped.
    pub(super) fn read(objects: &[Object]) -> Self {
        let mut records = Self::default();
        for object in objects {
            let name = object.key.strip_prefix(KIND).unwrap_or(&object.key);
            if let Some(service) = name.strip_prefix(PRIMARY) {
                if let Some(record) = decode(object) {
                    records
                        .primaries
                        .insert(Arc::from(service), (object.version, record));
                }
            } else if let Some(instance) = name.strip_prefix(INSTANCE) {
                if let Some(record) = decode(object) {
                    records
                        .instances
                        .insert(Arc::from(instance), (object.version, record));
                }
            } else if name == DUTY {
                records.duty = decode(object).map(|record| (object.version, record));
            } else if name == SECRET {
                records.secret = decode(object);
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

//! Versioned objects with conditional updates.

use serde_json::Value;
use std::collections::BTreeMap;
use wasabiyard_model::Version;
use wasabiyard_platform::{Changes, Object};

/// The objects of the platform.
///
/// Each change increments the revision of the store, and the object gets this revision as its version. The versions of a
/// key therefore keep rising when its object is deleted and created again. A deleted object leaves a tombstone, so that
/// watches report the deletion.
#[derive(Debug, Default)]
pub struct ObjectStore {
    revision: u64,
    entries: BTreeMap<String, Entry>,
}

#[derive(Debug)]
struct Entry {
    version: u64,
    /// `None` for a tombstone.
    value: Option<Value>,
}

/// A conditional update failed because the object has another version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionConflict {
    /// The present version, 0 when the object does not exist.
    pub found: Version,
}

impl ObjectStore {
    /// Revision of the last change, 0 when nothing was written yet.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Version and value of an object, `None` when it does not exist.
    pub fn get(&self, key: &str) -> Option<(Version, &Value)> {
        let entry = self.entries.get(key)?;
        Some((Version(entry.version), entry.value.as_ref()?))
    }

    /// Writes an object, or deletes it when `value` is `None`, if its version is `expected`. Version 0 stands for an
    /// object that does not exist. Returns the new version.
    ///
    /// # Errors
    /// When the object has another version; the store is left unchanged.
    pub fn update(
        &mut self,
        key: &str,
        expected: Version,
        value: Option<Value>,
    ) -> Result<Version, VersionConflict> {
        let found = self.get(key).map_or(Version(0), |(version, _)| version);
        if found != expected {
            return Err(VersionConflict { found });
        }
        self.revision += 1;
        let entry = Entry {
            version: self.revision,
            value,
        };
        self.entries.insert(key.to_owned(), entry);
        Ok(Version(self.revision))
    }

    /// All objects whose key starts with `prefix`, in the order of their keys.
    pub fn list(&self, prefix: &str) -> Changes {
        let mut changes = self.changes_since(prefix, 0);
        changes.objects.retain(|object| !object.value.is_null());
        changes
    }

    /// The objects whose key starts with `prefix` and that changed after the revision `since`. A deleted object is
    /// included with the value `null`.
    pub fn changes_since(&self, prefix: &str, since: u64) -> Changes {
        let objects = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, entry)| entry.version > since)
            .map(|(key, entry)| Object {
                key: key.clone(),
                version: Version(entry.version),
                value: entry.value.clone().unwrap_or(Value::Null),
            })
            .collect();
        Changes {
            revision: self.revision,
            objects,
        }
    }
}

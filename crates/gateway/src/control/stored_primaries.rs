//! The primary records as the store holds them, each with the version of its object.
//!
//! A record and its version are kept and handed out as one value. A change of a record is decided from such a value and
//! written on its version, so it fails if the store has another record by then. The version alone would not do: a read
//! during the decision replaces it, and a decision from the older record would take effect on the newer one.

use crate::PrimaryRecord;
use std::collections::HashMap;
use std::sync::Arc;
use wasabiyard_model::Version;

/// A primary record with the version of its object in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// Version of the object that holds the record.
    pub version: Version,
    /// The record at that version.
    pub record: PrimaryRecord,
}

#[derive(Debug, Clone)]
struct Entry {
    stored: StoredRecord,
    /// Whether no write on this version is under way: this process has written it, and has had answers to all of its
    /// writes since. Otherwise another record may replace it at any time.
    is_settled: bool,
}

/// The newest records that this instance has read from the store or written there, by service.
#[derive(Debug, Clone, Default)]
pub struct StoredPrimaries {
    entries: HashMap<Arc<str>, Entry>,
}

impl StoredPrimaries {
    /// Applies a read of a record. One that is not newer than the known version changes nothing.
    pub fn on_read(&mut self, service: Arc<str>, stored: StoredRecord) {
        let is_newer = |known: &Entry| stored.version > known.stored.version;
        if self.entries.get(&service).is_none_or(is_newer) {
            let is_settled = false;
            self.entries.insert(service, Entry { stored, is_settled });
        }
    }

    /// Applies an acknowledged write of this process.
    pub fn on_written(&mut self, service: Arc<str>, stored: StoredRecord) {
        let is_older = |known: &Entry| stored.version < known.stored.version;
        if !self.entries.get(&service).is_some_and(is_older) {
            let is_settled = true;
            self.entries.insert(service, Entry { stored, is_settled });
        }
    }

    /// Records that a write of this process on the version `expected` has had no answer. It may take effect as long as
    /// that version is the one in the store.
    pub fn on_unanswered(&mut self, service: &str, expected: Version) {
        let entry = self.entries.get_mut(service);
        if let Some(entry) = entry.filter(|e| e.stored.version == expected) {
            entry.is_settled = false;
        }
    }

    /// The newest known record of a service with its version.
    pub fn get(&self, service: &str) -> Option<&StoredRecord> {
        self.entries.get(service).map(|e| &e.stored)
    }

    /// Whether no unanswered write can still replace the newest known record, at `version`, of a service.
    pub fn is_settled(&self, service: &str, version: Version) -> bool {
        let entry = self.entries.get(service);
        entry.is_some_and(|e| e.stored.version == version && e.is_settled)
    }

    /// Forgets all records, which the store may have lost.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}

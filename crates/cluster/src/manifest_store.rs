//! The manifest in force, its sections, and deltas between its versions.

use cranelift_entity::EntityRef as _;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use thiserror::Error;
use wasabiyard_model::{Database, Manifest, ManifestError};
use wasabiyard_wire::{ManifestDelta, SectionDigest, SectionEntry};

/// Number of changes that are kept to send deltas to peers. A peer that is further behind gets a full copy. At 440
/// changes a day this covers more than an hour.
const MAX_HISTORY_CHANGES: usize = 32;

/// Why a version was not adopted.
#[derive(Debug, Error)]
pub enum AdoptError {
    /// The delta does not start from the version in force.
    #[error("the delta starts from version {from}, but version {have} is in force")]
    BaseMismatch {
        /// Version from which the delta starts.
        from: u64,
        /// Version in force.
        have: u64,
    },
    /// The text of a section, or the result of a delta, does not have the announced digest.
    #[error("version {version} does not have the announced digest")]
    DigestMismatch {
        /// The rejected version.
        version: u64,
    },
    /// The sections are not a valid manifest.
    #[error("version {version} is not a valid manifest")]
    Invalid {
        /// The rejected version.
        version: u64,
        /// Why it is not valid.
        #[source]
        source: ManifestError,
    },
}

/// Digest and text of a section.
type Section = (SectionDigest, Arc<str>);

/// The version in force of the manifest, as sections and parsed. Sections are ordered by heading, so that every
/// instance has the same text, whichever deltas led to it.
#[derive(Debug, Default)]
pub struct ManifestStore {
    version: u64,
    sections: BTreeMap<String, Section>,
    manifest: Arc<Manifest>,
    /// The last changes as (from, to, changed headings). Each starts at the version where the previous one ended.
    history: VecDeque<(u64, u64, BTreeSet<String>)>,
}

/// Digest of the text of a section, under which the section is stored and compared.
pub fn section_digest(text: &str) -> SectionDigest {
    Sha256::digest(text.as_bytes()).into()
}

impl ManifestStore {
    /// Version in force; 0 before the first one.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The parsed manifest in force; empty before the first version.
    pub fn manifest(&self) -> &Arc<Manifest> {
        &self.manifest
    }

    /// Names of all databases in the manifest, in the order of their indices.
    pub fn databases(&self) -> Vec<&str> {
        let all = &self.manifest.databases;
        (0..all.len())
            .map(|i| all[Database::new(i)].name.as_str())
            .collect()
    }

    /// The text of a section of the version in force, so that it need not be read from the platform again.
    pub fn section_text(&self, digest: &SectionDigest) -> Option<&Arc<str>> {
        self.sections
            .values()
            .find(|(held, _)| held == digest)
            .map(|(_, text)| text)
    }

    /// Adopts a version that was read from the platform. Returns false if it is not newer.
    ///
    /// # Errors
    ///
    /// If a text does not match its digest or the sections are not a valid manifest. The version in force does not
    /// change.
    pub fn adopt(
        &mut self,
        version: u64,
        sections: Vec<(SectionEntry, Arc<str>)>,
    ) -> Result<bool, AdoptError> {
        if version <= self.version {
            return Ok(false);
        }
        if sections
            .iter()
            .any(|(entry, text)| section_digest(text) != entry.digest)
        {
            return Err(AdoptError::DigestMismatch { version });
        }
        let sections = sections
            .into_iter()
            .map(|(e, text)| (e.heading, (e.digest, text)))
            .collect();
        self.install(version, sections)
    }

    /// The delta from the version `have` of a peer to the one in force, or a full copy if the history does not reach
    /// back to `have`.
    pub fn delta_from(&self, have: u64) -> ManifestDelta {
        let start = self.history.iter().position(|(from, _, _)| *from == have);
        let headings: BTreeSet<&String> = match start {
            Some(i) if have > 0 => self.history.iter().skip(i).flat_map(|(_, _, h)| h).collect(),
            _ => self.sections.keys().collect(),
        };
        let mut delta = ManifestDelta {
            from: if start.is_some() { have } else { 0 },
            to: self.version,
            changed: Vec::new(),
            removed: Vec::new(),
            result: result_digest(&self.sections),
        };
        for heading in headings {
            match self.sections.get(heading) {
                Some((digest, text)) => {
                    let entry = SectionEntry {
                        heading: heading.clone(),
                        digest: *digest,
                    };
                    delta.changed.push((entry, text.to_string()));
                }
                None => delta.removed.push(heading.clone()),
            }
        }
        delta
    }

    /// Applies a delta from a peer. Returns false if its result is not newer.
    ///
    /// # Errors
    ///
    /// If the delta starts from another version, its result does not have the announced digest, or the result is not a
    /// valid manifest. The version in force does not change.
    pub fn apply(&mut self, delta: &ManifestDelta) -> Result<bool, AdoptError> {
        if delta.to <= self.version {
            return Ok(false);
        }
        if delta.from != 0 && delta.from != self.version {
            return Err(AdoptError::BaseMismatch {
                from: delta.from,
                have: self.version,
            });
        }
        let mut sections = if delta.from == 0 {
            BTreeMap::new()
        } else {
            self.sections.clone()
        };
        for heading in &delta.removed {
            sections.remove(heading);
        }
        for (entry, text) in &delta.changed {
            sections.insert(
                entry.heading.clone(),
                (section_digest(text), Arc::from(text.as_str())),
            );
        }
        if result_digest(&sections) != delta.result {
            return Err(AdoptError::DigestMismatch { version: delta.to });
        }
        self.install(delta.to, sections)
    }

    /// Parses the sections of a newer version and puts them in force.
    fn install(&mut self, version: u64, sections: BTreeMap<String, Section>) -> Result<bool, AdoptError> {
        assert!(version > self.version, "a manifest must never revert");
        let text: String = sections.values().map(|(_, text)| text.as_ref()).collect();
        let manifest = Manifest::parse(&text).map_err(|source| AdoptError::Invalid { version, source })?;
        let changed = changed_headings(&self.sections, &sections);
        self.history.push_back((self.version, version, changed));
        if self.history.len() > MAX_HISTORY_CHANGES {
            self.history.pop_front();
        }
        self.version = version;
        self.sections = sections;
        self.manifest = Arc::new(manifest);
        Ok(true)
    }
}

/// Headings of the sections that were added, changed or removed.
fn changed_headings(old: &BTreeMap<String, Section>, new: &BTreeMap<String, Section>) -> BTreeSet<String> {
    let differs = |heading: &&String| old.get(*heading).map(|s| s.0) != new.get(*heading).map(|s| s.0);
    old.keys().chain(new.keys()).filter(differs).cloned().collect()
}

/// Digest over all sections, by which a delta announces its result.
fn result_digest(sections: &BTreeMap<String, Section>) -> SectionDigest {
    let mut hash = Sha256::new();
    for (heading, (digest, _)) in sections {
        hash.update(heading.as_bytes());
        hash.update([0]);
        hash.update(digest);
    }
    hash.finalize().into()
}

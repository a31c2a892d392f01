//! The manifest in force, its sections, and the changes between its versions.

use cranelift_entity::EntityRef as _;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use thiserror::Error;
use wasabiyard_model::{Database, Manifest, ManifestError};
use wasabiyard_wire::{ManifestDelta, SectionDigest, SectionEntry};

/// Changes that are kept to answer peers that are behind. A peer that is further behind gets a full copy. At 440 changes
/// a day this covers more than an hour.
const HISTORY_CHANGES: usize = 32;

/// Why a version was not adopted.
#[derive(Debug, Error)]
pub enum AdoptError {
    /// The delta starts from a version that is not the one in force.
    #[error("the delta starts from version {from}, but version {have} is in force")]
    OtherBase {
        /// Start of the delta.
        from: u64,
        /// Version in force.
        have: u64,
    },
    /// The text of a section, or the result, does not have the digest that was announced.
    #[error("version {version} does not have the announced digest")]
    WrongDigest {
        /// Version.
        version: u64,
    },
    /// The sections are not a valid manifest.
    #[error("version {version} is not a valid manifest")]
    Invalid {
        /// Version.
        version: u64,
        /// Cause.
        #[source]
        source: ManifestError,
    },
}

/// Text of a section with its digest.
type Section = (SectionDigest, Arc<str>);

/// The sections of the version in force. Sections are ordered by heading, so that every instance has the same text
/// whatever changes it came by.
#[derive(Debug, Default)]
pub struct ManifestStore {
    version: u64,
    sections: BTreeMap<String, Section>,
    manifest: Arc<Manifest>,
    /// (from, to, headings that changed), each starting where the one before ended.
    history: VecDeque<(u64, u64, BTreeSet<String>)>,
}

/// Content address of the text of a section.
pub fn section_digest(text: &str) -> SectionDigest {
    Sha256::digest(text.as_bytes()).into()
}

impl ManifestStore {
    /// Version in force, 0 for none.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The manifest in force.
    pub fn manifest(&self) -> &Arc<Manifest> {
        &self.manifest
    }

    /// Names of all databases, in the order of the manifest.
    pub fn databases(&self) -> Vec<&str> {
        let all = &self.manifest.databases;
        (0..all.len())
            .map(|i| all[Database::new(i)].name.as_str())
            .collect()
    }

    /// The text of a section that is held, to avoid reading it again.
    pub fn section_text(&self, digest: &SectionDigest) -> Option<&Arc<str>> {
        self.sections
            .values()
            .find(|(held, _)| held == digest)
            .map(|(_, text)| text)
    }

    /// Adopts a version that was read from the platform. Returns false when it is not newer.
    ///
    /// # Errors
    ///
    /// When a text does not match its digest or the sections are not a valid manifest. The version in force stays.
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
            return Err(AdoptError::WrongDigest { version });
        }
        let sections = sections
            .into_iter()
            .map(|(e, text)| (e.heading, (e.digest, text)))
            .collect();
        self.install(version, sections)
    }

    /// The change from a version that a peer has to the one in force; a full copy when that version is not covered by
    /// the history.
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

    /// Applies a change from a peer. Returns false when its result is not newer.
    ///
    /// # Errors
    ///
    /// When it starts from another version, or its result is not what was announced. The version in force stays.
    pub fn apply(&mut self, delta: &ManifestDelta) -> Result<bool, AdoptError> {
        if delta.to <= self.version {
            return Ok(false);
        }
        if delta.from != 0 && delta.from != self.version {
            return Err(AdoptError::OtherBase {
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
            return Err(AdoptError::WrongDigest { version: delta.to });
        }
        self.install(delta.to, sections)
    }

    fn install(&mut self, version: u64, sections: BTreeMap<String, Section>) -> Result<bool, AdoptError> {
        assert!(version > self.version, "a manifest must never revert");
        let text: String = sections.values().map(|(_, text)| text.as_ref()).collect();
        let manifest = Manifest::parse(&text).map_err(|source| AdoptError::Invalid { version, source })?;
        let changed = changed_headings(&self.sections, &sections);
        self.history.push_back((self.version, version, changed));
        if self.history.len() > HISTORY_CHANGES {
            self.history.pop_front();
        }
        self.version = version;
        self.sections = sections;
        self.manifest = Arc::new(manifest);
        Ok(true)
    }
}

fn changed_headings(old: &BTreeMap<String, Section>, new: &BTreeMap<String, Section>) -> BTreeSet<String> {
    let differs = |heading: &&String| old.get(*heading).map(|s| s.0) != new.get(*heading).map(|s| s.0);
    old.keys().chain(new.keys()).filter(differs).cloned().collect()
}

fn result_digest(sections: &BTreeMap<String, Section>) -> SectionDigest {
    let mut hash = Sha256::new();
    for (heading, (digest, _)) in sections {
        hash.update(heading.as_bytes());
        hash.update([0]);
        hash.update(digest);
    }
    hash.finalize().into()
}

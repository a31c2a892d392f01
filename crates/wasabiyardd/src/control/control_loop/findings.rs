//! What the platform told.

use super::{ControlLoop, term_changed};
use crate::clock;
use crate::control::finding::{Document, Finding};
use rand::Rng as _;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use wasabiyard_cluster::Command;
use wasabiyard_model::Time;
use wasabiyard_platform::{ListedInstance, ListedState, ManifestIndex, Platform, ReplicationGroup};
use wasabiyard_wire::{MemberDigest, MemberState, SectionEntry};

impl<P> ControlLoop<P>
where
    P: Platform + 'static,
{
    pub(super) fn on_finding(&mut self, finding: Finding, out: &mut Vec<Command>) {
        let now = clock::now();
        match finding {
            Finding::Listed(listed) => {
                let digests: Vec<_> = listed.iter().map(digest).collect();
                self.cluster.on_listed(&digests, now, out);
            }
            Finding::Confirmed(document) => self.on_confirmed(document, now),
            Finding::Index(index) => self.on_index(index),
            Finding::Sections(version, sections) => self.on_sections(version, sections, now, out),
            Finding::OutOfService(version, doc) => {
                self.cluster
                    .adopt_out_of_service(version, doc.domains, doc.instances, &mut self.rng, out);
            }
            Finding::Group(database, group) => self.on_group(&database, group, now),
            Finding::SessionKey(key) => {
                self.session_key = Arc::from(key);
                self.changed = true;
            }
        }
    }

    /// A confirmation of the manifest counts only when the newest version that was seen is in force.
    pub(super) fn on_confirmed(&mut self, document: Document, now: Time) {
        match document {
            Document::Manifest => match self.index.take() {
                None => self.cluster.on_confirmed(true, now),
                Some(index) => self.on_index(index),
            },
            Document::OutOfService => self.cluster.on_confirmed(false, now),
        }
    }

    /// Reads the sections of a newer version, unless that is under way. The index is kept until the version is in force,
    /// so that a read that failed is repeated.
    pub(super) fn on_index(&mut self, index: ManifestIndex) {
        let manifest = self.cluster.manifest();
        if index.version <= manifest.version() {
            return;
        }
        let Some(entries) = entries(&index) else {
            log::error!("the index of manifest {} holds a malformed digest", index.version);
            return;
        };
        if self.reading_version != Some(index.version) {
            let text = |e: &SectionEntry| Some((e.digest, Arc::clone(manifest.section_text(&e.digest)?)));
            let held: HashMap<_, _> = entries.iter().filter_map(text).collect();
            self.reading_version = Some(index.version);
            self.executor
                .spawn(Rc::clone(&self.reader).sections(index.version, entries, held))
                .detach();
        }
        self.index = Some(index);
    }

    pub(super) fn on_sections(
        &mut self,
        version: u64,
        sections: Option<Vec<(SectionEntry, Arc<str>)>>,
        now: Time,
        out: &mut Vec<Command>,
    ) {
        if self.reading_version == Some(version) {
            self.reading_version = None;
        }
        let Some(sections) = sections else { return };
        if let Err(e) = self.cluster.adopt_manifest(version, sections, &mut self.rng, out) {
            log::error!("the manifest at the platform was not adopted: {e}");
        }
        // A version that is not valid is refused by every instance, so the one in force is still the newest.
        if self.index.as_ref().is_some_and(|i| i.version <= version) {
            self.index = None;
            self.cluster.on_confirmed(true, now);
        }
    }

    pub(super) fn on_group(&mut self, database: &str, group: Option<ReplicationGroup>, now: Time) {
        let jitter = self.rng.random();
        if let Some(group) = self.groups.found(database, group, jitter, now) {
            self.wiring.recorder.record(term_changed(database, group));
            self.changed = true;
        }
    }
}

fn digest(listed: &ListedInstance) -> MemberDigest {
    MemberDigest {
        instance: listed.id.clone(),
        incarnation: listed.incarnation,
        refutation: 0,
        state: match listed.state {
            ListedState::Live => MemberState::Alive,
            ListedState::Leaving => MemberState::Leaving,
            ListedState::Silent => MemberState::Suspect,
        },
        address: listed.address.clone(),
        failure_domain: listed.domain.clone(),
    }
}

fn entries(index: &ManifestIndex) -> Option<Vec<SectionEntry>> {
    let entry = |(heading, digest): &(String, String)| {
        let digest = hex::decode(digest).ok()?.try_into().ok()?;
        Some(SectionEntry {
            heading: heading.clone(),
            digest,
        })
    };
    index.sections.iter().map(entry).collect()
}

//! Applies the results of platform calls to the control state.

use super::{ControlLoop, term_changed};
use crate::clock;
use crate::control::platform_update::{Document, PlatformUpdate};
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
    pub(super) fn on_platform_update(&mut self, update: PlatformUpdate, out: &mut Vec<Command>) {
        let now = clock::now();
        match update {
            PlatformUpdate::Listed(listed) => {
                let digests: Vec<_> = listed.iter().map(member_digest).collect();
                self.cluster.on_listed(&digests, now, out);
            }
            PlatformUpdate::Confirmed(document) => self.on_confirmed(document, now),
            PlatformUpdate::Index(index) => self.on_index(index),
            PlatformUpdate::Sections(version, sections) => self.on_sections(version, sections, now, out),
            PlatformUpdate::OutOfService(version, doc) => {
                self.cluster
                    .adopt_out_of_service(version, doc.domains, doc.instances, &mut self.rng, out);
            }
            PlatformUpdate::Group(database, group) => self.on_group(&database, group, now),
            PlatformUpdate::SessionKey(key) => {
                self.session_key = Arc::from(key);
                self.snapshot_dirty = true;
            }
        }
    }

    /// Records that the platform confirmed a document. A confirmation of the manifest counts only if the newest version
    /// seen is in force; otherwise the read of that version is repeated.
    pub(super) fn on_confirmed(&mut self, document: Document, now: Time) {
        match document {
            Document::Manifest => match self.pending_index.take() {
                None => self.cluster.on_confirmed(true, now),
                Some(index) => self.on_index(index),
            },
            Document::OutOfService => self.cluster.on_confirmed(false, now),
        }
    }

    /// Starts to read the sections of a newer manifest version, unless they are being read already. The index is kept
    /// until the version is in force, so that a failed read is repeated.
    pub(super) fn on_index(&mut self, index: ManifestIndex) {
        let manifest = self.cluster.manifest();
        if index.version <= manifest.version() {
            return;
        }
        let Some(entries) = section_entries(&index) else {
            log::error!(
                "the index of manifest version {} contains a malformed section digest",
                index.version
            );
            return;
        };
        if self.version_being_read != Some(index.version) {
            let text = |e: &SectionEntry| Some((e.digest, Arc::clone(manifest.section_text(&e.digest)?)));
            let cached_texts: HashMap<_, _> = entries.iter().filter_map(text).collect();
            self.version_being_read = Some(index.version);
            self.executor
                .spawn(Rc::clone(&self.reader).read_sections(index.version, entries, cached_texts))
                .detach();
        }
        self.pending_index = Some(index);
    }

    pub(super) fn on_sections(
        &mut self,
        version: u64,
        sections: Option<Vec<(SectionEntry, Arc<str>)>>,
        now: Time,
        out: &mut Vec<Command>,
    ) {
        if self.version_being_read == Some(version) {
            self.version_being_read = None;
        }
        let Some(sections) = sections else { return };
        if let Err(e) = self.cluster.adopt_manifest(version, sections, &mut self.rng, out) {
            log::error!("manifest version {version} from the platform was rejected: {e}");
        }
        // Every instance rejects an invalid version, so the one in force still counts as the newest.
        if self.pending_index.as_ref().is_some_and(|i| i.version <= version) {
            self.pending_index = None;
            self.cluster.on_confirmed(true, now);
        }
    }

    pub(super) fn on_group(&mut self, database: &str, group: Option<ReplicationGroup>, now: Time) {
        let jitter = self.rng.random();
        if let Some(group) = self.groups.on_read(database, group, jitter, now) {
            self.deps.recorder.record(term_changed(database, group));
            self.snapshot_dirty = true;
        }
    }
}

fn member_digest(listed: &ListedInstance) -> MemberDigest {
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

fn section_entries(index: &ManifestIndex) -> Option<Vec<SectionEntry>> {
    let entry = |(heading, digest): &(String, String)| {
        let digest = hex::decode(digest).ok()?.try_into().ok()?;
        Some(SectionEntry {
            heading: heading.clone(),
            digest,
        })
    };
    index.sections.iter().map(entry).collect()
}

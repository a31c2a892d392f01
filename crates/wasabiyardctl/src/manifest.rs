//! Implements `manifest check`, `manifest apply` and `manifest show`.
//!
//! A manifest is stored as one object for each section, keyed by the digest of its content, and an index object that
//! names the sections of the version in force.

use crate::document::read_document;
use crate::{CtlError, Report};
use serde_json::json;
use std::fmt::Write as _;
use wasabiyard_cluster::section_digest;
use wasabiyard_model::{Manifest, Version};
use wasabiyard_platform::{ManifestIndex, Platform, PlatformError, Precondition, keys};

/// Maximum number of attempts to write a section when the responses are lost.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// Validates the text of a manifest and reports the number of its entries.
///
/// # Errors
///
/// Reports the first rule that the manifest violates.
pub fn check_manifest(text: &str) -> Result<Report, CtlError> {
    let manifest = Manifest::parse(text)?;
    let counts = [
        ("services", manifest.services.len()),
        ("databases", manifest.databases.len()),
        ("organisations", manifest.organisations.len()),
        ("routes", manifest.routes.len()),
    ];
    let list: Vec<_> = counts.iter().map(|(name, n)| format!("{n} {name}")).collect();
    let mut json = serde_json::Map::from_iter([("valid".to_owned(), json!(true))]);
    json.extend(counts.iter().map(|(name, n)| ((*name).to_owned(), json!(n))));
    Ok(Report {
        text: format!("valid: {}\n", list.join(", ")),
        json: json.into(),
    })
}

/// Puts a manifest in force. With `expect`, only when that version is in force now.
///
/// # Errors
///
/// When the manifest is not valid, another operator changed it meanwhile, or the platform fails. Unless the
/// response to the write of the index was lost, the version in force stays.
pub async fn apply_manifest<P>(platform: &P, text: &str, expect: Option<u64>) -> Result<Report, CtlError>
where
    P: Platform,
{
    Manifest::parse(text)?;
    let (version, old_index) = read_index(platform).await?;
    let found = old_index.version;
    if let Some(expected) = expect.filter(|e| *e != found) {
        return Err(CtlError::UnexpectedVersion { expected, found });
    }
    let sections = Manifest::split_sections(text)?;
    let digest = |text: &str| hex::encode(section_digest(text));
    let entries: Vec<_> = sections
        .iter()
        .map(|(heading, text)| (heading.clone(), digest(text)))
        .collect();
    if found > 0 && entries == old_index.sections {
        return Ok(apply_report(found, 0, 0, "already in force"));
    }
    // Sections are stored before the index that names them, so that an index in force never lacks a section.
    let changed: Vec<_> = entries
        .iter()
        .zip(&sections)
        .filter(|(entry, _)| !old_index.sections.contains(entry))
        .collect();
    for ((_, digest), (_, text)) in &changed {
        write_section(platform, digest, text).await?;
    }
    let removed = old_index
        .sections
        .iter()
        .filter(|(heading, _)| entries.iter().all(|(h, _)| h != heading))
        .count();
    let changed = changed.len();
    let index = ManifestIndex {
        version: found + 1,
        sections: entries,
    };
    write_index(platform, version, found, &index).await?;
    Ok(apply_report(index.version, changed, removed, "applied"))
}

/// Reports the text of the manifest in force, after a comment line with its version.
///
/// # Errors
///
/// When no manifest is in force, one of its sections is missing, or the platform fails.
pub async fn show_manifest<P>(platform: &P) -> Result<Report, CtlError>
where
    P: Platform,
{
    let (_, index) = read_index(platform).await?;
    let version = index.version;
    if version == 0 {
        return Err(CtlError::NoManifest);
    }
    let mut text = format!("; version {version}\n");
    let mut sections = Vec::new();
    for (heading, digest) in index.sections {
        let object = platform.get(&section_key(&digest)).await?;
        let section = object.as_ref().and_then(|o| o.value.as_str());
        let section = section.ok_or_else(|| CtlError::MissingSection {
            version,
            heading: heading.clone(),
        })?;
        write!(text, "\n{section}").expect("writing to a string cannot fail");
        sections.push(json!({ "heading": heading, "digest": digest, "text": section }));
    }
    Ok(Report {
        text,
        json: json!({ "version": version, "sections": sections }),
    })
}

fn apply_report(version: u64, changed: usize, removed: usize, outcome: &str) -> Report {
    Report {
        text: format!("version {version} {outcome}: {changed} sections changed, {removed} removed\n"),
        json: json!({ "version": version, "changed": changed, "removed": removed }),
    }
}

fn section_key(digest: &str) -> String {
    format!("{}{digest}", keys::MANIFEST_SECTION_PREFIX)
}

async fn read_index<P>(platform: &P) -> Result<(Version, ManifestIndex), CtlError>
where
    P: Platform,
{
    read_document(platform, keys::MANIFEST_INDEX).await
}

/// Stores a section under the digest of its content. When the response is lost, the write succeeded if the key exists,
/// since the key determines the content; for the same reason a conflict counts as success.
async fn write_section<P>(platform: &P, digest: &str, text: &str) -> Result<(), CtlError>
where
    P: Platform,
{
    let key = section_key(digest);
    let mut attempt = 1;
    loop {
        match platform.put(&key, Precondition::Absent, &text.into()).await {
            Ok(_) | Err(PlatformError::Conflict { .. }) => return Ok(()),
            Err(PlatformError::Unknown) if platform.get(&key).await?.is_some() => return Ok(()),
            Err(PlatformError::Unknown) if attempt < MAX_WRITE_ATTEMPTS => attempt += 1,
            Err(e) => return Err(e.into()),
        }
    }
}

async fn write_index<P>(
    platform: &P,
    version: Version,
    base_version: u64,
    index: &ManifestIndex,
) -> Result<(), CtlError>
where
    P: Platform,
{
    let expect = if version == Version(0) {
        Precondition::Absent
    } else {
        Precondition::Version(version)
    };
    let value = serde_json::to_value(index).expect("an index serializes to JSON");
    let put_error = match platform.put(keys::MANIFEST_INDEX, expect, &value).await {
        Ok(_) => return Ok(()),
        Err(e @ (PlatformError::Conflict { .. } | PlatformError::Unknown)) => e,
        Err(e) => return Err(e.into()),
    };
    // After a lost response or a retry inside the client, the write may have taken effect despite the error, so the
    // index in force decides. If another operator wrote the same content, the command's effect is in force as well.
    let (_, found) = read_index(platform).await?;
    match put_error {
        _ if found == *index => Ok(()),
        PlatformError::Conflict { .. } => Err(CtlError::ConcurrentChange {
            document: "the manifest",
            base_version,
            found: found.version,
        }),
        e if found.version == base_version => Err(e.into()),
        _ => Err(CtlError::ConcurrentChange {
            document: "the manifest",
            base_version,
            found: found.version,
        }),
    }
}

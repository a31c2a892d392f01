//! Checks, applies and shows manifests.

use crate::document::read_document;
use crate::{CtlError, Report};
use serde_json::json;
use std::fmt::Write as _;
use wasabiyard_cluster::section_digest;
use wasabiyard_model::{Manifest, Version};
use wasabiyard_platform::{ManifestIndex, Platform, PlatformError, Precondition, keys};

/// Attempts of a write whose answer was lost.
const ATTEMPTS: u32 = 3;

/// Checks a manifest.
///
/// # Errors
///
/// The first breach found.
pub fn check(text: &str) -> Result<Report, CtlError> {
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

/// Puts a manifest in force. With `expect`, only when that version is in force.
///
/// # Errors
///
/// When the manifest is not valid, another operator was faster, or the platform fails. The version in force stays.
pub async fn apply<P>(platform: &P, text: &str, expect: Option<u64>) -> Result<Report, CtlError>
where
    P: Platform,
{
    Manifest::parse(text)?;
    let (version, old) = read_index(platform).await?;
    let found = old.version;
    if let Some(expected) = expect.filter(|e| *e != found) {
        return Err(CtlError::OtherBase { expected, found });
    }
    let sections = Manifest::split_sections(text)?;
    let digest = |text: &str| hex::encode(section_digest(text));
    let entries: Vec<_> = sections
        .iter()
        .map(|(heading, text)| (heading.clone(), digest(text)))
        .collect();
    if found > 0 && entries == old.sections {
        return Ok(applied(found, 0, 0, "already in force"));
    }
    // Sections are stored by content before the index names them, so that every index is complete.
    let changed: Vec<_> = entries
        .iter()
        .zip(&sections)
        .filter(|(entry, _)| !old.sections.contains(entry))
        .collect();
    for ((_, digest), (_, text)) in &changed {
        write_section(platform, digest, text).await?;
    }
    let removed = old
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
    Ok(applied(index.version, changed, removed, "applied"))
}

/// Shows the manifest in force.
///
/// # Errors
///
/// When there is none, or the platform fails.
pub async fn show<P>(platform: &P) -> Result<Report, CtlError>
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

fn applied(version: u64, changed: usize, removed: usize, what: &str) -> Report {
    Report {
        text: format!("version {version} {what}: {changed} sections changed, {removed} removed\n"),
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

/// Writes a section by its content. After a lost answer the section is looked up; its key proves its content.
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
            Err(PlatformError::Unknown) if attempt < ATTEMPTS => attempt += 1,
            Err(e) => return Err(e.into()),
        }
    }
}

async fn write_index<P>(
    platform: &P,
    version: Version,
    started: u64,
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
    let value = serde_json::to_value(index).expect("an index is JSON");
    let lost = match platform.put(keys::MANIFEST_INDEX, expect, &value).await {
        Ok(_) => return Ok(()),
        Err(e @ (PlatformError::Conflict { .. } | PlatformError::Unknown)) => e,
        Err(e) => return Err(e.into()),
    };
    // After a lost answer, and after a repetition inside the client, the update may have taken effect: what counts is
    // the index in force. Another operator who wrote the same content had the same effect.
    let (_, found) = read_index(platform).await?;
    match lost {
        _ if found == *index => Ok(()),
        PlatformError::Conflict { .. } => Err(CtlError::Lost {
            document: "the manifest",
            started,
            found: found.version,
        }),
        e if found.version == started => Err(e.into()),
        _ => Err(CtlError::Lost {
            document: "the manifest",
            started,
            found: found.version,
        }),
    }
}

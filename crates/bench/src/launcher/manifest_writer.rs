//! Publishes a manifest on the platform: the sections first, and the index that refers to them last.

use super::LaunchError;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use wasabiyard_model::Version;
use wasabiyard_platform::{ManifestIndex, Platform, PlatformError, Precondition, keys};

/// Replaces the manifest in force and returns the new version. A concurrent writer of the index causes a conflict error.
pub(super) async fn write_manifest<P>(platform: &P, manifest: &str) -> Result<u64, LaunchError>
where
    P: Platform,
{
    let mut sections = Vec::new();
    for (heading, text) in split_sections(manifest) {
        let digest = hex::encode(Sha256::digest(text.as_bytes()));
        let key = format!("{}{digest}", keys::MANIFEST_SECTION_PREFIX);
        match platform
            .put(&key, Precondition::Absent, &Value::String(text))
            .await
        {
            // Sections are content-addressed: an existing object with this digest has the same text.
            Ok(_) | Err(PlatformError::Conflict { .. }) => sections.push((heading, digest)),
            Err(e) => return Err(e.into()),
        }
    }
    sections.sort();
    let current = platform.get(keys::MANIFEST_INDEX).await?;
    let (precondition, previous) = match current {
        None => (Precondition::Absent, ManifestIndex::default()),
        Some(current) => (
            Precondition::Version(current.version),
            serde_json::from_value(current.value).unwrap_or_default(),
        ),
    };
    let index = ManifestIndex {
        version: previous.version + 1,
        sections,
    };
    let _version: Version = platform
        .put(keys::MANIFEST_INDEX, precondition, &json!(index))
        .await?;
    Ok(index.version)
}

/// Splits a manifest into pairs of heading and text. The text includes the heading line in brackets.
fn split_sections(manifest: &str) -> Vec<(String, String)> {
    let mut sections: Vec<(String, String)> = Vec::new();
    for line in manifest.lines() {
        let heading = line.trim().strip_prefix('[').and_then(|l| l.strip_suffix(']'));
        if let Some(heading) = heading {
            sections.push((heading.trim().to_owned(), String::new()));
        }
        if let Some((_, text)) = sections.last_mut() {
            text.push_str(line);
            text.push('\n');
        }
    }
    sections
}

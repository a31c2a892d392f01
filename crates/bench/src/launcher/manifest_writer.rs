//! Writes a manifest to the platform, sections first and the index last.

use super::LaunchError;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use wasabiyard_model::Version;
use wasabiyard_platform::{ManifestIndex, Platform, PlatformError, Precondition, keys};

/// Replaces the manifest in force and returns its version.
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
            // The same digest is the same text.
            Ok(_) | Err(PlatformError::Conflict { .. }) => sections.push((heading, digest)),
            Err(e) => return Err(e.into()),
        }
    }
    sections.sort();
    let object = platform.get(keys::MANIFEST_INDEX).await?;
    let (expect, old) = match object {
        None => (Precondition::Absent, ManifestIndex::default()),
        Some(object) => (
            Precondition::Version(object.version),
            serde_json::from_value(object.value).unwrap_or_default(),
        ),
    };
    let index = ManifestIndex {
        version: old.version + 1,
        sections,
    };
    let _version: Version = platform.put(keys::MANIFEST_INDEX, expect, &json!(index)).await?;
    Ok(index.version)
}

/// Heading and text of each section; the text starts with the heading in brackets.
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

//! Reads the platform documents that operators change.

use crate::CtlError;
use serde::de::DeserializeOwned;
use wasabiyard_model::Version;
use wasabiyard_platform::Platform;

/// Reads the document under `key` and the version of its object. Without such an object, returns the default document
/// and version 0.
///
/// # Errors
///
/// When the platform does not answer, or the object does not deserialize as `D`.
pub async fn read_document<P, D>(platform: &P, key: &str) -> Result<(Version, D), CtlError>
where
    P: Platform,
    D: DeserializeOwned + Default,
{
    let Some(object) = platform.get(key).await? else {
        return Ok((Version(0), D::default()));
    };
    let doc = serde_json::from_value(object.value);
    let doc = doc.map_err(|source| CtlError::InvalidDocument {
        key: object.key,
        source,
    })?;
    Ok((object.version, doc))
}

//! Errors of operations on the platform.

use miette::Diagnostic;
use thiserror::Error;
use wasabiyard_model::Version;

/// Why an operation on the platform failed.
#[derive(Debug, Error, Diagnostic)]
pub enum PlatformError {
    /// The object is not at the version that a conditional update expects. The update did not take effect.
    #[error("{key} is at version {found}, not {expected}")]
    #[diagnostic(help("read the object again and retry with its current version"))]
    Conflict {
        /// Key of the object.
        key: String,
        /// Version in the condition of the update; 0 when the object must not exist.
        expected: Version,
        /// Current version; 0 when the object does not exist.
        found: Version,
    },
    /// The request did not reach the platform, or was rejected (such as with 503 or 429), or the response to a read was
    /// lost. No update took effect.
    #[error("the platform is unavailable: {reason}")]
    #[diagnostic(help("check the address in [platform] and that the platform is running"))]
    Unavailable {
        /// Cause in words, such as the failed connect or the HTTP status.
        reason: String,
    },
    /// An update was sent, but its result is not known. It may have taken effect; read the object again to find out.
    #[error("the platform did not confirm the update, which may have taken effect")]
    Unknown,
    /// The body of the response is not the expected JSON document. If the request was an update, it may have taken
    /// effect.
    #[error("the response of the platform for {key} is not valid")]
    Malformed {
        /// Key, prefix or path of the request.
        key: String,
        /// Error of the JSON parser.
        #[source]
        source: serde_json::Error,
    },
}

//! The platform as wasabiyard sees it: an object API with versions, conditional updates and watches, and a lagging
//! list of instances.
//!
//! Everything that is assumed of the platform is in the trait [`Platform`] and the document types here, so that
//! another form of platform needs another implementation of this trait and nothing else.

mod documents;
mod error;
mod http;
mod http_client;
mod http_connection;
mod object;

pub use documents::{
    GroupSlot, GroupState, ManifestIndex, OutOfService, Registration, ReplicationGroup, ShareRound,
    SlotState, keys,
};
pub use error::PlatformError;
pub use http::HttpPlatform;
pub use http_client::{HttpClient, HttpRequest};
pub use http_connection::{HttpError, HttpResponse};
pub use object::{Changes, ListedInstance, ListedState, Object, Platform, Precondition};

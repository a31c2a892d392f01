//! Interface to the platform: an object store with versions, conditional updates and watches, and an eventually
//! consistent list of instances.
//!
//! The trait [`Platform`] and the document types contain every assumption about the platform, so supporting another
//! platform requires only another implementation of this trait. [`HttpClient`] knows no paths and no documents;
//! `wasabiyard-node` also uses it for its object store and promotion service.

mod documents;
mod error;
mod generation;
mod http;
mod http_client;
mod http_connection;
mod object;
mod percent_encoding;

pub use documents::{
    GroupSlot, GroupState, ManifestIndex, OutOfService, Registration, ReplicationGroup, ShareRound,
    SlotState, keys,
};
pub use error::PlatformError;
pub use generation::Generation;
pub use http::HttpPlatform;
pub use http_client::{HttpClient, HttpRequest};
pub use http_connection::{HttpError, HttpResponse};
pub use object::{Changes, ListedInstance, ListedState, Object, Platform, Precondition};
pub use percent_encoding::encode_segment;

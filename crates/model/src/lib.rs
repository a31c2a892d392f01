//! The vocabulary that every crate of wasabiyard shares: units, entity references, the manifest, and the two
//! families of errors that a caller can see.
//!
//! Nothing here does input or output. Values are parsed and checked once, at the edge, into these types, so that the
//! decision crates need no further checks.

mod access;
mod declarations;
mod digest;
mod duration;
mod entity;
mod instance_id;
mod log_point;
mod manifest;
mod manifest_error;
mod not_run;
mod outcome_unknown;
mod priority_class;
mod read_consistency;
mod section_reader;
mod time;
mod version;

pub use access::Access;
pub use declarations::{DatabaseDecl, OrganisationDecl, RouteDecl, ServiceDecl};
pub use digest::KeyDigest;
pub use entity::{Database, FailureDomain, Instance, Organisation, Route, Service, Slot};
pub use instance_id::{Incarnation, InstanceId};
pub use log_point::{LogPoint, LogPosition, Term, TermHistory};
pub use manifest::Manifest;
pub use manifest_error::ManifestError;
pub use not_run::NotRun;
pub use outcome_unknown::OutcomeUnknown;
pub use priority_class::PriorityClass;
pub use read_consistency::ReadConsistency;
pub use time::Time;
pub use version::Version;

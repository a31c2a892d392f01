//! The types that all wasabiyard crates share: units, entity references, the manifest, and the two families of errors
//! that a caller can receive ([`NotRun`] and [`OutcomeUnknown`]).
//!
//! This crate does no I/O. Input is parsed and validated into these types once, where it enters the process, so that
//! the crates that make decisions need no further validation.

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

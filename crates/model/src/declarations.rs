//! The entries of a manifest as declared, with names resolved.

use crate::{Access, Database, KeyDigest, PriorityClass, ReadConsistency, Service};
use std::time::Duration;

/// A service as declared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceDecl {
    /// Name, also the database name that callers give.
    pub name: String,
    /// The databases, in the order declared. Never empty.
    pub databases: Vec<Database>,
}

/// A database as declared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DatabaseDecl {
    /// Name of the replication group at the platform.
    pub name: String,
    /// The service that it belongs to.
    pub service: Service,
}

/// An organisation as declared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationDecl {
    /// Name, also the user name that callers give.
    pub name: String,
    /// Digests of the keys in force. Empty when all were withdrawn.
    pub keys: Vec<KeyDigest>,
    /// Statements a second over the whole fleet.
    pub rate: u32,
    /// Statements that may be sent at once over the whole fleet.
    pub burst: u32,
    /// Weight for scarce connections, 1 to 100.
    pub weight: u32,
    /// The services that it may use.
    pub services: Vec<Service>,
}

/// A route as declared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDecl {
    /// Name.
    pub name: String,
    /// The services that it belongs to.
    pub services: Vec<Service>,
    /// Read or write.
    pub access: Access,
    /// How old the data may be.
    pub read_consistency: ReadConsistency,
    /// Priority class.
    pub class: PriorityClass,
    /// Whether a request may be sent again after an unknown outcome.
    pub idempotent: bool,
    /// Whether a caller without a key may use it.
    pub allows_anonymous: bool,
    /// Time for one request, from its arrival at the entry.
    pub timeout: Duration,
}

//! The entries of a manifest. References to other entries are resolved from names to entity references.

use crate::{Access, Database, KeyDigest, PriorityClass, ReadConsistency, Service};
use std::time::Duration;

/// The declaration of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceDecl {
    /// Name. Callers connect to the service by giving it as the database name.
    pub name: String,
    /// The databases (shards) in the order declared; never empty. The order determines which shard key maps to which
    /// database.
    pub databases: Vec<Database>,
}

/// The declaration of a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DatabaseDecl {
    /// Name of the replication group on the platform.
    pub name: String,
    /// The service to which it belongs.
    pub service: Service,
}

/// The declaration of an organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationDecl {
    /// Name. Callers log in with it as the user name.
    pub name: String,
    /// Digests of the valid API keys; empty when all keys have been revoked.
    pub keys: Vec<KeyDigest>,
    /// Sustained rate limit, in statements per second over all instances.
    pub rate: u32,
    /// Burst size of the rate limiter, in statements over all instances.
    pub burst: u32,
    /// Weight in the fair queue for connections, from 1 to 100.
    pub weight: u32,
    /// The services that it is allowed to use.
    pub services: Vec<Service>,
}

/// The declaration of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDecl {
    /// Name, unique among the routes of each of its services.
    pub name: String,
    /// The services that offer the route.
    pub services: Vec<Service>,
    /// Whether requests only read or may write.
    pub access: Access,
    /// Consistency that reads require; the `tolerance` key of the manifest.
    pub read_consistency: ReadConsistency,
    /// Priority of its requests when connections are scarce.
    pub class: PriorityClass,
    /// Whether a request may be retried after an unknown outcome; the `repeatable` key of the manifest.
    pub idempotent: bool,
    /// Whether callers without an API key may use it; the `open` key of the manifest.
    pub allows_anonymous: bool,
    /// Time limit for one request, counted from its arrival at the instance to which the caller is connected.
    pub timeout: Duration,
}

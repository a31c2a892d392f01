//! The operators' configuration, decoded.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{PriorityClass, Version};

/// How fresh the reads of a route must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Every commit acknowledged before the read.
    Latest,
    /// Every commit acknowledged longer ago than this.
    Bounded(Duration),
    /// As `Bounded`, and the session's own commits.
    OwnWrites(Duration),
}

/// The rules for one kind of request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: Arc<str>,
    /// Service that runs it.
    pub service: Arc<str>,
    /// How fresh its reads must be.
    pub freshness: Freshness,
    /// Longest time for one statement.
    pub timeout: Duration,
    /// Time in which a caller wants a whole operation done.
    pub target: Duration,
    /// Class for scarce connections.
    pub class: PriorityClass,
    /// Whether callers need no key.
    pub public: bool,
}

/// What the configuration says of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRule {
    /// Connections that one backend server accepts from all callers together.
    pub max_connections: u32,
}

/// An organisation and its share of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationRule {
    /// Name that backend servers are told.
    pub name: Arc<str>,
    /// Operations a second.
    pub rate: f64,
    /// Operations that may come at once.
    pub burst: f64,
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Configuration {
    /// Version given by the operators.
    pub version: Version,
    /// Routes by the name under which callers reach them.
    pub routes: HashMap<Arc<str>, Arc<RouteRule>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, ServiceRule>,
    /// Organisations by key.
    pub keys: HashMap<Arc<str>, Arc<OrganisationRule>>,
    /// Organisations by name.
    pub organisations: HashMap<Arc<str>, Arc<OrganisationRule>>,
    /// Longest idle time inside a transaction.
    pub transaction_idle: Option<Duration>,
}

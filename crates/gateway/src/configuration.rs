//! The operators' configuration after decoding.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{PriorityClass, Version};

/// Whom an overload of a backend server delays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OverloadOrder {
    /// All classes alike. The classes order only the queues of an instance.
    #[default]
    Shared,
    /// Less urgent classes before more urgent ones, also at servers that refuse work. Applies where a configuration has
    /// more priorities than three classes tell apart.
    ByRank,
}

/// Consistency that the reads of a route need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Reads see every commit that was acknowledged before the read.
    Latest,
    /// Bounded staleness: reads see every commit that was acknowledged longer ago than this.
    Bounded(Duration),
    /// As `Bounded`, and reads see the commits of their own session.
    ReadYourWrites(Duration),
}

/// Configuration of a route, which callers select by the database name of their login.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: Arc<str>,
    /// Service whose backend servers run the statements.
    pub service: Arc<str>,
    /// Consistency of reads.
    pub freshness: Freshness,
    /// Longest time for one statement, waits included.
    pub timeout: Duration,
    /// Time in which callers want a whole operation done; the longest wait for a rate token derives from it.
    pub target_latency: Duration,
    /// Priority class for scarce connections and rate tokens.
    pub class: PriorityClass,
    /// Whether callers may log in without a key.
    pub public: bool,
}

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRule {
    /// Connections that one backend server accepts from all instances together.
    pub max_connections: u32,
    /// Replicas that have received a commit before its primary acknowledges it.
    pub sync_replicas: u32,
}

/// An organisation and its rate limit over the whole fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationRule {
    /// Name, also sent to backend servers.
    pub name: Arc<str>,
    /// Limit in operations a second.
    pub rate: f64,
    /// Operations that may run at once beyond the rate.
    pub burst: f64,
}

/// One version of the configuration, indexed for lookups.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Configuration {
    /// Version given by the operators.
    pub version: Version,
    /// Routes by the name under which callers reach them.
    pub routes: HashMap<Arc<str>, Arc<RouteRule>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, ServiceRule>,
    /// Organisations by API key; one may have several keys.
    pub keys: HashMap<Arc<str>, Arc<OrganisationRule>>,
    /// Organisations by name.
    pub organisations: HashMap<Arc<str>, Arc<OrganisationRule>>,
    /// Whom an overload delays; follows from the priorities of the routes.
    pub overload_order: OverloadOrder,
    /// Longest idle time inside a transaction; `None` leaves it to the instance's own setting.
    pub transaction_idle: Option<Duration>,
}

impl Configuration {
    /// Target latency of the most urgent route of a service, `None` when none has one.
    pub fn urgent_target(&self, service: &str) -> Option<Duration> {
        let routes = self.routes.values().filter(|r| *r.service == *service);
        let with_target = routes.filter(|r| r.target_latency > Duration::ZERO);
        with_target
            .min_by_key(|r| (r.class, r.target_latency))
            .map(|r| r.target_latency)
    }
}

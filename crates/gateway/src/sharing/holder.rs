//! Which instance holds the connections to a backend server.
//!
//! Addresses the load of a fleet that is large compared with the connections of a server: with 85 instances at 56
//! connections, each of which belongs to one organisation, an instance has almost no connection that it can reuse, and
//! nearly every statement cost a new one. All instances derive the same holder from the registered instances, so a change
//! needs no write and no agreement. While their views differ, two instances hold connections, which costs connections
//! but no correctness: the server's limit is the last word.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wasabiyard_model::InstanceId;
use wasabiyard_platform::{ListedInstance, ListedState};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Connections of a server for each instance below which they are shared. From two on, an instance can keep one while
/// it opens another.
const MIN_UNSHARED_CONNECTIONS: f64 = 2.0;
/// Instances from which on connections are shared. Smaller fleets reuse their connections well.
pub const DEFAULT_MIN_INSTANCES: usize = 15;

/// When the connections of a service's servers are shared through holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharingRule {
    /// Whether the operator allows it.
    pub enabled: bool,
    /// Smallest fleet in which connections are shared.
    pub min_instances: usize,
}

impl Default for SharingRule {
    fn default() -> Self {
        Self {
            enabled: true,
            min_instances: DEFAULT_MIN_INSTANCES,
        }
    }
}

impl SharingRule {
    /// Whether servers that accept `max_connections` from `instances` instances get a holder. A limit of 0 is unknown.
    pub fn applies(&self, max_connections: u32, instances: usize) -> bool {
        let share = f64::from(max_connections) / instances.max(1) as f64;
        self.enabled
            && max_connections > 0
            && instances >= self.min_instances
            && share < MIN_UNSHARED_CONNECTIONS
    }
}

/// The holder of a server and the instance that stands in for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderPair {
    /// The holder.
    pub first: InstanceId,
    /// Its substitute; `None` when there is no other instance.
    pub second: Option<InstanceId>,
}

/// A backend server that gets a holder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SharedServer {
    /// Id of the server.
    pub id: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
}

/// The holders of `servers`: rendezvous hashing among the live instances of the server's failure domain, or among all
/// when that has none. In the order of the ids, each server gets an instance that holds no other one, as long as there
/// is one, because a small instance carries the load of one server only.
pub fn assign_holders(
    servers: &BTreeSet<SharedServer>,
    instances: &[ListedInstance],
) -> BTreeMap<Arc<str>, HolderPair> {
    let live: Vec<_> = instances
        .iter()
        .filter(|i| i.state == ListedState::Live)
        .collect();
    let mut holding: BTreeSet<&InstanceId> = BTreeSet::new();
    let mut assigned = BTreeMap::new();
    for server in servers {
        let mut ranked: Vec<&InstanceId> = live
            .iter()
            .filter(|i| *i.domain == *server.domain)
            .map(|i| &i.id)
            .collect();
        if ranked.is_empty() {
            ranked = live.iter().map(|i| &i.id).collect();
        }
        ranked.sort_by_cached_key(|id| std::cmp::Reverse((weight(&server.id, id.as_str()), id.as_str())));
        let unused = ranked.iter().find(|id| !holding.contains(*id));
        let Some(first) = unused.or(ranked.first()).copied() else {
            continue;
        };
        holding.insert(first);
        let second = ranked.iter().find(|id| **id != first);
        let pair = HolderPair {
            first: first.clone(),
            second: second.map(|id| (*id).clone()),
        };
        assigned.insert(Arc::clone(&server.id), pair);
    }
    assigned
}

fn weight(server: &str, instance: &str) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), xxh3_64(server.as_bytes()))
}

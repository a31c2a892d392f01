//! Choice of the relays: the instances that read the store for the others.

use crate::Regions;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::InstanceId;
use wasabiyard_platform::ListedInstance;
use xxhash_rust::xxh3::xxh3_64;

/// Number of relays of a small fleet besides the holder of the failover lease, which always reads the store.
const SMALL_FLEET_RELAY_COUNT: usize = 1;
/// The same for a fleet of at least [`MEDIUM_FLEET_INSTANCES`] instances, whose requests would overload one relay on a
/// small machine.
const MEDIUM_FLEET_RELAY_COUNT: usize = 2;
/// Smallest number of instances of a fleet that gets [`MEDIUM_FLEET_RELAY_COUNT`] relays.
const MEDIUM_FLEET_INSTANCES: usize = 20;
/// Smallest number of instances of a fleet that gets a relay in each failure domain, so that the followers' requests
/// neither overload a relay nor cross between failure domains.
const LARGE_FLEET_INSTANCES: usize = 60;

/// Age of a view from which the first instance of a failure domain that is not a relay reads the store itself.
const FALLBACK_AGE: Duration = Duration::from_millis(1_800);
/// Additional age for each further instance of the failure domain, in the order of [`rank_instances`]. When the first
/// ones succeed, they serve the others before those have to read.
const FALLBACK_STAGGER: Duration = Duration::from_millis(150);
/// Upper bound of the additional age. Views have to be refreshed before the view lease and the keys expire.
const MAX_FALLBACK_STAGGER: Duration = Duration::from_millis(1_200);
/// Instances of a failure domain that probe a failing store often. The others learn from them that it has returned.
const FREQUENT_PROBERS: usize = 2;
/// Longest pause between two probes of such an instance.
const FREQUENT_PROBE_BACKOFF: Duration = Duration::from_millis(600);
/// Longest pause between two probes of any other instance, for each instance of the fleet, so that the calls of a large
/// fleet to a failing store stay bounded.
const PROBE_BACKOFF_PER_INSTANCE: Duration = Duration::from_millis(15);
/// Most instances besides the relays that a follower queries.
const MAX_SUBSTITUTES: usize = 4;
/// Most relays of other regions that a follower queries. While the store fails, all relays have old data, and all
/// followers would query each relay of the other regions in each period.
const MAX_RELAYS_OF_OTHER_REGIONS: usize = 1;

/// All relays, the holder of the failover lease last. Instances that see the same registrations agree on them. Each of
/// several regions has relays of its own, as many as a fleet of its size.
pub fn select_relays<'a>(
    members: &'a [ListedInstance],
    failover_lease_holder: Option<&str>,
    regions: &Regions,
) -> Vec<&'a ListedInstance> {
    let mut ranked = rank_instances(members);
    let holder = ranked
        .iter()
        .position(|m| Some(m.id.as_str()) == failover_lease_holder);
    let holder = holder.map(|i| ranked.remove(i));
    let mut sizes: BTreeMap<Option<&Arc<str>>, usize> = BTreeMap::new();
    for member in members {
        *sizes.entry(regions.of(&member.domain)).or_default() += 1;
    }
    let mut relays = Vec::new();
    for (region, size) in sizes {
        let in_region = ranked.iter().filter(|m| regions.of(&m.domain) == region);
        relays.extend(relays_of_region(in_region.copied().collect(), size));
    }
    relays.extend(holder);
    relays
}

/// The relays among the ranked candidates of a region, which has `size` instances.
fn relays_of_region(mut ranked: Vec<&ListedInstance>, size: usize) -> Vec<&ListedInstance> {
    match size {
        ..MEDIUM_FLEET_INSTANCES => ranked.truncate(SMALL_FLEET_RELAY_COUNT),
        MEDIUM_FLEET_INSTANCES..LARGE_FLEET_INSTANCES => ranked.truncate(MEDIUM_FLEET_RELAY_COUNT),
        LARGE_FLEET_INSTANCES.. => {
            let mut domains = HashSet::new();
            ranked.retain(|m| domains.insert(m.domain.as_str()));
        }
    }
    ranked
}

/// The instances in the order of preference for tasks that one does for all. The order of `members` does not matter.
pub fn rank_instances(members: &[ListedInstance]) -> Vec<&ListedInstance> {
    let mut ranked: Vec<_> = members.iter().collect();
    ranked.sort_by_key(|m| rank_key(&m.id));
    ranked
}

fn rank_key(id: &InstanceId) -> (u64, &str) {
    (xxh3_64(id.as_str().as_bytes()), id.as_str())
}

/// Whether an instance reads the store itself; true for all while no instance is registered.
pub fn is_relay(
    id: &InstanceId,
    members: &[ListedInstance],
    failover_lease_holder: Option<&str>,
    regions: &Regions,
) -> bool {
    let relays = select_relays(members, failover_lease_holder, regions);
    relays.is_empty() || relays.iter().any(|m| m.id == *id)
}

/// Number of instances of a failure domain that come before `id` in the order of [`rank_instances`].
pub fn domain_rank(id: &InstanceId, domain: &str, members: &[ListedInstance]) -> usize {
    let own_key = rank_key(id);
    let others = members.iter().filter(|m| m.domain == domain);
    others.filter(|m| rank_key(&m.id) < own_key).count()
}

/// Age of its view from which an instance reads the store itself.
pub fn fallback_age(domain_rank: usize) -> Duration {
    FALLBACK_AGE + (FALLBACK_STAGGER * domain_rank as u32).min(MAX_FALLBACK_STAGGER)
}

/// Longest pause of an instance between two calls to a store that fails.
pub fn max_store_backoff(domain_rank: usize, fleet_size: usize) -> Duration {
    if domain_rank < FREQUENT_PROBERS {
        FREQUENT_PROBE_BACKOFF
    } else {
        FREQUENT_PROBE_BACKOFF.max(PROBE_BACKOFF_PER_INSTANCE * fleet_size as u32)
    }
}

/// The instances that a follower asks for a newer view than its own, which has this `age`, in order: the relay of its
/// failure domain, the other relays in an order of its own by `seed`, and those instances of its failure domain that have
/// turned to the store because the relays have nothing new. With several regions, those of the own region come first, and
/// few of the others are asked.
pub fn instances_to_query<'a>(
    own: &ListedInstance,
    members: &'a [ListedInstance],
    failover_lease_holder: Option<&str>,
    regions: &Regions,
    age: Duration,
    seed: u64,
) -> Vec<&'a ListedInstance> {
    let mut relays = select_relays(members, failover_lease_holder, regions);
    let len = relays.len().max(1);
    relays.rotate_left(seed as usize % len);
    relays.sort_by_key(|m| m.domain != own.domain);
    let substitutes = rank_instances(members)
        .into_iter()
        .filter(|m| m.domain == own.domain)
        .enumerate()
        .take_while(|(rank, _)| fallback_age(*rank) < age)
        .map(|(_, m)| m)
        .take(MAX_SUBSTITUTES);
    for substitute in substitutes {
        if !relays.contains(&substitute) {
            relays.push(substitute);
        }
    }
    relays.retain(|m| m.id != own.id);
    relays.sort_by_key(|m| !regions.is_own(&m.domain));
    let in_region = relays.iter().filter(|m| regions.is_own(&m.domain)).count();
    if regions.are_several() {
        relays.truncate(in_region + MAX_RELAYS_OF_OTHER_REGIONS);
    }
    relays
}

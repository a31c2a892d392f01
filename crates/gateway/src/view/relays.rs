//! Choice of the relays: the instances that read the store for the others.

use wasabiyard_model::InstanceId;
use wasabiyard_platform::ListedInstance;
use xxhash_rust::xxh3::xxh3_64;

/// Number of relays of a small fleet besides the holder of the failover lease, which always reads the store.
const SMALL_FLEET_RELAY_COUNT: usize = 1;
/// The same for a fleet of at least [`LARGE_FLEET_INSTANCES`] instances, whose requests would overload one relay on a
/// small machine.
const LARGE_FLEET_RELAY_COUNT: usize = 2;
/// Smallest number of instances of a fleet that gets [`LARGE_FLEET_RELAY_COUNT`] relays.
const LARGE_FLEET_INSTANCES: usize = 20;

/// The relays in the order of preference, the lease holder last. Instances that see the same registrations agree on it.
pub fn select_relays<'a>(
    members: &'a [ListedInstance],
    failover_lease_holder: Option<&str>,
) -> Vec<&'a ListedInstance> {
    let mut ranked = rank_instances(members);
    let holder = ranked
        .iter()
        .position(|m| Some(m.id.as_str()) == failover_lease_holder);
    let holder = holder.map(|i| ranked.remove(i));
    let relays = if members.len() < LARGE_FLEET_INSTANCES {
        SMALL_FLEET_RELAY_COUNT
    } else {
        LARGE_FLEET_RELAY_COUNT
    };
    ranked.truncate(relays);
    ranked.extend(holder);
    ranked
}

/// The instances in the order of preference for tasks that one does for all. The order of `members` does not matter.
pub fn rank_instances(members: &[ListedInstance]) -> Vec<&ListedInstance> {
    let mut ranked: Vec<_> = members.iter().collect();
    ranked.sort_by_key(|m| (xxh3_64(m.id.as_str().as_bytes()), m.id.as_str()));
    ranked
}

/// Whether an instance reads the store itself; true for all while no instance is registered.
pub fn is_relay(id: &InstanceId, members: &[ListedInstance], failover_lease_holder: Option<&str>) -> bool {
    let relays = select_relays(members, failover_lease_holder);
    relays.is_empty() || relays.iter().any(|m| m.id == *id)
}

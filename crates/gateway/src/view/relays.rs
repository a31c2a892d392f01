//! Which instances read the store for the others.

use wasabiyard_model::InstanceId;
use wasabiyard_platform::ListedInstance;
use xxhash_rust::xxh3::xxh3_64;

/// Instances that read the store beside the holder of the failover duty.
const RELAYS: usize = 1;
/// The same in a fleet of at least [`LARGE_FLEET`] instances, whose questions would overload a small machine.
const RELAYS_OF_LARGE_FLEET: usize = 2;
/// Instances from which on a fleet is large.
const LARGE_FLEET: usize = 20;

/// The relays in the order in which they are chosen. All instances that see the same register agree.
pub fn relays_of<'a>(members: &'a [ListedInstance], duty_holder: Option<&str>) -> Vec<&'a ListedInstance> {
    let mut ranked = ranking(members);
    let holder = ranked.iter().position(|m| Some(m.id.as_str()) == duty_holder);
    let holder = holder.map(|i| ranked.remove(i));
    let relays = if members.len() < LARGE_FLEET {
        RELAYS
    } else {
        RELAYS_OF_LARGE_FLEET
    };
    ranked.truncate(relays);
    ranked.extend(holder);
    ranked
}

/// The order in which instances are chosen for tasks that one of them does for all.
pub fn ranking(members: &[ListedInstance]) -> Vec<&ListedInstance> {
    let mut ranked: Vec<_> = members.iter().collect();
    ranked.sort_by_key(|m| (xxh3_64(m.id.as_str().as_bytes()), m.id.as_str()));
    ranked
}

/// Whether an instance reads the store itself.
pub fn is_relay(id: &InstanceId, members: &[ListedInstance], duty_holder: Option<&str>) -> bool {
    let relays = relays_of(members, duty_holder);
    relays.is_empty() || relays.iter().any(|m| m.id == *id)
}

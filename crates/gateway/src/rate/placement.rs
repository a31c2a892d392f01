//! Choice of the rate coordinator of each organisation by rendezvous hashing.

use wasabiyard_model::InstanceId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The rate coordinator of an organisation: the instance with the highest hash weight for it, so that a change of the
/// fleet moves few organisations. The order of `instances` does not matter. `None` when there are none.
pub fn coordinator_of<'a, I>(organisation: &str, instances: I) -> Option<&'a InstanceId>
where
    I: Iterator<Item = &'a InstanceId>,
{
    instances.max_by_key(|id| (weight(organisation, id.as_str()), id.as_str()))
}

/// The instance that stands in for the rate coordinator of an organisation: the one with the second highest weight.
pub fn substitute_of<'a, I>(organisation: &str, instances: I) -> Option<&'a InstanceId>
where
    I: Iterator<Item = &'a InstanceId> + Clone,
{
    let coordinator = coordinator_of(organisation, instances.clone())?;
    coordinator_of(organisation, instances.filter(|id| *id != coordinator))
}

fn weight(organisation: &str, instance: &str) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), xxh3_64(organisation.as_bytes()))
}

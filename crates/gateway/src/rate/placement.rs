//! Which instance keeps the bucket of an organisation.

use wasabiyard_model::InstanceId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The keeper: the instance with the highest weight for the organisation, so that a change of the fleet moves few
/// organisations.
pub fn keeper_of<'a, I>(organisation: &str, instances: I) -> Option<&'a InstanceId>
where
    I: Iterator<Item = &'a InstanceId>,
{
    instances.max_by_key(|id| (weight(organisation, id.as_str()), id.as_str()))
}

fn weight(organisation: &str, instance: &str) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), xxh3_64(organisation.as_bytes()))
}

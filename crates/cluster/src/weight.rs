//! Weights of rendezvous (highest random weight) hashing.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a subject, such as a database or a failure domain, as the seed for [`weight`].
pub fn seed(subject: &str) -> u64 {
    xxh3_64(subject.as_bytes())
}

/// Weight of an instance for a subject. All instances compute the same weights and so agree on the highest one without
/// messages. When an instance joins or leaves, only the subjects for which it has the highest weight move.
pub fn weight(seed: u64, instance: &str) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), seed)
}

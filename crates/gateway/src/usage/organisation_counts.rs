//! Counts by organisation.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of operations of each organisation. The order makes two encodings of the same counts equal.
pub type OrganisationCounts = BTreeMap<Arc<str>, u64>;

/// Adds `counts` to `totals`.
pub fn add_counts<'a, I>(totals: &mut OrganisationCounts, counts: I)
where
    I: IntoIterator<Item = (&'a Arc<str>, &'a u64)>,
{
    for (organisation, count) in counts {
        *totals.entry(Arc::clone(organisation)).or_default() += count;
    }
}

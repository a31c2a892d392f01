//! Queued requests of one organisation in one class.

use crate::Ticket;
use std::collections::VecDeque;

/// Advance in virtual time for one transaction of weight 1. Large enough that the rounding error of a division by a
/// weight up to 100 is negligible.
const UNIT_VIRTUAL_COST: u64 = 1_000_000;

/// Advance in virtual time for one transaction of a flow with this weight.
pub(crate) fn virtual_cost(weight: u32) -> u64 {
    UNIT_VIRTUAL_COST / u64::from(weight.max(1))
}

/// The queued requests in order of arrival, and the start tag of the first.
///
/// The tag advances only when a request is served, so a request that is removed is not charged to its organisation.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    pub(crate) weight: u32,
    pub(crate) start_tag: u64,
    pub(crate) tickets: VecDeque<Ticket>,
}

impl Flow {
    /// Number of queued requests that are served before a new request with start tag `tag`. Equal tags are served in
    /// order of arrival.
    pub(crate) fn served_up_to(&self, tag: u64) -> usize {
        served_up_to(self.start_tag, virtual_cost(self.weight), self.tickets.len(), tag)
    }

    /// Length divided by the weight, in virtual time, so that flows of different weights can be compared.
    pub(crate) fn normalized_len(&self, extra: u64) -> u64 {
        (self.tickets.len() as u64 + extra) * virtual_cost(self.weight)
    }
}

/// How many of `len` requests have a start tag up to `tag`, when the first has `first_tag` and each next one is `cost`
/// later.
pub(crate) fn served_up_to(first_tag: u64, cost: u64, len: usize, tag: u64) -> usize {
    match tag.checked_sub(first_tag) {
        None => 0,
        Some(distance) => len.min(1 + (distance / cost) as usize),
    }
}

//! Room at the primary for what only the primary can run.
//!
//! Load: a service whose reads are nine tenths of its operations, at twice the usual traffic. The primary is one of three
//! servers of the same size, and runs all writes, transactions and latest reads, most of them of the most urgent route.
//! Reads that a replica can serve must not take its slots while a replica is to be had, and one instance's less urgent
//! statements must not take all connections that it may have there.
//!
//! Used where [`OverloadOrder::ByRank`](crate::OverloadOrder) applies.

use std::time::Duration;
use wasabiyard_model::{PriorityClass, Time};

/// Part of an instance's connections to the primary that only the most urgent class may use. At least one connection.
const RESERVED_PART: u32 = 4;
/// A replica that takes a read within this time is preferred to the primary. Half the tightest wait of a read in the
/// queue, 0.4 of a timeout of 0.5 s.
const REPLICA_WAIT: Duration = Duration::from_millis(100);

/// Connections to the primary that an instance may use for `class`, of `max_open` in all.
pub fn primary_connection_limit(class: PriorityClass, max_open: u32) -> u32 {
    if class.is_most_urgent() || max_open <= 1 {
        return max_open;
    }
    max_open - (max_open / RESERVED_PART).max(1)
}

/// When a replica has to take a read to be preferred to the primary.
pub fn replica_wait_end(now: Time) -> Time {
    now + REPLICA_WAIT
}

/// When a read that no replica can serve yet goes to the queue of the replicas. `reached` is the earliest time at which a
/// replica is expected to have its log point, `None` when that is unknown. `None` if the read has to go to the primary.
///
/// Only a primary under strain makes a read wait: otherwise the wait would cost time and gain nothing.
pub fn wait_for_replica(
    is_primary_strained: bool,
    reached: Option<Time>,
    wait_deadline: Time,
) -> Option<Time> {
    reached.filter(|at| is_primary_strained && *at < wait_deadline)
}

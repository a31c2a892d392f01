//! Refusal of requests whose deadline passes before a primary can be expected.

use super::pool::PoolError;
use super::service_pool::ServicePool;
use crate::PrimaryView;
use std::time::Duration;
use wasabiyard_model::{NotRun, Time};

/// Usual time from the moment a primary stops accepting work until its successor accepts it, when all instances can be
/// reached.
const USUAL_FAILOVER_TIME: Duration = Duration::from_millis(1_200);
/// The same when an instance cannot be reached, so that its view lease has to expire first.
const LEASE_EXPIRY_FAILOVER_TIME: Duration = Duration::from_millis(4_700);
/// Retry delay given to callers when a failover takes longer than expected.
const OVERDUE_FAILOVER_RETRY: Duration = Duration::from_millis(300);

/// Refuses a request at once when no primary is expected to serve it before `deadline`.
pub(super) fn check_primary_wait<C, R>(
    pool: &ServicePool<C, R>,
    deadline: Time,
    now: Time,
) -> Result<(), PoolError> {
    let expected = match &pool.primary {
        PrimaryView::Usable { .. } if pool.primary_is_reachable(now) => return Ok(()),
        PrimaryView::Usable { .. } => USUAL_FAILOVER_TIME,
        PrimaryView::FailoverInProgress => {
            failover_time_left(now.saturating_since(pool.failover_since.unwrap_or(now)))
        }
        PrimaryView::Stale | PrimaryView::Unknown => {
            return Err(PoolError::NoPrimary {
                retry_after: Duration::from_secs(1),
            });
        }
    };
    if now + expected >= deadline {
        return Err(PoolError::NoPrimary {
            retry_after: expected,
        });
    }
    Ok(())
}

/// Expected time until the successor accepts work, `elapsed` after the old primary stopped doing so.
pub(super) fn failover_time_left(elapsed: Duration) -> Duration {
    if elapsed < USUAL_FAILOVER_TIME {
        USUAL_FAILOVER_TIME.saturating_sub(elapsed)
    } else {
        LEASE_EXPIRY_FAILOVER_TIME
            .saturating_sub(elapsed)
            .max(OVERDUE_FAILOVER_RETRY)
    }
}

/// The pool's error for a request that a queue rejected or dropped.
pub(super) const fn queue_error(e: NotRun) -> PoolError {
    match e {
        NotRun::Deadline => PoolError::Deadline,
        _ => PoolError::Overloaded {
            retry_after: Duration::from_millis(200),
        },
    }
}

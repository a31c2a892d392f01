//! Whether waiting for a primary is worth while.

use super::pool::PoolError;
use super::service_pool::ServicePool;
use crate::PrimaryView;
use std::time::Duration;
use wasabiyard_model::{NotRun, Time};

/// Usual time from the moment a primary stops taking work until its successor takes it, when all instances are in touch.
const QUICK_MOVE: Duration = Duration::from_millis(1_200);
/// The same when view leases have to end first.
const SLOW_MOVE: Duration = Duration::from_millis(4_700);
/// Time to come back after a move that takes longer than it should.
const LATE_MOVE_RETRY: Duration = Duration::from_millis(300);

/// Refuses at once what cannot be served before its deadline.
pub(super) fn check_primary<C, R>(
    pool: &ServicePool<C, R>,
    deadline: Time,
    now: Time,
) -> Result<(), PoolError> {
    let expected = match &pool.primary {
        PrimaryView::Usable { .. } if pool.primary_answers(now) => return Ok(()),
        PrimaryView::Usable { .. } => QUICK_MOVE,
        PrimaryView::Moving => rest_of_move(now.saturating_since(pool.moving_since.unwrap_or(now))),
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

/// Expected time until the successor takes work, `elapsed` after the old primary stopped.
pub(super) fn rest_of_move(elapsed: Duration) -> Duration {
    if elapsed < QUICK_MOVE {
        QUICK_MOVE.saturating_sub(elapsed)
    } else {
        SLOW_MOVE.saturating_sub(elapsed).max(LATE_MOVE_RETRY)
    }
}

pub(super) const fn refusal(e: NotRun) -> PoolError {
    match e {
        NotRun::Deadline => PoolError::Deadline,
        _ => PoolError::Overloaded {
            retry_after: Duration::from_millis(200),
        },
    }
}

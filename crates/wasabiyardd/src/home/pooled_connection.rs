//! A connection that belongs to one stream.

use super::frame;
use super::group_sql;
use super::pool::Pool;
use super::slot_connection::SlotConnection;
use crate::clock;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Slot, Time};

/// A connection that was idle for longer is probed before reuse, because it may have gone silent.
const PROBE_IDLE_THRESHOLD: Duration = Duration::from_secs(5);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection in use. When it is dropped it goes back to the pool if [`Self::release`] was called, and is closed
/// otherwise: a stream that stops at any other point leaves the connection in a state that is not known.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Arc<Pool>,
    slot: Slot,
    address: SocketAddr,
    conn: Option<SlotConnection>,
    idle_since: Option<Time>,
    acquired_at: Time,
    reusable: bool,
}

impl PooledConnection {
    pub(super) fn new(
        pool: &Arc<Pool>,
        slot: Slot,
        address: SocketAddr,
        conn: SlotConnection,
        idle_since: Option<Time>,
    ) -> Self {
        Self {
            pool: Arc::clone(pool),
            slot,
            address,
            conn: Some(conn),
            idle_since,
            acquired_at: clock::now(),
            // A connection that was handed out and never used is as good as before.
            reusable: true,
        }
    }

    /// Whether the connection answers. Only asks the slot when it was idle for long.
    pub(super) async fn is_usable(&mut self) -> bool {
        let idle_too_long = self
            .idle_since
            .is_some_and(|t| clock::now().saturating_since(t) > PROBE_IDLE_THRESHOLD);
        self.reusable = false;
        if !self.has_no_unexpected_input() {
            return false;
        }
        if !idle_too_long {
            return true;
        }
        self.query_after_resets(group_sql::PROBE, PROBE_TIMEOUT)
            .await
            .is_ok()
    }

    /// The slot of this connection.
    pub const fn slot(&self) -> Slot {
        self.slot
    }

    /// Gives the connection back without use.
    pub fn return_unused(mut self) {
        self.reusable = true;
    }

    /// Gives the connection back after a whole transaction. Its state is reset: the statement goes out now and its
    /// answer is checked before the next stream gets any answer.
    pub fn reset_and_return(mut self) {
        let now = clock::now();
        self.pool
            .count_service_time(now.saturating_since(self.acquired_at), now);
        self.queue(&frame::query(group_sql::RESET));
        self.pending_resets += 1;
        self.reusable = self.try_flush().is_ok();
    }
}

impl Deref for PooledConnection {
    type Target = SlotConnection;

    fn deref(&self) -> &SlotConnection {
        self.conn.as_ref().expect("present until drop")
    }
}

impl DerefMut for PooledConnection {
    fn deref_mut(&mut self) -> &mut SlotConnection {
        self.conn.as_mut().expect("present until drop")
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let conn = self.conn.take().filter(|_| self.reusable);
        self.pool.return_connection(self.slot, conn, self.address);
    }
}

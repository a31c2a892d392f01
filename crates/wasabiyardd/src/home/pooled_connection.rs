//! A pool connection while one stream uses it.

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

/// A connection that was idle for longer is probed before reuse, because it may be dead without having been closed.
const PROBE_IDLE_THRESHOLD: Duration = Duration::from_secs(5);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection in use. It returns to the pool by [`Self::reset_and_return`] or [`Self::return_unused`]. When it is
/// dropped in another way it is closed, because a stream that stops early leaves the connection in an unknown state.
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
            // A connection that is dropped before its first use can be reused.
            reusable: true,
        }
    }

    /// Whether the connection can be used. Queries the slot only when the connection was idle for long.
    pub(super) async fn is_usable(&mut self) -> bool {
        let idle_too_long = self
            .idle_since
            .is_some_and(|t| clock::now().saturating_since(t) > PROBE_IDLE_THRESHOLD);
        self.reusable = false;
        if !self.is_open_and_quiet() {
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

    /// Returns the connection to the pool without having used it.
    pub fn return_unused(mut self) {
        self.reusable = true;
    }

    /// Resets the connection and returns it to the pool after a complete transaction. The reset statement is sent now;
    /// its answer is checked when the next stream uses the connection, before that stream gets any answer.
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

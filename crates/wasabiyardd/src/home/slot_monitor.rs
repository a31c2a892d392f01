//! One tracking connection to each slot. It asks for the status of the slot, and whether the slot holds the commits
//! that wait to be acknowledged. One question covers all of them.

use super::database_home::DatabaseHome;
use super::group_sql::{self, ReceivedAnswer, SlotStatus};
use super::pending_proofs::SlotQuery;
use super::slot_connection::{Credential, SlotConnection};
use crate::clock;
use async_io::Timer;
use futures_lite::future;
use log::debug;
use rand::Rng;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;
use wasabiyard_model::{LogPoint, Slot};

/// How often the status of a slot is asked for.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait of a slot for a position, short so that a lagging slot still reports its status.
const RECEIVED_WAIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for an answer beyond the wait. With [`CONNECT_TIMEOUT`] it lets a failed fresh connect be known when the
/// detector begins to suspect.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a slot said that it holds a commit but is fenced above its term.
const FENCED_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Bounds of the pause after a failed connect.
const RECONNECT_DELAY_MILLIS: std::ops::Range<u64> = 50..200;

/// Tracks one slot until the home of the database is gone or the slot has moved.
pub struct SlotMonitor {
    pub(super) home: Weak<DatabaseHome>,
    pub(super) database: String,
    pub(super) slot: Slot,
    pub(super) address: SocketAddr,
    /// Number of the configuration of the group; a later one ends this task.
    pub(super) generation: u64,
    pub(super) credential: Credential,
}

impl SlotMonitor {
    /// Runs until the home is gone.
    pub async fn run(self) {
        while self.home().is_some() {
            let connected =
                SlotConnection::connect(self.address, &self.database, &self.credential, CONNECT_TIMEOUT)
                    .await;
            let Some(home) = self.home() else { return };
            match connected {
                Ok(conn) => {
                    drop(home);
                    if let Err(e) = self.monitor(conn).await {
                        debug!(
                            "tracking connection to {} of {} ended: {e}",
                            self.slot, self.database
                        );
                    }
                }
                Err(e) => {
                    debug!("cannot track {} of {}: {e}", self.slot, self.database);
                    if e.kind() == io::ErrorKind::ResourceBusy {
                        home.record_response(self.slot);
                    } else {
                        home.connect_failed(self.slot);
                    }
                    drop(home);
                    let delay_millis = rand::rng().random_range(RECONNECT_DELAY_MILLIS);
                    Timer::after(Duration::from_millis(delay_millis)).await;
                }
            }
        }
    }

    fn home(&self) -> Option<Arc<DatabaseHome>> {
        self.home
            .upgrade()
            .filter(|home| home.generation() == self.generation)
    }

    async fn monitor(&self, mut conn: SlotConnection) -> io::Result<()> {
        let mut status_due = clock::now();
        loop {
            let Some(home) = self.home() else { return Ok(()) };
            let now = clock::now();
            if now >= status_due {
                self.poll_status(&home, &mut conn).await?;
                status_due = clock::now() + STATUS_POLL_INTERVAL;
                continue;
            }
            let query = future::or(home.next_query(self.slot), async {
                Timer::after(status_due.saturating_since(now)).await;
                SlotQuery::Status
            });
            match query.await {
                SlotQuery::Received(point) => self.query_received(&home, &mut conn, point).await?,
                SlotQuery::Status => {
                    self.poll_status(&home, &mut conn).await?;
                    status_due = clock::now() + STATUS_POLL_INTERVAL;
                }
            }
        }
    }

    async fn poll_status(&self, home: &DatabaseHome, conn: &mut SlotConnection) -> io::Result<()> {
        let asked_at = clock::now();
        let rows = conn.query(group_sql::STATUS, ANSWER_TIMEOUT).await?;
        let status = SlotStatus::parse(&rows).ok_or(io::ErrorKind::InvalidData)?;
        home.record_status(self.slot, &status, asked_at);
        Ok(())
    }

    async fn query_received(
        &self,
        home: &DatabaseHome,
        conn: &mut SlotConnection,
        point: LogPoint,
    ) -> io::Result<()> {
        let sql = group_sql::wait_received(point, RECEIVED_WAIT_TIMEOUT.as_millis() as u64);
        let rows = conn.query(&sql, RECEIVED_WAIT_TIMEOUT + ANSWER_TIMEOUT).await?;
        let answer = ReceivedAnswer::parse(&rows).ok_or(io::ErrorKind::InvalidData)?;
        let counted = home.record_received(self.slot, point, &answer);
        if answer.reached && !counted {
            // The slot answers at once, and the same answer again would keep it and this task busy.
            Timer::after(FENCED_RETRY_DELAY).await;
        }
        Ok(())
    }
}

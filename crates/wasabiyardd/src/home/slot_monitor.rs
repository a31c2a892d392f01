//! Monitors one slot over a dedicated connection. Polls the status of the slot, and queries whether it has received
//! the commits that wait to be acknowledged. One query for the last of these commits covers all of them.

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

/// Interval at which the status of a slot is polled.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a slot may wait to receive a commit before it answers. Short, so that a lagging slot still reports its
/// status.
const RECEIVED_WAIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time for an answer, beyond the wait that was requested. This timeout and [`CONNECT_TIMEOUT`] are short
/// enough that a failed new connection is known by the time the failure detector starts to suspect the primary.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay after a slot answered that it has received a commit but is fenced above the term of the commit.
const FENCED_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Range of the random delay after a failed connect, in milliseconds.
const RECONNECT_DELAY_MILLIS: std::ops::Range<u64> = 50..200;

/// Monitors one slot until the home of the database is dropped or its slots have changed.
pub struct SlotMonitor {
    pub(super) home: Weak<DatabaseHome>,
    pub(super) database: String,
    pub(super) slot: Slot,
    pub(super) address: SocketAddr,
    /// [`DatabaseHome::generation`] at the start. The monitor stops when it differs.
    pub(super) generation: u64,
    pub(super) credential: Credential,
}

impl SlotMonitor {
    /// Connects and monitors the slot, and reconnects after failures.
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
                            "the monitoring connection to {} of {} ended: {e}",
                            self.slot, self.database
                        );
                    }
                }
                Err(e) => {
                    debug!(
                        "cannot open a monitoring connection to {} of {}: {e}",
                        self.slot, self.database
                    );
                    if e.kind() == io::ErrorKind::ResourceBusy {
                        home.record_response(self.slot);
                    } else {
                        home.record_connect_failure(self.slot);
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
        let requested_at = clock::now();
        let rows = conn.run_query(group_sql::STATUS, ANSWER_TIMEOUT).await?;
        let status = SlotStatus::parse(&rows).ok_or(io::ErrorKind::InvalidData)?;
        home.record_status(self.slot, &status, requested_at);
        Ok(())
    }

    async fn query_received(
        &self,
        home: &DatabaseHome,
        conn: &mut SlotConnection,
        point: LogPoint,
    ) -> io::Result<()> {
        let sql = group_sql::wait_received(point, RECEIVED_WAIT_TIMEOUT.as_millis() as u64);
        let rows = conn
            .run_query(&sql, RECEIVED_WAIT_TIMEOUT + ANSWER_TIMEOUT)
            .await?;
        let answer = ReceivedAnswer::parse(&rows).ok_or(io::ErrorKind::InvalidData)?;
        let counted = home.record_received(self.slot, point, &answer);
        if answer.reached && !counted {
            // The slot answers at once, so an immediate retry would only load the slot and this task.
            Timer::after(FENCED_RETRY_DELAY).await;
        }
        Ok(())
    }
}

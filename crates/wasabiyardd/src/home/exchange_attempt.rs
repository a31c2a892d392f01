//! The part of an exchange that is bound to one connection.

use super::answer_filter::{AnswerFilter, ExpectedAnswer};
use super::exchange::{ExchangeOptions, SlotRole};
use super::frame;
use super::group_sql;
use super::pooled_connection::PooledConnection;
use super::request_scanner::{BadLength, RequestScanner};
use super::request_state::{SentRequest, UnsentRequest};
use crate::clock;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Time};

/// Time beyond the requested wait within which a replica must answer whether it reached the position. When it takes
/// longer it is slow or unresponsive, and another slot is tried.
const PROOF_TIMEOUT_MARGIN: Duration = Duration::from_millis(100);

/// State of an exchange on one connection.
pub struct ExchangeAttempt {
    pub(super) conn: PooledConnection,
    pub(super) filter: AnswerFilter,
    pub(super) scanner: RequestScanner,
    pub(super) sent: SentRequest,
    pub(super) role: SlotRole,
    pub(super) commit: Option<LogPoint>,
    /// Whether the slot was confirmed to be the primary after the stream began.
    pub(super) primary_confirmed: bool,
    pub(super) deadline: Time,
    /// Time by which the slot must have proved its position; `None` when no proof is required.
    proof_expires_at: Option<Time>,
}

impl ExchangeAttempt {
    /// Queues the statements that precede the request, and marks the request as sent.
    pub fn start(
        mut conn: PooledConnection,
        unsent: UnsentRequest,
        options: ExchangeOptions<'_>,
        deadline: Time,
    ) -> Self {
        let mut filter = AnswerFilter::new(matches!(
            options.role,
            SlotRole::Primary {
                batch_complete: true,
                ..
            }
        ));
        for _ in 0..std::mem::take(&mut conn.pending_resets) {
            filter.expect_answer(ExpectedAnswer::Reset);
        }
        conn.queue(&frame::query(&group_sql::set_organisation(options.organisation)));
        filter.expect_answer(ExpectedAnswer::Organisation);
        if let Some((point, wait)) = options.proof {
            conn.queue(&frame::query(&group_sql::wait_applied(
                point,
                wait.as_millis() as u64,
            )));
            filter.expect_answer(ExpectedAnswer::Proof);
        }
        Self {
            conn,
            filter,
            scanner: RequestScanner::default(),
            sent: unsent.send(),
            role: options.role,
            commit: None,
            primary_confirmed: false,
            deadline,
            proof_expires_at: options
                .proof
                .map(|(_, wait)| clock::now() + wait + PROOF_TIMEOUT_MARGIN),
        }
    }

    /// Time by which the slot must have proved its position; `None` once it has, or when no proof is required.
    pub fn proof_deadline(&self) -> Option<Time> {
        self.proof_expires_at.filter(|_| self.filter.awaits_proof())
    }

    /// Whether a required proof of the position is still awaited.
    pub fn awaits_proof(&self) -> bool {
        self.proof_deadline().is_some()
    }

    /// Queues request bytes. A mark follows each batch, and at the primary a query for the last commit before it.
    pub fn queue_request(&mut self, data: &[u8]) -> Result<(), BadLength> {
        let mut from = 0;
        for to in self.scanner.scan(data)? {
            self.conn.queue(&data[from..to]);
            from = to;
            self.filter.expect_answer(ExpectedAnswer::Caller);
            if self.role == SlotRole::Replica {
                self.queue_mark();
            } else {
                self.queue_last_commit();
            }
        }
        self.conn.queue(&data[from..]);
        Ok(())
    }

    /// Queues the query for the last commit of the connection, and a mark after it.
    pub fn queue_last_commit(&mut self) {
        self.conn.queue(&frame::query(group_sql::LAST_COMMIT));
        self.filter.expect_answer(ExpectedAnswer::LastCommit);
        self.queue_mark();
    }

    fn queue_mark(&mut self) {
        let mark = self.conn.queue_mark();
        self.filter.expect_answer(ExpectedAnswer::Mark(mark));
    }

    /// Records the commit of the batch that ended. The slot reports the last commit of the connection, so only a change
    /// since the previous report is a new commit.
    pub fn record_commit(&mut self, last_commit: Option<LogPoint>) {
        let Some(point) = last_commit else { return };
        let before = std::mem::replace(&mut self.conn.last_commit, point);
        if point != before && point != LogPoint::default() {
            self.commit = Some(point);
        }
    }
}

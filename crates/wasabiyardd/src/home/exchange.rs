//! One stream on one connection: requests go to the slot, answers to the entry.

use super::answer_filter::{ExpectedAnswer, FilterAction};
use super::database_home::DatabaseHome;
use super::exchange_attempt::ExchangeAttempt;
use super::frame::{self, Frame};
use super::group_sql;
use super::pooled_connection::PooledConnection;
use super::request_state::{DiscardedRead, UnsentRequest};
use super::send_buffer::SendBuffer;
use crate::channel::StreamEnd;
use crate::clock;
use crate::counters::{self, Counter};
use async_io::Timer;
use futures_lite::future;
use std::io;
use std::time::Duration;
use wasabiyard_model::{LogPoint, OutcomeUnknown, Term, Time};
use wasabiyard_wire::{StreamId, StreamMessage, StreamOutcome};

/// A transaction whose caller sends nothing for longer is ended, because it holds a scarce connection.
const IDLE_IN_TRANSACTION_TIMEOUT: Duration = Duration::from_mins(1);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// More request bytes than this are not read from the entry while the slot does not take them.
const MAX_QUEUED_REQUEST_BYTES: usize = 64 * 1024;
/// Longest time for the rest of an answer that is discarded; after it the connection is closed.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// How the slot is used for this stream.
#[derive(Debug, Clone, Copy)]
pub struct ExchangeOptions<'a> {
    /// Organisation of the statements.
    pub organisation: &'a str,
    /// What the slot must prove before its answer is used, and how long it may wait for it.
    pub proof: Option<(LogPoint, Duration)>,
    /// How the slot is used.
    pub role: SlotRole,
}

/// How a slot is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotRole {
    /// As a replica, which refuses writes.
    Replica,
    /// As the primary of this term.
    Primary {
        /// The term.
        term: Term,
        /// When the stream began, if its reads have to be confirmed. `None` when the slot proved the position that the
        /// stream must see.
        since: Option<Time>,
        /// Whether `first` is a whole batch, which can be sent again when the slot refuses it.
        batch_complete: bool,
    },
}

/// How an exchange ended.
#[derive(Debug)]
pub enum ExchangeResult {
    /// The stream ended.
    Ended(StreamOutcome),
    /// The slot does not hold the position, or is not the primary; its answer was dropped.
    Retry(UnsentRequest),
    /// The caller is gone.
    Abandoned,
}

/// The stream's side of an exchange; it outlives the connection when a read is tried on another slot.
#[derive(Debug)]
pub struct Exchange<'a> {
    pub(super) id: StreamId,
    pub(super) end: &'a StreamEnd,
    pub(super) home: &'a DatabaseHome,
    /// Time for each request of the stream.
    pub(super) timeout: Duration,
    pub(super) send_buffer: SendBuffer,
    /// How many of the first request bytes the entry was told to be taken over.
    pub(super) credited_bytes: usize,
}

enum Event {
    Frame(io::Result<Frame>),
    Message(Option<StreamMessage>),
    Deadline,
}

impl Exchange<'_> {
    /// Sends `first`, the request bytes received so far, and carries the stream to its end.
    pub async fn run(
        &mut self,
        conn: PooledConnection,
        unsent: UnsentRequest,
        options: ExchangeOptions<'_>,
        initial_bytes: &[u8],
        deadline: Time,
    ) -> ExchangeResult {
        let mut attempt = ExchangeAttempt::start(conn, unsent, options, deadline);
        if attempt.queue_request(initial_bytes).is_err() {
            return ExchangeResult::Ended(attempt.sent.outcome_unknown(OutcomeUnknown::ConnectionLost));
        }
        // The bytes of a read are kept until a slot has answered, because they may go to another slot.
        if options.proof.is_none() {
            self.credit_initial_bytes(initial_bytes.len());
        }
        loop {
            self.send_buffer.send(self.end);
            let action = match self.next_event(&mut attempt).await {
                Event::Deadline | Event::Frame(Err(_)) if attempt.awaits_proof() => {
                    // Nothing of the answer was passed on, and the slot refuses writes. The connection is closed.
                    counters::add(Counter::ReadsNotProved, 1);
                    return ExchangeResult::Retry(attempt.sent.into_unsent(DiscardedRead(())));
                }
                Event::Deadline => {
                    return ExchangeResult::Ended(attempt.sent.outcome_unknown(OutcomeUnknown::Deadline));
                }
                Event::Message(None | Some(StreamMessage::Abandon(_))) => return ExchangeResult::Abandoned,
                Event::Frame(Err(_)) => {
                    return ExchangeResult::Ended(
                        attempt.sent.outcome_unknown(OutcomeUnknown::ConnectionLost),
                    );
                }
                Event::Message(Some(message)) => self.on_message(&mut attempt, message),
                Event::Frame(Ok(frame)) => {
                    if !self.send_buffer.is_full() && !attempt.awaits_proof() {
                        attempt.deadline = attempt.deadline.max(clock::now() + self.timeout);
                    }
                    self.on_frames(&mut attempt, frame)
                }
            };
            match action {
                FilterAction::Continue => {}
                FilterAction::PositionNotReached | FilterAction::NotPrimary => {
                    return self.discard_answer(attempt);
                }
                FilterAction::Broken => {
                    return ExchangeResult::Ended(
                        attempt.sent.outcome_unknown(OutcomeUnknown::ConnectionLost),
                    );
                }
                FilterAction::CommitUnknown => {
                    return ExchangeResult::Ended(
                        attempt.sent.outcome_unknown(OutcomeUnknown::NotReplicated),
                    );
                }
                FilterAction::QueryLastCommit => {
                    attempt.conn.queue(&frame::query(group_sql::LAST_COMMIT));
                    attempt.filter.expect_answer(ExpectedAnswer::LastCommit);
                }
                FilterAction::BatchEnded { status, last_commit } => {
                    attempt.record_commit(last_commit);
                    if status == b'I' {
                        return self.finish(attempt).await;
                    }
                    if !self.forward_held(&mut attempt).await {
                        return ExchangeResult::Ended(
                            attempt.sent.outcome_unknown(OutcomeUnknown::NotReplicated),
                        );
                    }
                    self.credit_initial_bytes(initial_bytes.len());
                    attempt.deadline = clock::now() + IDLE_IN_TRANSACTION_TIMEOUT;
                }
            }
        }
    }

    async fn next_event(&self, attempt: &mut ExchangeAttempt) -> Event {
        let reads_slot = !self.send_buffer.is_full();
        let reads_entry = attempt.conn.queued_bytes() < MAX_QUEUED_REQUEST_BYTES;
        let deadline = attempt.proof_deadline().unwrap_or(attempt.deadline);
        let conn = &mut attempt.conn;
        let slot = async {
            if reads_slot {
                return Event::Frame(conn.next_frame().await);
            }
            match conn.flush().await {
                Ok(()) => future::pending().await,
                Err(e) => Event::Frame(Err(e)),
            }
        };
        let entry = async {
            if !reads_entry {
                future::pending::<()>().await;
            }
            Event::Message(self.end.rx.recv().await.ok())
        };
        let timer = async {
            Timer::after(deadline.saturating_since(clock::now())).await;
            Event::Deadline
        };
        future::or(future::or(slot, entry), timer).await
    }

    fn on_message(&mut self, attempt: &mut ExchangeAttempt, message: StreamMessage) -> FilterAction {
        match message {
            StreamMessage::Data(_, data) => {
                attempt.deadline = clock::now() + self.timeout;
                if attempt.queue_request(&data).is_err() {
                    return FilterAction::Broken;
                }
                self.credit_request_bytes(data.len());
            }
            StreamMessage::Credit(_, bytes) => self.send_buffer.add_credit(bytes),
            StreamMessage::Cancel(_) => {
                if let Some(key) = attempt.conn.cancel_key() {
                    self.home.spawn_task(async move {
                        // The statement may have ended by now; the caller then gets its answer.
                        if let Err(e) = key.cancel(CANCEL_TIMEOUT).await {
                            log::debug!("cannot cancel a statement: {e}");
                        }
                    });
                }
            }
            StreamMessage::Open(..) | StreamMessage::End(..) | StreamMessage::Abandon(_) => {}
        }
        FilterAction::Continue
    }

    /// Takes a frame and those that have already arrived, so that many small frames go out in one message.
    fn on_frames(&mut self, attempt: &mut ExchangeAttempt, frame: Frame) -> FilterAction {
        let mut frame = frame;
        loop {
            let action = attempt
                .filter
                .on_frame(&frame, |bytes| self.send_buffer.push(bytes));
            if action != FilterAction::Continue || self.send_buffer.is_full() {
                return action;
            }
            frame = match attempt.conn.buffered_frame() {
                Ok(Some(frame)) => frame,
                Ok(None) => return FilterAction::Continue,
                Err(_) => return FilterAction::Broken,
            };
        }
    }

    /// The transaction ended: the connection goes back, and the end of the answer goes out once a majority of the slots
    /// holds the commit.
    async fn finish(&mut self, mut attempt: ExchangeAttempt) -> ExchangeResult {
        let held = attempt.filter.take_held();
        let ExchangeAttempt {
            conn,
            filter,
            sent,
            commit,
            role,
            primary_confirmed,
            deadline,
            ..
        } = attempt;
        if filter.is_waiting() {
            // The caller sent more than one transaction on this stream; the state of the connection is in doubt.
            drop(conn);
        } else {
            conn.reset_and_return();
        }
        if !self.wait_proved(commit, role, primary_confirmed, deadline).await {
            return ExchangeResult::Ended(sent.outcome_unknown(OutcomeUnknown::NotReplicated));
        }
        self.send_buffer.push(&held);
        match self.flush_send_buffer(deadline).await {
            FlushResult::All => ExchangeResult::Ended(sent.complete(commit, role == SlotRole::Replica)),
            FlushResult::Deadline => ExchangeResult::Ended(sent.outcome_unknown(OutcomeUnknown::Deadline)),
            FlushResult::Abandoned => ExchangeResult::Abandoned,
        }
    }

    /// A batch ended inside a transaction. Passes on the end of its answer once it is proved.
    async fn forward_held(&mut self, attempt: &mut ExchangeAttempt) -> bool {
        if !self
            .wait_proved(
                attempt.commit,
                attempt.role,
                attempt.primary_confirmed,
                attempt.deadline,
            )
            .await
        {
            return false;
        }
        attempt.primary_confirmed = true;
        let held = attempt.filter.take_held();
        self.send_buffer.push(&held);
        true
    }

    /// Whether the end of an answer may be passed on: a majority of the slots held the commit in it; without one, no
    /// other primary can have had a write acknowledged before the stream began, which this answer would miss.
    async fn wait_proved(
        &self,
        commit: Option<LogPoint>,
        role: SlotRole,
        primary_confirmed: bool,
        deadline: Time,
    ) -> bool {
        let proof = async {
            match (commit, role) {
                (Some(point), _) => self.home.wait_acknowledged(point).await,
                (
                    None,
                    SlotRole::Primary {
                        term,
                        since: Some(since),
                        ..
                    },
                ) if !primary_confirmed => self.home.wait_primary_confirmed(term, since).await,
                (None, _) => true,
            }
        };
        let proved = future::or(proof, async {
            Timer::after(deadline.saturating_since(clock::now())).await;
            false
        });
        let proved = proved.await;
        counters::add(Counter::CommitsNotProved, u64::from(!proved && commit.is_some()));
        proved
    }

    /// Waits until the entry has taken the whole answer.
    async fn flush_send_buffer(&mut self, deadline: Time) -> FlushResult {
        loop {
            self.send_buffer.send(self.end);
            if self.send_buffer.is_empty() {
                return FlushResult::All;
            }
            let message = future::or(async { Some(self.end.rx.recv().await.ok()) }, async {
                Timer::after(deadline.saturating_since(clock::now())).await;
                None
            })
            .await;
            match message {
                None => return FlushResult::Deadline,
                Some(None | Some(StreamMessage::Abandon(_))) => return FlushResult::Abandoned,
                Some(Some(StreamMessage::Credit(_, bytes))) => self.send_buffer.add_credit(bytes),
                Some(Some(_)) => {}
            }
        }
    }

    /// The rest of the answer is read and dropped, so that the connection can be used again.
    fn discard_answer(&self, attempt: ExchangeAttempt) -> ExchangeResult {
        counters::add(
            Counter::ReadsNotProved,
            u64::from(attempt.role == SlotRole::Replica),
        );
        let ExchangeAttempt {
            mut conn,
            mut filter,
            sent,
            ..
        } = attempt;
        self.home.spawn_task(async move {
            let drain = async {
                while filter.is_waiting() {
                    let frame = conn.next_frame().await?;
                    match filter.on_frame(&frame, |_| {}) {
                        FilterAction::Continue => {}
                        FilterAction::BatchEnded { status: b'I', .. } if !filter.is_waiting() => {
                            return Ok(());
                        }
                        _ => return Err(io::ErrorKind::InvalidData.into()),
                    }
                }
                Ok(())
            };
            if super::slot_connection::with_timeout(DISCARD_TIMEOUT, drain)
                .await
                .is_ok()
            {
                conn.reset_and_return();
            }
        });
        ExchangeResult::Retry(sent.into_unsent(DiscardedRead(())))
    }

    /// Tells the entry that the first `bytes` request bytes were taken over, unless it was told before.
    fn credit_initial_bytes(&mut self, bytes: usize) {
        self.credit_request_bytes(bytes.saturating_sub(self.credited_bytes));
        self.credited_bytes = self.credited_bytes.max(bytes);
    }

    /// Tells the entry that request bytes were taken over.
    fn credit_request_bytes(&self, bytes: usize) {
        if bytes > 0 {
            let _gone = self.end.tx.try_send(StreamMessage::Credit(self.id, bytes as u32));
        }
    }
}

enum FlushResult {
    All,
    Deadline,
    Abandoned,
}

//! Relays one stream at the home, over a slot connection: requests go to the slot, answers to the entry. The counterpart
//! at the entry is `HomeStream`.

use super::answer_filter::FilterAction;
use super::database_home::DatabaseHome;
use super::exchange_attempt::ExchangeAttempt;
use super::frame::Frame;
use super::pooled_connection::PooledConnection;
use super::request_state::{NoEffect, UnsentRequest};
use super::send_buffer::SendBuffer;
use crate::channel::StreamEndpoint;
use crate::clock;
use crate::counters::{self, Counter};
use async_io::Timer;
use futures_lite::future;
use std::io;
use std::time::Duration;
use wasabiyard_model::{LogPoint, OutcomeUnknown, Term, Time};
use wasabiyard_wire::{StreamId, StreamMessage, StreamOutcome};

/// A transaction whose caller sends nothing for longer is ended, because it occupies a slot connection.
const IDLE_IN_TRANSACTION_TIMEOUT: Duration = Duration::from_mins(1);
/// Longest time to connect to a slot and send a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// While this many request bytes wait to be sent to the slot, no more are received from the entry.
const MAX_QUEUED_REQUEST_BYTES: usize = 64 * 1024;
/// Longest time to read the rest of a discarded answer. The connection is closed when it takes longer.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// How an exchange uses its connection.
#[derive(Debug, Clone, Copy)]
pub struct ExchangeOptions<'a> {
    /// Organisation under which the slot runs the statements.
    pub organisation: &'a str,
    /// The point that the slot must have applied before its answer is used, and how long it may wait for that. `None`
    /// when no proof is needed or it was given before the exchange.
    pub proof: Option<(LogPoint, Duration)>,
    /// The role that the slot is expected to have.
    pub role: SlotRole,
}

/// The role that an exchange expects of the slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotRole {
    /// A replica, which refuses writes.
    Replica,
    /// The primary.
    Primary {
        /// Term in which the slot is believed to be the primary.
        term: Term,
        /// Time at which the stream began. An answer without a commit is forwarded only when the slot was confirmed to
        /// be the primary after it. `None` when the slot has proved the position that the stream must see instead.
        since: Option<Time>,
        /// Whether the initial bytes contain the whole first batch, so that it can be sent again when the slot refuses
        /// it.
        batch_complete: bool,
    },
}

/// How an exchange ended.
#[derive(Debug)]
pub enum ExchangeResult {
    /// The stream ended with this outcome.
    Ended(StreamOutcome),
    /// The slot did not prove the position or is not the primary. Its answer was discarded, and the request can be sent
    /// to another slot.
    Retry(UnsentRequest),
    /// The caller is gone.
    Abandoned,
}

/// The part of an exchange that concerns the stream. It outlives the connection when the request is tried on another
/// slot.
#[derive(Debug)]
pub struct Exchange<'a> {
    pub(super) id: StreamId,
    pub(super) endpoint: &'a StreamEndpoint,
    pub(super) home: &'a DatabaseHome,
    /// Time limit for each request of the stream.
    pub(super) timeout: Duration,
    pub(super) send_buffer: SendBuffer,
    /// Number of the initial request bytes for which the entry has got credit back.
    pub(super) credited_bytes: usize,
}

enum Event {
    Frame(io::Result<Frame>),
    Message(Option<StreamMessage>),
    Deadline,
}

impl Exchange<'_> {
    /// Sends `initial_bytes`, the request bytes received so far, and relays the stream until it ends or has to be
    /// retried.
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
        // The bytes of a read on a replica are kept until it has answered, because they may go to another slot.
        if options.proof.is_none() {
            self.credit_initial_bytes(initial_bytes.len());
        }
        loop {
            self.send_buffer.send(self.endpoint);
            let action = match self.next_event(&mut attempt).await {
                Event::Deadline | Event::Frame(Err(_)) if attempt.awaits_proof() => {
                    // Nothing of the answer was forwarded, and a replica refuses writes. The connection is closed.
                    counters::add(Counter::ReadsNotProved, 1);
                    return ExchangeResult::Retry(attempt.sent.into_unsent(NoEffect(())));
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
                    attempt.queue_last_commit();
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
            Event::Message(self.endpoint.rx.recv().await.ok())
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
                        // The statement may have completed in the meantime; the caller then gets its answer.
                        if let Err(e) = key.cancel(CANCEL_TIMEOUT).await {
                            log::debug!("cannot send a cancel request to the slot: {e}");
                        }
                    });
                }
            }
            StreamMessage::Open(..) | StreamMessage::End(..) | StreamMessage::Abandon(_) => {}
        }
        FilterAction::Continue
    }

    /// Handles a frame and those that have already been received, so that many small frames share one message.
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

    /// Ends the exchange after the transaction: returns the connection, and forwards the end of the answer once it is
    /// proved.
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
            // The caller sent more than one transaction on this stream, so the state of the connection is unknown.
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
            FlushResult::TimedOut => ExchangeResult::Ended(sent.outcome_unknown(OutcomeUnknown::Deadline)),
            FlushResult::Abandoned => ExchangeResult::Abandoned,
        }
    }

    /// Forwards the end of the answer to a batch inside a transaction once it is proved. Returns false when it could
    /// not be proved by the deadline.
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

    /// Waits until the end of an answer may be forwarded. If the answer contains a commit, a majority of the slots has
    /// to hold it. Otherwise the slot has to be confirmed as the primary, so that the answer misses no write that
    /// another primary had acknowledged before the stream began. Returns false when this cannot be proved by the
    /// deadline.
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

    /// Sends the rest of the answer as the entry grants credit.
    async fn flush_send_buffer(&mut self, deadline: Time) -> FlushResult {
        loop {
            self.send_buffer.send(self.endpoint);
            if self.send_buffer.is_empty() {
                return FlushResult::All;
            }
            let message = future::or(async { Some(self.endpoint.rx.recv().await.ok()) }, async {
                Timer::after(deadline.saturating_since(clock::now())).await;
                None
            })
            .await;
            match message {
                None => return FlushResult::TimedOut,
                Some(None | Some(StreamMessage::Abandon(_))) => return FlushResult::Abandoned,
                Some(Some(StreamMessage::Credit(_, bytes))) => self.send_buffer.add_credit(bytes),
                Some(Some(_)) => {}
            }
        }
    }

    /// Makes the request retryable. The rest of the answer is read and dropped in the background, so that the
    /// connection can be reused.
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
        ExchangeResult::Retry(sent.into_unsent(NoEffect(())))
    }

    /// Grants the entry credit for the initial request bytes, except for those that were credited before.
    fn credit_initial_bytes(&mut self, bytes: usize) {
        self.credit_request_bytes(bytes.saturating_sub(self.credited_bytes));
        self.credited_bytes = self.credited_bytes.max(bytes);
    }

    /// Grants the entry credit for request bytes that were queued for the slot.
    fn credit_request_bytes(&self, bytes: usize) {
        if bytes > 0 {
            let _gone = self
                .endpoint
                .tx
                .try_send(StreamMessage::Credit(self.id, bytes as u32));
        }
    }
}

enum FlushResult {
    All,
    TimedOut,
    Abandoned,
}

//! One stream on one connection: requests go to the slot, answers to the entry.

use super::answer_filter::{Expect, Step};
use super::database_home::DatabaseHome;
use super::ending::{DiscardedRead, Unsent};
use super::exchange_run::Run;
use super::frame::{self, Frame};
use super::group_sql;
use super::outbox::Outbox;
use super::pooled_connection::PooledConnection;
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
const IDLE_IN_TRANSACTION: Duration = Duration::from_mins(1);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// More request bytes than this are not read from the entry while the slot does not take them.
const MAX_QUEUED_BYTES: usize = 64 * 1024;
/// Longest time for the rest of an answer that is discarded; after it the connection is closed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// How the slot is used for this stream.
#[derive(Debug, Clone, Copy)]
pub struct Terms<'a> {
    /// Organisation of the statements.
    pub organisation: &'a str,
    /// What the slot must prove before its answer is used, and how long it may wait for it.
    pub proof: Option<(LogPoint, Duration)>,
    /// How the slot is used.
    pub role: Use,
}

/// How a slot is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
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
        whole: bool,
    },
}

/// How an exchange ended.
#[derive(Debug)]
pub enum Outcome {
    /// The stream ended.
    Ended(StreamOutcome),
    /// The slot does not hold the position, or is not the primary; its answer was dropped.
    NotProved(Unsent),
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
    pub(super) outbox: Outbox,
    /// How many of the first request bytes the entry was told to be taken over.
    pub(super) credited: usize,
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
        unsent: Unsent,
        terms: Terms<'_>,
        first: &[u8],
        deadline: Time,
    ) -> Outcome {
        let mut run = Run::start(conn, unsent, terms, deadline);
        if run.feed(first).is_err() {
            return Outcome::Ended(run.sent.unknown(OutcomeUnknown::ConnectionLost));
        }
        // The bytes of a read are kept until a slot has answered, because they may go to another slot.
        if terms.proof.is_none() {
            self.credit(first.len());
        }
        loop {
            self.outbox.send(self.end);
            let step = match self.next(&mut run).await {
                Event::Deadline | Event::Frame(Err(_)) if run.awaits_proof() => {
                    // Nothing of the answer was passed on, and the slot refuses writes. The connection is closed.
                    counters::add(Counter::ReadsNotProved, 1);
                    return Outcome::NotProved(run.sent.take_back(DiscardedRead(())));
                }
                Event::Deadline => return Outcome::Ended(run.sent.unknown(OutcomeUnknown::Deadline)),
                Event::Message(None | Some(StreamMessage::Abandon(_))) => return Outcome::Abandoned,
                Event::Frame(Err(_)) => {
                    return Outcome::Ended(run.sent.unknown(OutcomeUnknown::ConnectionLost));
                }
                Event::Message(Some(message)) => self.message(&mut run, message),
                Event::Frame(Ok(frame)) => {
                    if !self.outbox.is_full() && !run.awaits_proof() {
                        run.deadline = run.deadline.max(clock::now() + self.timeout);
                    }
                    self.frames(&mut run, frame)
                }
            };
            match step {
                Step::Continue => {}
                Step::NotReached | Step::NotPrimary => return self.not_reached(run),
                Step::Broken => return Outcome::Ended(run.sent.unknown(OutcomeUnknown::ConnectionLost)),
                Step::CommitUnknown => {
                    return Outcome::Ended(run.sent.unknown(OutcomeUnknown::NotReplicated));
                }
                Step::AskLastCommit => {
                    run.conn.queue(&frame::query(group_sql::LAST_COMMIT));
                    run.filter.sent(Expect::LastCommit);
                }
                Step::BatchEnded { status, last_commit } => {
                    run.note_commit(last_commit);
                    if status == b'I' {
                        return self.finish(run).await;
                    }
                    if !self.release_held(&mut run).await {
                        return Outcome::Ended(run.sent.unknown(OutcomeUnknown::NotReplicated));
                    }
                    self.credit(first.len());
                    run.deadline = clock::now() + IDLE_IN_TRANSACTION;
                }
            }
        }
    }

    async fn next(&self, run: &mut Run) -> Event {
        let reads_slot = !self.outbox.is_full();
        let reads_entry = run.conn.queued_bytes() < MAX_QUEUED_BYTES;
        let deadline = run.proof_deadline().unwrap_or(run.deadline);
        let conn = &mut run.conn;
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

    fn message(&mut self, run: &mut Run, message: StreamMessage) -> Step {
        match message {
            StreamMessage::Data(_, data) => {
                run.deadline = clock::now() + self.timeout;
                if run.feed(&data).is_err() {
                    return Step::Broken;
                }
                self.consumed(data.len());
            }
            StreamMessage::Credit(_, bytes) => self.outbox.grant(bytes),
            StreamMessage::Cancel(_) => {
                if let Some(key) = run.conn.cancel_key() {
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
        Step::Continue
    }

    /// Takes a frame and those that have already arrived, so that many small frames go out in one message.
    fn frames(&mut self, run: &mut Run, frame: Frame) -> Step {
        let mut frame = frame;
        loop {
            let step = run.filter.frame(&frame, |bytes| self.outbox.push(bytes));
            if step != Step::Continue || self.outbox.is_full() {
                return step;
            }
            frame = match run.conn.buffered_frame() {
                Ok(Some(frame)) => frame,
                Ok(None) => return Step::Continue,
                Err(_) => return Step::Broken,
            };
        }
    }

    /// The transaction ended: the connection goes back, and the end of the answer goes out once a majority of the slots
    /// holds the commit.
    async fn finish(&mut self, mut run: Run) -> Outcome {
        let held = run.filter.release();
        let Run {
            conn,
            filter,
            sent,
            commit,
            role,
            confirmed,
            deadline,
            ..
        } = run;
        if filter.is_waiting() {
            // The caller sent more than one transaction on this stream; the state of the connection is in doubt.
            drop(conn);
        } else {
            conn.release();
        }
        if !self.proved(commit, role, confirmed, deadline).await {
            return Outcome::Ended(sent.unknown(OutcomeUnknown::NotReplicated));
        }
        self.outbox.push(&held);
        match self.drain(deadline).await {
            Drained::All => Outcome::Ended(sent.complete(commit, role == Use::Replica)),
            Drained::Late => Outcome::Ended(sent.unknown(OutcomeUnknown::Deadline)),
            Drained::Abandoned => Outcome::Abandoned,
        }
    }

    /// A batch ended inside a transaction. Passes on the end of its answer once it is proved.
    async fn release_held(&mut self, run: &mut Run) -> bool {
        if !self
            .proved(run.commit, run.role, run.confirmed, run.deadline)
            .await
        {
            return false;
        }
        run.confirmed = true;
        let held = run.filter.release();
        self.outbox.push(&held);
        true
    }

    /// Whether the end of an answer may be passed on: a majority of the slots held the commit in it; without one, no
    /// other primary can have had a write acknowledged before the stream began, which this answer would miss.
    async fn proved(&self, commit: Option<LogPoint>, role: Use, confirmed: bool, deadline: Time) -> bool {
        let proof = async {
            match (commit, role) {
                (Some(point), _) => self.home.acknowledged(point).await,
                (
                    None,
                    Use::Primary {
                        term,
                        since: Some(since),
                        ..
                    },
                ) if !confirmed => self.home.confirmed(term, since).await,
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
    async fn drain(&mut self, deadline: Time) -> Drained {
        loop {
            self.outbox.send(self.end);
            if self.outbox.is_empty() {
                return Drained::All;
            }
            let message = future::or(async { Some(self.end.rx.recv().await.ok()) }, async {
                Timer::after(deadline.saturating_since(clock::now())).await;
                None
            })
            .await;
            match message {
                None => return Drained::Late,
                Some(None | Some(StreamMessage::Abandon(_))) => return Drained::Abandoned,
                Some(Some(StreamMessage::Credit(_, bytes))) => self.outbox.grant(bytes),
                Some(Some(_)) => {}
            }
        }
    }

    /// The rest of the answer is read and dropped, so that the connection can be used again.
    fn not_reached(&self, run: Run) -> Outcome {
        counters::add(Counter::ReadsNotProved, u64::from(run.role == Use::Replica));
        let Run {
            mut conn,
            mut filter,
            sent,
            ..
        } = run;
        self.home.spawn_task(async move {
            let drain = async {
                while filter.is_waiting() {
                    let frame = conn.next_frame().await?;
                    match filter.frame(&frame, |_| {}) {
                        Step::Continue => {}
                        Step::BatchEnded { status: b'I', .. } if !filter.is_waiting() => return Ok(()),
                        _ => return Err(io::ErrorKind::InvalidData.into()),
                    }
                }
                Ok(())
            };
            if super::slot_connection::within(DRAIN_TIMEOUT, drain).await.is_ok() {
                conn.release();
            }
        });
        Outcome::NotProved(sent.take_back(DiscardedRead(())))
    }

    /// Tells the entry that the first `bytes` request bytes were taken over, unless it was told before.
    fn credit(&mut self, bytes: usize) {
        self.consumed(bytes.saturating_sub(self.credited));
        self.credited = self.credited.max(bytes);
    }

    /// Tells the entry that request bytes were taken over.
    fn consumed(&self, bytes: usize) {
        if bytes > 0 {
            let _gone = self.end.tx.try_send(StreamMessage::Credit(self.id, bytes as u32));
        }
    }
}

enum Drained {
    All,
    Late,
    Abandoned,
}

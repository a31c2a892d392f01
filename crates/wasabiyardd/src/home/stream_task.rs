//! Serves one stream: receives its first request, runs it on the slots of the read plan or on the primary, and sends
//! the outcome.

use super::database_home::DatabaseHome;
use super::exchange::{Exchange, ExchangeOptions, ExchangeResult, SlotRole};
use super::group_sql;
use super::group_state::GroupState;
use super::pool::Target;
use super::pooled_connection::PooledConnection;
use super::read_only_batch::is_read_only_batch;
use super::request_scanner::RequestScanner;
use super::request_state::UnsentRequest;
use super::send_buffer::SendBuffer;
use crate::channel::StreamEndpoint;
use crate::clock;
use async_io::Timer;
use futures_lite::future;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, NotRun, Time};
use wasabiyard_schedule::QueuedRequest;
use wasabiyard_session::ReadAttempt;
use wasabiyard_wire::{INITIAL_CREDIT_BYTES, OpenStream, ReadBound, StreamId, StreamMessage, StreamOutcome};

/// Delay before a request is retried at the primary after a slot refused it as a replica.
const NOT_PRIMARY_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves a stream until it ends, and sends its outcome unless the entry has abandoned it.
pub async fn serve(home: Arc<DatabaseHome>, id: StreamId, open: OpenStream, endpoint: StreamEndpoint) {
    let timeout = Duration::from_millis(u64::from(open.deadline_millis));
    let started = clock::now();
    let mut task = StreamTask {
        started,
        deadline: started + timeout,
        queued_request: home.queued_request(&open, started + timeout),
        exchange: Exchange {
            id,
            endpoint: &endpoint,
            home: &home,
            timeout,
            send_buffer: SendBuffer::new(id),
            credited_bytes: 0,
        },
        open,
        home: &home,
        initial_bytes: Vec::new(),
        scanner: RequestScanner::default(),
    };
    if let Some(outcome) = task.run().await {
        let _gone = endpoint.tx.try_send(StreamMessage::End(id, outcome));
    }
}

struct StreamTask<'a> {
    open: OpenStream,
    home: &'a Arc<DatabaseHome>,
    exchange: Exchange<'a>,
    /// Request for the queues of the pool.
    queued_request: QueuedRequest,
    started: Time,
    deadline: Time,
    /// Request bytes that were received before a connection was acquired.
    initial_bytes: Vec<u8>,
    scanner: RequestScanner,
}

/// Result of a wait during which the entry may end the stream.
enum WaitResult<T> {
    Done(T),
    Abandoned,
    Cancelled,
    Malformed,
}

impl StreamTask<'_> {
    /// Returns the outcome of the stream, or `None` when the entry has abandoned it.
    async fn run(&mut self) -> Option<StreamOutcome> {
        let unsent = UnsentRequest::new();
        let reads = self.open.bound != ReadBound::Primary;
        let batch_complete = match self.receive_first_batch(reads).await {
            WaitResult::Done(Some(batch_complete)) => batch_complete,
            WaitResult::Done(None) => return Some(unsent.refuse(NotRun::Deadline)),
            other => return other.refuse(unsent),
        };
        match self.open.bound {
            ReadBound::Primary => self.run_at_primary(unsent, None, batch_complete).await,
            ReadBound::AtLeast(point) => {
                self.run_read(unsent, point, batch_complete, NotRun::PositionNotReached)
                    .await
            }
            ReadBound::AgeMillis(age) => {
                let age = Duration::from_millis(age);
                match self.run_until_deadline(point_for_age(self.home, age)).await {
                    WaitResult::Done(Some(point)) => {
                        self.run_read(unsent, point, batch_complete, NotRun::AgeNotProved)
                            .await
                    }
                    WaitResult::Done(None) => Some(unsent.refuse(NotRun::AgeNotProved)),
                    other => other.refuse(unsent),
                }
            }
        }
    }

    /// Receives the first request bytes, or with `wait_for_end` the whole first batch, which a read needs because it
    /// may be sent to several slots. Returns whether the batch is complete. It is not if it exceeds the initial credit,
    /// or if the caller flushed a part of it and may wait for the answer.
    async fn receive_first_batch(&mut self, wait_for_end: bool) -> WaitResult<Option<bool>> {
        loop {
            match self.receive_message().await {
                WaitResult::Done(Some(ended)) if ended || !wait_for_end => {
                    return WaitResult::Done(Some(ended));
                }
                WaitResult::Done(Some(_))
                    if self.initial_bytes.len() >= INITIAL_CREDIT_BYTES as usize
                        || self.scanner.flushed() =>
                {
                    return WaitResult::Done(Some(false));
                }
                WaitResult::Done(Some(_)) => {}
                other => return other,
            }
        }
    }

    /// Receives one message of the entry. `Some` tells whether a batch ended in it; `None` means that the deadline
    /// passed.
    async fn receive_message(&mut self) -> WaitResult<Option<bool>> {
        let endpoint = self.exchange.endpoint;
        let deadline = self.deadline;
        let message = future::or(async { Some(endpoint.rx.recv().await.ok()) }, async {
            Timer::after(deadline.saturating_since(clock::now())).await;
            None
        })
        .await;
        match message {
            None => WaitResult::Done(None),
            Some(None | Some(StreamMessage::Abandon(_))) => WaitResult::Abandoned,
            Some(Some(StreamMessage::Cancel(_))) => WaitResult::Cancelled,
            Some(Some(StreamMessage::Credit(_, bytes))) => {
                self.exchange.send_buffer.add_credit(bytes);
                WaitResult::Done(Some(false))
            }
            Some(Some(StreamMessage::Data(_, data))) => {
                let Ok(ends) = self.scanner.scan(&data) else {
                    return WaitResult::Malformed;
                };
                self.initial_bytes.extend_from_slice(&data);
                WaitResult::Done(Some(!ends.is_empty()))
            }
            Some(Some(StreamMessage::Open(..) | StreamMessage::End(..))) => WaitResult::Done(Some(false)),
        }
    }

    /// Runs `operation` until the deadline and receives messages of the entry meanwhile. `None` means that the deadline
    /// passed.
    async fn run_until_deadline<T>(&mut self, operation: impl Future<Output = T>) -> WaitResult<Option<T>> {
        let mut operation = std::pin::pin!(operation);
        loop {
            let done = future::or(async { Ok((&mut operation).await) }, async {
                Err(self.receive_message().await)
            })
            .await;
            match done {
                Ok(result) => return WaitResult::Done(Some(result)),
                Err(WaitResult::Done(Some(_))) => {}
                Err(WaitResult::Done(None)) => return WaitResult::Done(None),
                Err(WaitResult::Abandoned) => return WaitResult::Abandoned,
                Err(WaitResult::Cancelled) => return WaitResult::Cancelled,
                Err(WaitResult::Malformed) => return WaitResult::Malformed,
            }
        }
    }

    async fn acquire(&mut self, target: Target) -> WaitResult<Option<Result<PooledConnection, NotRun>>> {
        let home = Arc::clone(self.home);
        let queued_request = self.queued_request.clone();
        self.run_until_deadline(async move { home.pool().acquire(target, &queued_request).await })
            .await
    }

    /// Runs the stream at the primary, and retries when the slot turns out not to be the primary. With `proof`, the
    /// primary must prove the point first; otherwise the stream is refused with the given reason.
    async fn run_at_primary(
        &mut self,
        unsent: UnsentRequest,
        proof: Option<(LogPoint, NotRun)>,
        batch_complete: bool,
    ) -> Option<StreamOutcome> {
        let mut unsent = unsent;
        loop {
            let mut conn = match self.acquire(Target::Primary).await {
                WaitResult::Done(Some(Ok(conn))) => conn,
                WaitResult::Done(Some(Err(reason))) => return Some(unsent.refuse(reason)),
                WaitResult::Done(None) => return Some(unsent.refuse(NotRun::NoPrimary)),
                other => return other.refuse(unsent),
            };
            match proof {
                Some((point, reason)) if !self.primary_reaches(&mut conn, point).await => {
                    return Some(unsent.refuse(reason));
                }
                _ => {}
            }
            let primary = self.home.read_group(GroupState::believed_primary);
            let Some((_, term)) = primary.filter(|(slot, _)| *slot == conn.slot()) else {
                conn.return_unused();
                continue;
            };
            let options = ExchangeOptions {
                organisation: &self.open.organisation,
                proof: None,
                role: SlotRole::Primary {
                    term,
                    since: proof.is_none().then_some(self.started),
                    batch_complete,
                },
            };
            match self
                .exchange
                .run(conn, unsent, options, &self.initial_bytes, self.deadline)
                .await
            {
                ExchangeResult::Ended(outcome) => return Some(outcome),
                ExchangeResult::Abandoned => return None,
                ExchangeResult::Retry(returned) => unsent = returned,
            }
            // The slot monitors learn of the new primary within a short time.
            if !matches!(
                self.run_until_deadline(Timer::after(NOT_PRIMARY_RETRY_DELAY))
                    .await,
                WaitResult::Done(Some(_))
            ) {
                return Some(unsent.refuse(NotRun::NoPrimary));
            }
        }
    }

    /// Whether the primary proves that it has applied `point`. Runs before any byte of the request is sent.
    async fn primary_reaches(&self, conn: &mut PooledConnection, point: LogPoint) -> bool {
        let left = self.deadline.saturating_since(clock::now());
        let sql = group_sql::wait_applied(point, left.as_millis() as u64 / 2);
        let rows = conn.query_after_resets(&sql, left).await;
        rows.is_ok_and(|rows| group_sql::parse_reached(&rows) == Some(true))
    }

    /// Tries the replicas of the read plan, which have to prove `point`, and then the primary. `reason` is the refusal
    /// when no slot proves it.
    async fn run_read(
        &mut self,
        unsent: UnsentRequest,
        point: LogPoint,
        batch_complete: bool,
        reason: NotRun,
    ) -> Option<StreamOutcome> {
        let mut unsent = unsent;
        let replicas_allowed = batch_complete && is_read_only_batch(&self.initial_bytes);
        let plan = self.home.read_plan(point, self.deadline);
        for attempt in plan.attempts().iter().filter(|_| replicas_allowed) {
            let ReadAttempt::Replica { slot, point, wait } = *attempt else {
                continue;
            };
            let queue_deadline = self.queued_request.deadline;
            // Waiting for a connection to one replica must not use up the time for the other slots.
            self.queued_request.deadline =
                queue_deadline.min(clock::now() + wait.max(Duration::from_millis(5)));
            let acquired = self.acquire(Target::Slot(slot)).await;
            self.queued_request.deadline = queue_deadline;
            let conn = match acquired {
                WaitResult::Done(Some(Ok(conn))) => conn,
                WaitResult::Done(Some(Err(_))) => continue,
                WaitResult::Done(None) => return Some(unsent.refuse(NotRun::Deadline)),
                other => return other.refuse(unsent),
            };
            let options = ExchangeOptions {
                organisation: &self.open.organisation,
                proof: Some((point, wait)),
                role: SlotRole::Replica,
            };
            match self
                .exchange
                .run(conn, unsent, options, &self.initial_bytes, self.deadline)
                .await
            {
                ExchangeResult::Ended(outcome) => return Some(outcome),
                ExchangeResult::Retry(returned) => unsent = returned,
                ExchangeResult::Abandoned => return None,
            }
        }
        self.run_at_primary(unsent, Some((point, reason)), batch_complete)
            .await
    }
}

impl<T> WaitResult<Option<T>> {
    /// The outcome of a stream whose wait was interrupted before anything was sent; `None` when it was abandoned.
    fn refuse(self, unsent: UnsentRequest) -> Option<StreamOutcome> {
        match self {
            Self::Done(_) | Self::Cancelled => Some(unsent.refuse(NotRun::Deadline)),
            Self::Malformed => Some(unsent.refuse(NotRun::BadMessage)),
            Self::Abandoned => None,
        }
    }
}

async fn point_for_age(home: &Arc<DatabaseHome>, age: Duration) -> LogPoint {
    home.point_for_age(age).await
}

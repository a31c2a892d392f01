//! Serves one stream: waits for its first request, takes connections in the planned order, and reports its end.

use super::database_home::DatabaseHome;
use super::ending::Unsent;
use super::exchange::{Exchange, Outcome, Terms, Use};
use super::group_sql;
use super::group_state::GroupState;
use super::outbox::Outbox;
use super::plain_read::is_plain_read;
use super::pool::Target;
use super::pooled_connection::PooledConnection;
use super::request_scanner::RequestScanner;
use crate::channel::StreamEnd;
use crate::clock;
use async_io::Timer;
use futures_lite::future;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, NotRun, Time};
use wasabiyard_schedule::QueuedRequest;
use wasabiyard_session::ReadAttempt;
use wasabiyard_wire::{INITIAL_CREDIT_BYTES, OpenStream, ReadBound, StreamId, StreamMessage, StreamOutcome};

/// Pause before a request that a slot refused as a replica goes to the primary again.
const NOT_PRIMARY_PAUSE: Duration = Duration::from_millis(20);

/// Serves a stream until it ends.
pub async fn serve(home: Arc<DatabaseHome>, id: StreamId, open: OpenStream, end: StreamEnd) {
    let timeout = Duration::from_millis(u64::from(open.deadline_millis));
    let started = clock::now();
    let mut task = StreamTask {
        started,
        deadline: started + timeout,
        waiting: home.waiting(&open, started + timeout),
        exchange: Exchange {
            id,
            end: &end,
            home: &home,
            timeout,
            outbox: Outbox::new(id),
            credited: 0,
        },
        open,
        home: &home,
        first: Vec::new(),
        scanner: RequestScanner::default(),
    };
    if let Some(ending) = task.run().await {
        let _gone = end.tx.try_send(StreamMessage::End(id, ending));
    }
}

struct StreamTask<'a> {
    open: OpenStream,
    home: &'a Arc<DatabaseHome>,
    exchange: Exchange<'a>,
    waiting: QueuedRequest,
    started: Time,
    deadline: Time,
    /// Request bytes that were received before a connection was taken.
    first: Vec<u8>,
    scanner: RequestScanner,
}

/// What came while a stream waits for something else.
enum Waited<T> {
    Done(T),
    Abandoned,
    Cancelled,
    Malformed,
}

impl StreamTask<'_> {
    /// `None` when the caller is gone.
    async fn run(&mut self) -> Option<StreamOutcome> {
        let unsent = Unsent::new();
        let reads = self.open.bound != ReadBound::Primary;
        let whole = match self.first_batch(reads).await {
            Waited::Done(Some(whole)) => whole,
            Waited::Done(None) => return Some(unsent.refuse(NotRun::Deadline)),
            other => return other.refuse(unsent),
        };
        match self.open.bound {
            ReadBound::Primary => self.at_primary(unsent, None, whole).await,
            ReadBound::AtLeast(point) => self.read(unsent, point, whole, NotRun::PositionNotReached).await,
            ReadBound::AgeMillis(age) => {
                let age = Duration::from_millis(age);
                match self.while_waiting(age_point(self.home, age)).await {
                    Waited::Done(Some(point)) => self.read(unsent, point, whole, NotRun::AgeNotProved).await,
                    Waited::Done(None) => Some(unsent.refuse(NotRun::AgeNotProved)),
                    other => other.refuse(unsent),
                }
            }
        }
    }

    /// Waits for the first request bytes; for a read, for the whole first batch, because it may be sent twice. Returns
    /// whether the batch is whole: one that exceeds the initial credit or is flushed in parts is not.
    async fn first_batch(&mut self, whole: bool) -> Waited<Option<bool>> {
        loop {
            match self.receive().await {
                Waited::Done(Some(ended)) if ended || !whole => return Waited::Done(Some(ended)),
                Waited::Done(Some(_))
                    if self.first.len() >= INITIAL_CREDIT_BYTES as usize || self.scanner.flushed() =>
                {
                    return Waited::Done(Some(false));
                }
                Waited::Done(Some(_)) => {}
                other => return other,
            }
        }
    }

    /// Receives one message. `Some(true)` when a batch ended in it, `None` at the deadline.
    async fn receive(&mut self) -> Waited<Option<bool>> {
        let end = self.exchange.end;
        let deadline = self.deadline;
        let message = future::or(async { Some(end.rx.recv().await.ok()) }, async {
            Timer::after(deadline.saturating_since(clock::now())).await;
            None
        })
        .await;
        match message {
            None => Waited::Done(None),
            Some(None | Some(StreamMessage::Abandon(_))) => Waited::Abandoned,
            Some(Some(StreamMessage::Cancel(_))) => Waited::Cancelled,
            Some(Some(StreamMessage::Credit(_, bytes))) => {
                self.exchange.outbox.grant(bytes);
                Waited::Done(Some(false))
            }
            Some(Some(StreamMessage::Data(_, data))) => {
                let Ok(ends) = self.scanner.scan(&data) else {
                    return Waited::Malformed;
                };
                self.first.extend_from_slice(&data);
                Waited::Done(Some(!ends.is_empty()))
            }
            Some(Some(StreamMessage::Open(..) | StreamMessage::End(..))) => Waited::Done(Some(false)),
        }
    }

    /// Runs `operation` up to the deadline, while messages of the entry are received.
    async fn while_waiting<T>(&mut self, operation: impl Future<Output = T>) -> Waited<Option<T>> {
        let mut operation = std::pin::pin!(operation);
        loop {
            let done = future::or(async { Ok((&mut operation).await) }, async {
                Err(self.receive().await)
            })
            .await;
            match done {
                Ok(result) => return Waited::Done(Some(result)),
                Err(Waited::Done(Some(_))) => {}
                Err(Waited::Done(None)) => return Waited::Done(None),
                Err(Waited::Abandoned) => return Waited::Abandoned,
                Err(Waited::Cancelled) => return Waited::Cancelled,
                Err(Waited::Malformed) => return Waited::Malformed,
            }
        }
    }

    async fn take(&mut self, target: Target) -> Waited<Option<Result<PooledConnection, NotRun>>> {
        let home = Arc::clone(self.home);
        let waiting = self.waiting.clone();
        self.while_waiting(async move { home.pool().take(target, &waiting).await })
            .await
    }

    /// Runs the stream at the primary. A slot that turns out not to be the primary is left for the next one.
    async fn at_primary(
        &mut self,
        unsent: Unsent,
        proof: Option<(LogPoint, NotRun)>,
        whole: bool,
    ) -> Option<StreamOutcome> {
        let mut unsent = unsent;
        loop {
            let mut conn = match self.take(Target::Primary).await {
                Waited::Done(Some(Ok(conn))) => conn,
                Waited::Done(Some(Err(reason))) => return Some(unsent.refuse(reason)),
                Waited::Done(None) => return Some(unsent.refuse(NotRun::NoPrimary)),
                other => return other.refuse(unsent),
            };
            match proof {
                Some((point, reason)) if !self.proves(&mut conn, point).await => {
                    return Some(unsent.refuse(reason));
                }
                _ => {}
            }
            let primary = self.home.read(GroupState::believed_primary);
            let Some((_, term)) = primary.filter(|(slot, _)| *slot == conn.slot()) else {
                conn.keep();
                continue;
            };
            let terms = Terms {
                organisation: &self.open.organisation,
                proof: None,
                role: Use::Primary {
                    term,
                    since: proof.is_none().then_some(self.started),
                    whole,
                },
            };
            match self
                .exchange
                .run(conn, unsent, terms, &self.first, self.deadline)
                .await
            {
                Outcome::Ended(ending) => return Some(ending),
                Outcome::Abandoned => return None,
                Outcome::NotProved(again) => unsent = again,
            }
            // The reports of the slots name the new primary soon.
            if !matches!(
                self.while_waiting(Timer::after(NOT_PRIMARY_PAUSE)).await,
                Waited::Done(Some(_))
            ) {
                return Some(unsent.refuse(NotRun::NoPrimary));
            }
        }
    }

    /// Asks the primary to prove `point` before any byte of the request leaves.
    async fn proves(&self, conn: &mut PooledConnection, point: LogPoint) -> bool {
        let left = self.deadline.saturating_since(clock::now());
        let sql = group_sql::wait_applied(point, left.as_millis() as u64 / 2);
        let rows = conn.settled_ask(&sql, left).await;
        rows.is_ok_and(|rows| group_sql::parse_reached(&rows) == Some(true))
    }

    /// Tries replicas that prove `point`, and then the primary.
    async fn read(
        &mut self,
        unsent: Unsent,
        point: LogPoint,
        whole: bool,
        reason: NotRun,
    ) -> Option<StreamOutcome> {
        let mut unsent = unsent;
        let anywhere = whole && is_plain_read(&self.first);
        let plan = self.home.plan(point, self.deadline);
        for attempt in plan.attempts().iter().filter(|_| anywhere) {
            let ReadAttempt::Replica { slot, point, wait } = *attempt else {
                continue;
            };
            let last = self.waiting.deadline;
            // A replica without a free connection must not use up the time of the others.
            self.waiting.deadline = last.min(clock::now() + wait.max(Duration::from_millis(5)));
            let taken = self.take(Target::Slot(slot)).await;
            self.waiting.deadline = last;
            let conn = match taken {
                Waited::Done(Some(Ok(conn))) => conn,
                Waited::Done(Some(Err(_))) => continue,
                Waited::Done(None) => return Some(unsent.refuse(NotRun::Deadline)),
                other => return other.refuse(unsent),
            };
            let terms = Terms {
                organisation: &self.open.organisation,
                proof: Some((point, wait)),
                role: Use::Replica,
            };
            match self
                .exchange
                .run(conn, unsent, terms, &self.first, self.deadline)
                .await
            {
                Outcome::Ended(ending) => return Some(ending),
                Outcome::NotProved(again) => unsent = again,
                Outcome::Abandoned => return None,
            }
        }
        self.at_primary(unsent, Some((point, reason)), whole).await
    }
}

impl<T> Waited<Option<T>> {
    /// The end of a stream whose wait was interrupted before anything was sent.
    fn refuse(self, unsent: Unsent) -> Option<StreamOutcome> {
        match self {
            Self::Done(_) | Self::Cancelled => Some(unsent.refuse(NotRun::Deadline)),
            Self::Malformed => Some(unsent.refuse(NotRun::BadMessage)),
            Self::Abandoned => None,
        }
    }
}

async fn age_point(home: &Arc<DatabaseHome>, age: Duration) -> LogPoint {
    home.age_point(age).await
}

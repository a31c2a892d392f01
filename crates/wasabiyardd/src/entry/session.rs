//! The session of one caller after its login.

use super::backend::{self, Severity};
use super::boundary::Ending;
use super::cancel::CancelGuard;
use super::exchange::Exchange;
use super::frontend::{self, Frame, FrameError};
use super::identity::Identity;
use super::lazy_timer::LazyTimer;
use super::outcome::Failure;
use super::request::{Place, Request};
use super::statements::Statements;
use super::transport::CallerIo;
use super::variables::TransactionEnd;
use super::{Entry, listener};
use crate::clock;
use crate::counters::{self, Counter};
use async_channel::Receiver;
use futures_lite::{future, pin};
use pgwire::messages::response::TransactionStatus;
use std::convert::Infallible;
use std::sync::Arc;
use std::task::Poll;
use wasabiyard_model::{Database, NotRun, Route, Time};
use wasabiyard_schedule::RetryBudget;
use wasabiyard_session::SessionToken;
use wasabiyard_wire::StreamMessage;

/// Output that leaves even when more is about to follow.
const MAX_HELD_BYTES: usize = 16 * 1024;

/// Why a session ended.
#[derive(Debug)]
pub enum End {
    /// The caller closed the connection, or it broke.
    Closed,
    /// The entry ends it, with these last words.
    Fatal(&'static str, String),
}

/// What a session waits for besides the end of its connection.
#[derive(Debug, Default)]
pub struct Wait<'a> {
    /// Messages of the home; without a stream, also changes of the snapshot.
    pub home: Option<&'a mut Exchange>,
    /// Input.
    pub read: bool,
    /// Whether output may stay in the buffer.
    pub hold_output: bool,
    /// A point in time.
    pub deadline: Option<Time>,
}

/// What woke a session up.
#[derive(Debug)]
pub enum Event {
    /// A message of the home.
    Home(StreamMessage),
    /// The home dropped its end of the stream.
    HomeGone,
    /// The caller sent bytes.
    Input,
    /// The snapshot changed in a way that may end the session.
    Changed,
    /// The deadline passed.
    Deadline,
}

/// Route and database for the present manifest and variables.
#[derive(Debug, Clone, Copy)]
pub struct Resolved {
    /// Manifest that the references belong to.
    pub version: u64,
    /// The route.
    pub route: Route,
    /// The database.
    pub database: Database,
}

/// A transaction block that was lost while the caller believes that it is open.
#[derive(Debug, Clone, Copy)]
pub struct LostBlock {
    /// Why, when the caller was not told yet.
    pub untold: Option<Failure>,
}

/// See the module.
#[derive(Debug)]
pub struct Session {
    pub(super) entry: Arc<Entry>,
    pub(super) io: CallerIo,
    pub(super) timer: LazyTimer,
    pub(super) identity: Identity,
    pub(super) service: Box<str>,
    pub(super) route: Option<String>,
    pub(super) shard: Option<String>,
    pub(super) token: SessionToken,
    /// Whether the caller gave the token, so that it holds every write of the session.
    pub(super) token_given: bool,
    pub(super) resolved: Option<Resolved>,
    pub(super) statements: Statements,
    pub(super) cancel: CancelGuard,
    pub(super) retries: RetryBudget,
    pub(super) lost_block: Option<LostBlock>,
    /// After an error in a batch without its end, messages are dropped up to `Sync`.
    pub(super) skip_to_sync: bool,
    pub(super) changes: Receiver<()>,
    /// Manifest version that the key was checked against.
    pub(super) checked_version: u64,
}

impl Session {
    /// Serves the caller until the connection ends.
    pub async fn run(mut self) {
        let Err(end) = self.serve().await;
        match end {
            End::Fatal(sqlstate, message) => {
                backend::error(&mut self.io.output, Severity::Fatal, sqlstate, &message);
                listener::close(&mut self.io).await;
            }
            // Ends TLS in order, without waiting for a caller that has gone.
            End::Closed => {
                future::poll_once(self.io.close()).await;
            }
        }
    }

    async fn serve(&mut self) -> Result<Infallible, End> {
        loop {
            let frame = self.next_frame(true).await?;
            if self.skip_to_sync && frame.tag() != frontend::SYNC && frame.tag() != frontend::TERMINATE {
                continue;
            }
            match frame.tag() {
                frontend::QUERY => {
                    let request = Request::simple(frame).map_err(protocol_error)?;
                    self.handle(request).await?;
                }
                frontend::TERMINATE => return Err(End::Closed),
                frontend::SYNC => {
                    self.skip_to_sync = false;
                    self.ready();
                }
                // Left over from a refused COPY, or without effect outside a batch.
                frontend::COPY_DATA | frontend::COPY_DONE | frontend::COPY_FAIL | frontend::FLUSH => {}
                frontend::PASSWORD => return Err(protocol_error(FrameError::UnknownTag(frame.tag()))),
                _ => {
                    let request = self.collect_batch(frame).await?;
                    self.handle(request).await?;
                }
            }
        }
    }

    async fn collect_batch(&mut self, first: Frame) -> Result<Request, End> {
        let mut request = Request::batch();
        let mut frame = first;
        loop {
            if frame.tag() == frontend::TERMINATE {
                return Err(End::Closed);
            }
            if request.push(frame, &self.statements).map_err(protocol_error)? {
                return Ok(request);
            }
            frame = self.next_frame(false).await?;
        }
    }

    /// Handles a request outside a transaction block.
    async fn handle(&mut self, request: Request) -> Result<(), End> {
        if self.lost_block.is_some() {
            self.answer_in_lost_block(&request);
            return Ok(());
        }
        match request.place {
            Place::Local => {
                counters::add(Counter::StatementsLocal, 1);
                self.answer_locally(&request, TransactionStatus::Idle);
                Ok(())
            }
            Place::Forbidden => {
                self.refuse_forbidden(&request);
                Ok(())
            }
            Place::Remote => {
                self.check_end(false)?;
                self.transact(request).await
            }
        }
    }

    pub(super) fn refuse_forbidden(&mut self, request: &Request) {
        self.finish_with_error(
            request,
            "42501",
            "the statement names or resets session variables of wasabiyard; send SET, SHOW or RESET of one variable \
             as a statement of its own",
        );
    }

    /// Writes an error and ends the request.
    pub(super) fn finish_with_error(&mut self, request: &Request, sqlstate: &str, message: &str) {
        backend::error(&mut self.io.output, Severity::Error, sqlstate, message);
        if request.synced {
            self.ready();
        } else {
            self.skip_to_sync = true;
        }
    }

    /// Appends `ReadyForQuery` for a session without a stream.
    pub(super) fn ready(&mut self) {
        let status = if self.lost_block.is_some() {
            TransactionStatus::Error
        } else {
            TransactionStatus::Idle
        };
        backend::ready(&mut self.io.output, status);
    }

    /// Answers a request in a transaction block that was lost, as a database does in a failed block.
    fn answer_in_lost_block(&mut self, request: &Request) {
        let untold = self.lost_block.and_then(|block| block.untold);
        if request.end.is_some() && request.synced {
            self.lost_block = None;
        } else if let Some(block) = &mut self.lost_block {
            block.untold = None;
        }
        match (untold, request.end) {
            (Some(failure), None | Some(TransactionEnd::Commit)) => {
                self.finish_with_error(request, failure.sqlstate(), &failure.message());
            }
            (_, Some(_)) if request.synced => self.answer_rollback(request),
            _ => self.finish_with_error(
                request,
                "25P02",
                "the transaction was lost; commands are ignored until the end of the transaction block",
            ),
        }
    }

    /// The next message. Ends the session when that is due and the caller is not in the middle of a request.
    async fn next_frame(&mut self, idle: bool) -> Result<Frame, End> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return Ok(frame);
            }
            if idle && self.io.input.is_empty() {
                self.check_end(true)?;
                self.io.shrink();
            }
            let wait = Wait {
                read: true,
                ..Wait::default()
            };
            if let Event::Changed = self.wait(wait).await? {
                self.changes = self.entry.boundary.subscribe();
            }
        }
    }

    /// Takes a whole message out of the input.
    pub(super) fn take_frame(&mut self) -> Result<Option<Frame>, End> {
        let max = self.entry.settings.traffic.max_message;
        Frame::take(&mut self.io.input, max).map_err(protocol_error)
    }

    /// Ends the session when the process stops, the instance is out of service, or the key was withdrawn.
    fn check_end(&mut self, idle: bool) -> Result<(), End> {
        let snapshot = self.entry.snapshots.load();
        if snapshot.manifest_version != self.checked_version {
            if !self.identity.is_in_force(&snapshot.manifest) {
                return Err(fatal(NotRun::KeyWithdrawn));
            }
            self.checked_version = snapshot.manifest_version;
        }
        match self.entry.boundary.ending(snapshot.admission, clock::now()) {
            Ending::No => Ok(()),
            Ending::WhenIdle if !idle => Ok(()),
            Ending::WhenIdle | Ending::Now if idle => Err(End::Fatal(
                "57P01",
                "this instance is stopping or out of service; connect again".to_owned(),
            )),
            Ending::WhenIdle | Ending::Now => Err(fatal(NotRun::Draining)),
        }
    }

    /// Sends output and waits for the next event.
    pub(super) async fn wait(&mut self, wait: Wait<'_>) -> Result<Event, End> {
        let Self {
            io, timer, changes, ..
        } = self;
        let mut exchange = wait.home;
        let idle = exchange.is_none();
        // A home in this process speaks only while it is polled here. Listening to its channel as well would wake this
        // very task, and with it another thread.
        let remote = exchange.as_ref().filter(|exchange| !exchange.is_local());
        let remote = remote.map(|exchange| exchange.end.rx.clone());
        let recv = async {
            match &remote {
                Some(rx) => rx.recv().await.map_or(Event::HomeGone, Event::Home),
                None => future::pending().await,
            }
        };
        pin!(recv);
        let changed = changes.recv();
        pin!(changed);
        future::poll_fn(|cx| {
            if let Some(exchange) = &mut exchange {
                exchange.poll_home(cx);
                if io.has_room()
                    && let Some(event) = exchange.try_event()
                {
                    return Poll::Ready(Ok(event));
                }
            }
            if (!wait.hold_output || io.output.len() > MAX_HELD_BYTES)
                && let Poll::Ready(Err(_)) = io.poll_send(cx)
            {
                return Poll::Ready(Err(End::Closed));
            }
            if io.has_room()
                && let Poll::Ready(event) = recv.as_mut().poll(cx)
            {
                return Poll::Ready(Ok(event));
            }
            if wait.read
                && let Poll::Ready(result) = io.poll_receive(cx)
            {
                return Poll::Ready(match result {
                    Ok(0) | Err(_) => Err(End::Closed),
                    Ok(_) => Ok(Event::Input),
                });
            }
            if idle && changed.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Ok(Event::Changed));
            }
            match wait.deadline {
                Some(deadline) => timer.poll(cx, deadline).map(|()| Ok(Event::Deadline)),
                None => Poll::Pending,
            }
        })
        .await
    }
}

/// Ends the session because a message breaks the protocol or a limit.
pub(super) fn protocol_error(e: FrameError) -> End {
    counters::add(Counter::BadMessages, 1);
    let sqlstate = match e {
        FrameError::TooLarge(_) => NotRun::BadMessage.sqlstate(),
        FrameError::UnknownTag(_) | FrameError::BadLength | FrameError::BadBody => "08P01",
    };
    End::Fatal(sqlstate, e.to_string())
}

fn fatal(reason: NotRun) -> End {
    counters::add(Counter::NotRun, 1);
    End::Fatal(reason.sqlstate(), reason.to_string())
}

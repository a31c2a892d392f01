//! The session of one caller after its login.

use super::backend::{self, Severity};
use super::cancel::CancelRegistration;
use super::drain_notifier::DrainState;
use super::frontend::{self, Frame, FrameError};
use super::home_stream::HomeStream;
use super::identity::Identity;
use super::lazy_timer::LazyTimer;
use super::outcome::Failure;
use super::prepared_statements::PreparedStatements;
use super::request::{Request, RequestKind};
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
const MAX_HELD_OUTPUT_BYTES: usize = 16 * 1024;

/// Why a session ended.
#[derive(Debug)]
pub enum SessionEnd {
    /// The caller closed the connection, or it broke.
    Closed,
    /// The entry ends it, with these last words.
    Fatal(&'static str, String),
}

/// What a session waits for besides the end of its connection.
#[derive(Debug, Default)]
pub struct WaitConditions<'a> {
    /// Messages of the home; without a stream, also changes of the snapshot.
    pub home: Option<&'a mut HomeStream>,
    /// Input.
    pub read: bool,
    /// Whether output may stay in the buffer.
    pub hold_output: bool,
    /// A point in time.
    pub deadline: Option<Time>,
}

/// What woke a session up.
#[derive(Debug)]
pub enum WakeEvent {
    /// A message of the home.
    Home(StreamMessage),
    /// The home dropped its end of the stream.
    HomeGone,
    /// The caller sent bytes.
    Input,
    /// The snapshot changed in a way that may end the session.
    SnapshotChanged,
    /// The deadline passed.
    Deadline,
}

/// Route and database for the present manifest and variables.
#[derive(Debug, Clone, Copy)]
pub struct ResolvedRoute {
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
    pub unreported: Option<Failure>,
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
    pub(super) token_from_caller: bool,
    pub(super) resolved: Option<ResolvedRoute>,
    pub(super) prepared_statements: PreparedStatements,
    pub(super) cancel: CancelRegistration,
    pub(super) retries: RetryBudget,
    pub(super) lost_block: Option<LostBlock>,
    /// After an error in a batch without its end, messages are dropped up to `Sync`.
    pub(super) skip_to_sync: bool,
    pub(super) snapshot_changes: Receiver<()>,
    /// Manifest version that the key was checked against.
    pub(super) key_checked_version: u64,
}

impl Session {
    /// Serves the caller until the connection ends.
    pub async fn run(mut self) {
        let Err(end) = self.serve().await;
        match end {
            SessionEnd::Fatal(sqlstate, message) => {
                backend::error_response(&mut self.io.output, Severity::Fatal, sqlstate, &message);
                listener::close(&mut self.io).await;
            }
            // Ends TLS in order, without waiting for a caller that has gone.
            SessionEnd::Closed => {
                future::poll_once(self.io.close()).await;
            }
        }
    }

    async fn serve(&mut self) -> Result<Infallible, SessionEnd> {
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
                frontend::TERMINATE => return Err(SessionEnd::Closed),
                frontend::SYNC => {
                    self.skip_to_sync = false;
                    self.append_ready();
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

    async fn collect_batch(&mut self, first: Frame) -> Result<Request, SessionEnd> {
        let mut request = Request::batch();
        let mut frame = first;
        loop {
            if frame.tag() == frontend::TERMINATE {
                return Err(SessionEnd::Closed);
            }
            if request
                .push(frame, &self.prepared_statements)
                .map_err(protocol_error)?
            {
                return Ok(request);
            }
            frame = self.next_frame(false).await?;
        }
    }

    /// Handles a request outside a transaction block.
    async fn handle(&mut self, request: Request) -> Result<(), SessionEnd> {
        if self.lost_block.is_some() {
            self.answer_in_lost_block(&request);
            return Ok(());
        }
        match request.kind {
            RequestKind::Local => {
                counters::add(Counter::StatementsLocal, 1);
                self.answer_locally(&request, TransactionStatus::Idle);
                Ok(())
            }
            RequestKind::Forbidden => {
                self.refuse_forbidden(&request);
                Ok(())
            }
            RequestKind::Remote => {
                self.check_termination(false)?;
                self.run_transaction(request).await
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
        backend::error_response(&mut self.io.output, Severity::Error, sqlstate, message);
        if request.synced {
            self.append_ready();
        } else {
            self.skip_to_sync = true;
        }
    }

    /// Appends `ReadyForQuery` for a session without a stream.
    pub(super) fn append_ready(&mut self) {
        let status = if self.lost_block.is_some() {
            TransactionStatus::Error
        } else {
            TransactionStatus::Idle
        };
        backend::ready_for_query(&mut self.io.output, status);
    }

    /// Answers a request in a transaction block that was lost, as a database does in a failed block.
    fn answer_in_lost_block(&mut self, request: &Request) {
        let unreported = self.lost_block.and_then(|block| block.unreported);
        if request.block_end.is_some() && request.synced {
            self.lost_block = None;
        } else if let Some(block) = &mut self.lost_block {
            block.unreported = None;
        }
        match (unreported, request.block_end) {
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
    async fn next_frame(&mut self, idle: bool) -> Result<Frame, SessionEnd> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return Ok(frame);
            }
            if idle && self.io.input.is_empty() {
                self.check_termination(true)?;
                self.io.shrink();
            }
            let wait = WaitConditions {
                read: true,
                ..WaitConditions::default()
            };
            if let WakeEvent::SnapshotChanged = self.wait(wait).await? {
                self.snapshot_changes = self.entry.drain_notifier.subscribe();
            }
        }
    }

    /// Takes a whole message out of the input.
    pub(super) fn take_frame(&mut self) -> Result<Option<Frame>, SessionEnd> {
        let max = self.entry.settings.traffic.max_message;
        Frame::take(&mut self.io.input, max).map_err(protocol_error)
    }

    /// Ends the session when the process stops, the instance is out of service, or the key was withdrawn.
    fn check_termination(&mut self, idle: bool) -> Result<(), SessionEnd> {
        let snapshot = self.entry.snapshots.load();
        if snapshot.manifest_version != self.key_checked_version {
            if !self.identity.is_in_force(&snapshot.manifest) {
                return Err(fatal_not_run(NotRun::KeyWithdrawn));
            }
            self.key_checked_version = snapshot.manifest_version;
        }
        match self
            .entry
            .drain_notifier
            .drain_state(snapshot.admission, clock::now())
        {
            DrainState::Inactive => Ok(()),
            DrainState::IdleSessions if !idle => Ok(()),
            DrainState::IdleSessions | DrainState::AllSessions if idle => Err(SessionEnd::Fatal(
                "57P01",
                "this instance is stopping or out of service; connect again".to_owned(),
            )),
            DrainState::IdleSessions | DrainState::AllSessions => Err(fatal_not_run(NotRun::Draining)),
        }
    }

    /// Sends output and waits for the next event.
    pub(super) async fn wait(&mut self, wait: WaitConditions<'_>) -> Result<WakeEvent, SessionEnd> {
        let Self {
            io,
            timer,
            snapshot_changes,
            ..
        } = self;
        let mut home_stream = wait.home;
        let idle = home_stream.is_none();
        // A home in this process speaks only while it is polled here. Listening to its channel as well would wake this
        // very task, and with it another thread.
        let remote = home_stream.as_ref().filter(|home_stream| !home_stream.is_local());
        let remote = remote.map(|home_stream| home_stream.stream_end.rx.clone());
        let recv = async {
            match &remote {
                Some(rx) => rx.recv().await.map_or(WakeEvent::HomeGone, WakeEvent::Home),
                None => future::pending().await,
            }
        };
        pin!(recv);
        let changed = snapshot_changes.recv();
        pin!(changed);
        future::poll_fn(|cx| {
            if let Some(home_stream) = &mut home_stream {
                home_stream.poll_home(cx);
                if io.has_output_room()
                    && let Some(event) = home_stream.try_event()
                {
                    return Poll::Ready(Ok(event));
                }
            }
            if (!wait.hold_output || io.output.len() > MAX_HELD_OUTPUT_BYTES)
                && let Poll::Ready(Err(_)) = io.poll_send(cx)
            {
                return Poll::Ready(Err(SessionEnd::Closed));
            }
            if io.has_output_room()
                && let Poll::Ready(event) = recv.as_mut().poll(cx)
            {
                return Poll::Ready(Ok(event));
            }
            if wait.read
                && let Poll::Ready(result) = io.poll_receive(cx)
            {
                return Poll::Ready(match result {
                    Ok(0) | Err(_) => Err(SessionEnd::Closed),
                    Ok(_) => Ok(WakeEvent::Input),
                });
            }
            if idle && changed.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Ok(WakeEvent::SnapshotChanged));
            }
            match wait.deadline {
                Some(deadline) => timer.poll(cx, deadline).map(|()| Ok(WakeEvent::Deadline)),
                None => Poll::Pending,
            }
        })
        .await
    }
}

/// Ends the session because a message breaks the protocol or a limit.
pub(super) fn protocol_error(e: FrameError) -> SessionEnd {
    counters::add(Counter::BadMessages, 1);
    let sqlstate = match e {
        FrameError::TooLarge(_) => NotRun::BadMessage.sqlstate(),
        FrameError::UnknownTag(_) | FrameError::InvalidLength | FrameError::MalformedBody => "08P01",
    };
    SessionEnd::Fatal(sqlstate, e.to_string())
}

fn fatal_not_run(reason: NotRun) -> SessionEnd {
    counters::add(Counter::NotRun, 1);
    SessionEnd::Fatal(reason.sqlstate(), reason.to_string())
}

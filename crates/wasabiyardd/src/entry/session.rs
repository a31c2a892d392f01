//! The session of a caller after its login: its main loop, and the one place where it waits for events.

use super::backend::{self, Severity};
use super::caller_identity::CallerIdentity;
use super::cancel::CancelRegistration;
use super::drain_notifier::DrainState;
use super::frontend::{self, Frame, FrameError};
use super::home_stream::HomeStream;
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

/// Output above this size is sent even when more is about to follow.
const MAX_HELD_OUTPUT_BYTES: usize = 16 * 1024;

/// Why a session ended.
#[derive(Debug)]
pub enum SessionEnd {
    /// The caller closed the connection, or the connection broke.
    Closed,
    /// The entry ends it with an error of this SQLSTATE and message.
    Fatal(&'static str, String),
}

/// What a session waits for, besides the end of its connection.
#[derive(Debug, Default)]
pub struct WaitConditions<'a> {
    /// The stream whose messages to wait for. Without one, the session also wakes at changes of the snapshot.
    pub home: Option<&'a mut HomeStream>,
    /// Whether to wait for input of the caller.
    pub read: bool,
    /// Whether output may stay in the buffer, up to a limit.
    pub hold_output: bool,
    /// When to stop waiting; `None` for never.
    pub deadline: Option<Time>,
}

/// What woke a session up.
#[derive(Debug)]
pub enum WakeEvent {
    /// A message of the home.
    Home(StreamMessage),
    /// The home dropped its end of the stream without reporting an outcome.
    HomeGone,
    /// The caller sent bytes, which are in the input buffer.
    Input,
    /// The snapshot changed in a way that may end the session.
    SnapshotChanged,
    /// The deadline passed.
    Deadline,
}

/// Route and database that the session variables select under one manifest.
#[derive(Debug, Clone, Copy)]
pub struct ResolvedRoute {
    /// Version of the manifest that the references point into.
    pub version: u64,
    /// The route.
    pub route: Route,
    /// The database.
    pub database: Database,
}

/// A transaction block that was lost, and that the caller has yet to end.
#[derive(Debug, Clone, Copy)]
pub struct LostBlock {
    /// The failure, until it is reported to the caller; `None` afterwards.
    pub unreported: Option<Failure>,
}

/// State of one session.
#[derive(Debug)]
pub struct Session {
    pub(super) entry: Arc<Entry>,
    pub(super) io: CallerIo,
    pub(super) timer: LazyTimer,
    pub(super) identity: CallerIdentity,
    /// Name of the service, from the database name of the startup message.
    pub(super) service: Box<str>,
    /// Name of the route; `None` until the caller sets one.
    pub(super) route: Option<String>,
    /// Text that selects a database of the service.
    pub(super) shard: Option<String>,
    pub(super) token: SessionToken,
    /// Whether the caller supplied the token, so that it covers every write of the session.
    pub(super) token_from_caller: bool,
    /// Result of the last resolution; `None` after a variable changed.
    pub(super) resolved: Option<ResolvedRoute>,
    pub(super) prepared_statements: PreparedStatements,
    pub(super) cancel: CancelRegistration,
    pub(super) retries: RetryBudget,
    /// Set while the caller believes that a lost transaction block is open.
    pub(super) lost_block: Option<LostBlock>,
    /// Set after an error in a batch whose end was not received yet: messages are dropped up to `Sync`.
    pub(super) skip_to_sync: bool,
    /// Closed when the snapshot changes in a way that may end the session.
    pub(super) snapshot_changes: Receiver<()>,
    /// Version of the manifest that the key was last checked against; 0 before the first check.
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
            // Ends TLS in order if that works at once, without waiting for a caller that is gone.
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
                // `COPY` messages are left over from a refused COPY; a `Flush` has no effect outside a batch.
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

    /// Appends an error and ends the request.
    pub(super) fn finish_with_error(&mut self, request: &Request, sqlstate: &str, message: &str) {
        backend::error_response(&mut self.io.output, Severity::Error, sqlstate, message);
        if request.synced {
            self.append_ready();
        } else {
            self.skip_to_sync = true;
        }
    }

    /// Appends `ReadyForQuery` for a session that has no open stream.
    pub(super) fn append_ready(&mut self) {
        let status = if self.lost_block.is_some() {
            TransactionStatus::Error
        } else {
            TransactionStatus::Idle
        };
        backend::ready_for_query(&mut self.io.output, status);
    }

    /// Answers a request in a lost transaction block as a database does in a failed one: statements are ignored until
    /// the block ends. A failure that the caller does not know yet is reported first.
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

    /// Waits for the next message. `idle` says that no request has begun, so that the session may end here.
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

    /// Takes a whole message from the input buffer. `None` when more bytes are needed.
    pub(super) fn take_frame(&mut self) -> Result<Option<Frame>, SessionEnd> {
        let max = self.entry.settings.traffic.max_message;
        Frame::take(&mut self.io.input, max).map_err(protocol_error)
    }

    /// Ends the session when the process stops, the instance drains or is out of service, or the key was withdrawn.
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
        // A home in this process sends only while it is polled here. A receive on its channel would make its messages
        // wake this very task, and with it another thread.
        let remote = home_stream.as_ref().filter(|home_stream| !home_stream.is_local());
        let remote = remote.map(|home_stream| home_stream.stream_endpoint.rx.clone());
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

/// The end of a session whose caller sent a message that breaks the protocol or a limit.
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

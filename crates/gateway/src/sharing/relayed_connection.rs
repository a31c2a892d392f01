//! A connection to a backend server that another instance holds.

use super::connection_sharing::ConnectionSharing;
use super::frames::{Failure, LeaseNumber, LeaseSpec, Refusal, RelayedCommand, Reply, Request, Timing};
use super::incoming_link::{LeaseOpening, ReplySink, TimedCommand};
use super::lease_server::LeaseServer;
use super::link_socket::MAX_PAYLOAD_BYTES;
use super::outgoing_link::{LinkEvents, OutgoingLink};
use super::suspects::Suspicion;
use crate::{Answer, Command, ConnectionError, SessionValues, ShedCause, TransactionStatus, clock};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::InstanceId;

/// Fraction of a statement's time in which the holder must confirm its receipt.
const RECEIPT_FRACTION: f64 = 0.1;
/// Upper bound of that time.
const MAX_RECEIPT_TIME: Duration = Duration::from_millis(100);
/// Lower bound of that time: the holder's delay before a confirmation and the way there and back.
const MIN_RECEIPT_TIME: Duration = Duration::from_millis(40);

/// Largest statement: a definition and its arguments, each of the size of a message.
const MAX_STATEMENT_BYTES: usize = 2 * 1024 * 1024;

/// Why a command was not sent to the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotSent {
    /// The holder's queue is too long for the time left.
    Overloaded {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The holder does not use the server as the primary of this epoch.
    NotPrimary,
    /// The holder is silent, unreachable, leaving or without its server. Another way may work at once.
    NoHolder(&'static str),
}

/// Why a relayed command has no answer.
#[derive(Debug)]
pub enum RelayError {
    /// Nothing was sent to the server.
    NotSent(NotSent),
    /// As for a connection of this instance.
    Connection(ConnectionError),
    /// The holder must no longer use the server as the primary.
    Revoked,
}

#[derive(Debug)]
enum Path {
    Link {
        link: Rc<OutgoingLink>,
        lease: LeaseNumber,
    },
    Local {
        server: Rc<dyn LeaseServer>,
        commands: Option<Sender<TimedCommand>>,
        opening: Option<(Receiver<TimedCommand>, Sender<Reply>)>,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The holder knows nothing of the lease.
    Unopened,
    /// A request is under way.
    Waiting,
    /// A connection and an execution slot are reserved.
    Reserved,
    /// A transaction is open.
    InTransaction,
    /// The holder has ended the lease.
    Ended,
}

/// A lease of a connection at a holder. It is opened with its first command; dropping it ends it.
#[derive(Debug)]
pub struct RelayedConnection {
    sharing: Rc<ConnectionSharing>,
    holder: InstanceId,
    path: Path,
    spec: LeaseSpec,
    replies: Receiver<Reply>,
    state: State,
    recognises_repeats: bool,
    queued: Duration,
    expected_wait: Duration,
}

impl RelayedConnection {
    pub(super) fn over_link(sharing: Rc<ConnectionSharing>, link: Rc<OutgoingLink>, spec: LeaseSpec) -> Self {
        let (lease, replies) = link.add_lease();
        Self::new(
            sharing,
            link.peer.clone(),
            Path::Link { link, lease },
            spec,
            replies,
        )
    }

    pub(super) fn local(
        sharing: Rc<ConnectionSharing>,
        own_id: InstanceId,
        server: Rc<dyn LeaseServer>,
        spec: LeaseSpec,
    ) -> Self {
        let (commands, receiver) = async_channel::bounded(1);
        let (sender, replies) = async_channel::bounded(2);
        let path = Path::Local {
            server,
            commands: Some(commands),
            opening: Some((receiver, sender)),
        };
        Self::new(sharing, own_id, path, spec, replies)
    }

    const fn new(
        sharing: Rc<ConnectionSharing>,
        holder: InstanceId,
        path: Path,
        spec: LeaseSpec,
        replies: Receiver<Reply>,
    ) -> Self {
        Self {
            sharing,
            holder,
            path,
            spec,
            replies,
            state: State::Unopened,
            recognises_repeats: true,
            queued: Duration::ZERO,
            expected_wait: Duration::ZERO,
        }
    }

    /// Whether the holder is this instance.
    pub const fn is_local(&self) -> bool {
        matches!(self.path, Path::Local { .. })
    }

    /// Whether the next answer can be told from a repeated one.
    pub const fn recognises_repeats(&self) -> bool {
        self.recognises_repeats
    }

    /// Time that the last command waited at the holder.
    pub const fn queued(&self) -> Duration {
        self.queued
    }

    /// Wait of new work that the holder expected with its last answer.
    pub const fn expected_wait(&self) -> Duration {
        self.expected_wait
    }

    /// Sets the session values that the connection must have. The holder sets them before the first command.
    pub fn set_values(&mut self, values: &SessionValues) {
        assert_eq!(
            self.state,
            State::Unopened,
            "the lease was opened with other values"
        );
        self.spec.values.clone_from(values);
    }

    /// Reserves a connection and an execution slot, so that a write is only sent to a holder that is known to respond.
    ///
    /// # Errors
    ///
    /// When there is none; nothing was sent to the server.
    pub async fn reserve(&mut self, timeout: Duration) -> Result<(), RelayError> {
        match self.exchange(None, timeout).await? {
            Reply::Granted => {
                self.note_response(true);
                self.state = State::Reserved;
                Ok(())
            }
            reply => self.on_reply(reply).map(drop),
        }
    }

    /// Runs one command. After an error the connection must not be used again.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn run(&mut self, cmd: Command<'_>, timeout: Duration) -> Result<Answer, RelayError> {
        let Some(command) = RelayedCommand::new(cmd) else {
            return Err(RelayError::Connection(ConnectionError::Unreadable(
                "a command that is not relayed",
            )));
        };
        let reply = self.exchange(Some(command), timeout).await?;
        self.on_reply(reply)
    }

    fn on_reply(&mut self, reply: Reply) -> Result<Answer, RelayError> {
        match reply {
            Reply::Granted => Err(RelayError::Connection(ConnectionError::OutOfOrder)),
            Reply::Answered {
                answer,
                recognises_repeats,
                queue,
            } => {
                self.note_response(true);
                self.recognises_repeats = recognises_repeats;
                self.queued = Duration::from_micros(queue.queued_micros);
                self.expected_wait = Duration::from_micros(queue.expected_wait_micros);
                self.state = match answer.transaction_status {
                    TransactionStatus::Idle => State::Ended,
                    TransactionStatus::InTransaction | TransactionStatus::Failed => State::InTransaction,
                };
                Ok(answer.into())
            }
            Reply::Refused(refusal) => {
                self.state = State::Ended;
                Err(RelayError::NotSent(self.on_refusal(refusal)))
            }
            Reply::Failed(failure) => {
                self.note_response(false);
                self.state = State::Ended;
                Err(match failure {
                    Failure::Timeout => RelayError::Connection(ConnectionError::Timeout),
                    Failure::OutOfOrder => RelayError::Connection(ConnectionError::OutOfOrder),
                    Failure::Lost => RelayError::Connection(ConnectionError::Closed),
                    Failure::NoMemory => RelayError::Connection(ConnectionError::Shed(ShedCause::Memory)),
                    Failure::Revoked => RelayError::Revoked,
                })
            }
        }
    }

    fn on_refusal(&self, refusal: Refusal) -> NotSent {
        match refusal {
            Refusal::Overloaded { retry_after_ms } => {
                self.note_response(false);
                NotSent::Overloaded {
                    retry_after: Duration::from_millis(retry_after_ms),
                }
            }
            Refusal::NotPrimary => {
                self.note_response(false);
                NotSent::NotPrimary
            }
            Refusal::ReservationExpired => NotSent::NoHolder("reservation_expired"),
            Refusal::NotInService => self.suspect_as_holder("not_in_service"),
            Refusal::ServerUnreachable => self.suspect_as_holder("holder_without_server"),
            Refusal::Leaving => {
                self.sharing.on_leaving(&self.holder);
                NotSent::NoHolder("holder_leaving")
            }
        }
    }

    /// Sends a request and waits for its reply. An instance that gives no sign of receipt becomes suspect. The reply is then
    /// still awaited if the command may have taken effect and cannot be repeated.
    async fn exchange(
        &mut self,
        command: Option<RelayedCommand>,
        timeout: Duration,
    ) -> Result<Reply, RelayError> {
        if let Path::Link { link, .. } = &self.path
            && matches!(self.state, State::Unopened | State::Reserved)
        {
            if link.is_closed() {
                self.state = State::Ended;
                return Err(RelayError::NotSent(self.on_link_lost()));
            }
            if self.spec.value_bytes() > MAX_PAYLOAD_BYTES - MAX_STATEMENT_BYTES {
                self.state = State::Ended;
                return Err(RelayError::NotSent(NotSent::NoHolder("message_too_large")));
            }
        }
        let before = std::mem::replace(&mut self.state, State::Waiting);
        let must_not_repeat =
            before == State::Reserved || matches!(command, Some(RelayedCommand::Commit { .. }));
        let reserves = command.is_none();
        let number = self.send(before, command, timeout);
        let receipt_time = timeout
            .mul_f64(RECEIPT_FRACTION)
            .clamp(MIN_RECEIPT_TIME, MAX_RECEIPT_TIME);
        let reply = async { Some(self.replies.recv().await) };
        let overdue = async {
            Timer::after(receipt_time).await;
            None
        };
        let mut reply = reply.or(overdue).await;
        if reply.is_none() {
            if !self.was_received(number) {
                let not_sent = self.on_silence();
                if before == State::Unopened {
                    // A read, a start of a transaction or a reservation, which may be repeated elsewhere.
                    return Err(RelayError::NotSent(not_sent));
                }
                if !must_not_repeat {
                    return Err(RelayError::Connection(ConnectionError::Timeout));
                }
            }
            reply = Some(self.replies.recv().await);
        }
        match reply.expect("a reply or the end of the link") {
            Ok(reply) => Ok(reply),
            Err(_closed) => {
                self.state = State::Ended;
                let never_opened = matches!(&self.path, Path::Link { link, .. } if !link.was_opened());
                let not_sent = self.on_link_lost();
                if never_opened || reserves {
                    return Err(RelayError::NotSent(not_sent));
                }
                let lost = std::io::Error::other("the link to the connection holder was lost");
                Err(RelayError::Connection(ConnectionError::Lost(lost)))
            }
        }
    }

    /// Sends a request and returns its number on the link.
    fn send(&mut self, before: State, command: Option<RelayedCommand>, timeout: Duration) -> u64 {
        let now = clock::now();
        let timing = Timing::new(now, timeout);
        let opens = before == State::Unopened;
        if opens {
            let mut suspects = self.sharing.suspects().borrow_mut();
            suspects.on_send(&self.holder, &self.spec.server, now);
        }
        match &mut self.path {
            Path::Link { link, lease } => {
                let lease = *lease;
                link.send(match command {
                    command if opens => Request::Open {
                        lease,
                        timing,
                        spec: self.spec.clone(),
                        command,
                    },
                    Some(command) => Request::Run {
                        lease,
                        timing,
                        command,
                    },
                    None => Request::Close { lease },
                })
            }
            Path::Local {
                server,
                commands,
                opening,
            } => {
                let deadline = now + timeout;
                if let Some((receiver, replies)) = opening.take() {
                    Rc::clone(server).serve_lease(LeaseOpening {
                        spec: self.spec.clone(),
                        command,
                        deadline,
                        commands: receiver,
                        replies: ReplySink::Local(replies),
                    });
                } else if let (Some(commands), Some(command)) = (commands, command) {
                    // The lease has ended if the command cannot be sent, and its reply says so.
                    drop(commands.try_send(TimedCommand { command, deadline }));
                }
                0
            }
        }
    }

    fn was_received(&self, number: u64) -> bool {
        match &self.path {
            Path::Link { link, .. } => link.was_received(number),
            Path::Local { .. } => true,
        }
    }

    fn note_response(&self, reaches_server: bool) {
        let mut suspects = self.sharing.suspects().borrow_mut();
        suspects.on_response(&self.holder, &self.spec.server, reaches_server);
    }

    fn on_silence(&self) -> NotSent {
        let cause = "holder_silent";
        if let Path::Link { link, .. } = &self.path {
            self.sharing.on_silence(link, cause);
        }
        NotSent::NoHolder(cause)
    }

    fn on_link_lost(&self) -> NotSent {
        let cause = "holder_unreachable";
        if let Path::Link { link, .. } = &self.path {
            self.sharing.on_link_lost(link, cause);
        }
        NotSent::NoHolder(cause)
    }

    /// Avoids the holder for this server only.
    fn suspect_as_holder(&self, cause: &'static str) -> NotSent {
        self.note_response(false);
        if !self.is_local() {
            let suspicion = Suspicion {
                instance: self.holder.clone(),
                server: Some(Arc::clone(&self.spec.server)),
            };
            self.sharing.on_suspicion(suspicion, cause);
        }
        NotSent::NoHolder(cause)
    }
}

impl Drop for RelayedConnection {
    fn drop(&mut self) {
        if let Path::Link { link, lease } = &self.path {
            link.remove_lease(*lease);
            if !matches!(self.state, State::Unopened | State::Ended) {
                link.send(Request::Close { lease: *lease });
            }
        }
    }
}

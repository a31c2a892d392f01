//! A link from an instance that uses the connections of this one.

use super::frames::{LeaseNumber, LeaseSpec, RelayedCommand, Reply, Request, Response, Timing};
use super::link_socket::{self, LatenessClock, LinkError, Socket};
use super::suspension::SuspensionDetector;
use crate::clock;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use futures_util::StreamExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use wasabiyard_model::Time;

/// Time after which the receipt of a request is confirmed, when its reply is not ready. It leaves most statements with
/// one message each way, and is well below the shortest time in which a requester expects a sign.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(12);
/// Time without a request after which a link is closed. The other end opens it again when it needs it.
const IDLE_LINK_TIMEOUT: Duration = Duration::from_secs(90);

/// A command with the time until which its answer is of use.
#[derive(Debug)]
pub struct TimedCommand {
    /// The command.
    pub command: RelayedCommand,
    /// When it must no longer be sent to the server.
    pub deadline: Time,
}

/// A lease that an instance asks for.
#[derive(Debug)]
pub struct LeaseOpening {
    /// What the lease is for.
    pub spec: LeaseSpec,
    /// The first command; `None` to reserve a connection and an execution slot.
    pub command: Option<RelayedCommand>,
    /// When the first command must no longer be sent to the server.
    pub deadline: Time,
    /// Later commands; closed when the instance ends the lease or its link is lost.
    pub commands: Receiver<TimedCommand>,
    /// Where the replies go.
    pub replies: ReplySink,
}

/// Where the replies to a lease go.
#[derive(Debug)]
pub enum ReplySink {
    /// To another instance.
    Link(Rc<IncomingLink>, LeaseNumber),
    /// To a caller of this instance.
    Local(Sender<Reply>),
}

impl ReplySink {
    /// Sends a reply. It is dropped if nobody waits for it any more.
    pub fn send(&self, reply: Reply) {
        match self {
            Self::Link(link, lease) => link.reply(*lease, reply),
            // A caller that has given up needs no reply.
            Self::Local(replies) => drop(replies.try_send(reply)),
        }
    }
}

impl Drop for ReplySink {
    fn drop(&mut self) {
        if let Self::Link(link, lease) = self {
            link.leases.borrow_mut().remove(lease);
        }
    }
}

/// State of a link that its tasks and its leases share.
#[derive(Debug)]
pub struct IncomingLink {
    responses: Sender<Response>,
    leases: RefCell<HashMap<LeaseNumber, Sender<TimedCommand>>>,
    received: Cell<u64>,
    confirmed: Cell<u64>,
    confirmation_due: Cell<bool>,
}

impl IncomingLink {
    fn reply(&self, lease: LeaseNumber, reply: Reply) {
        let received = self.received.get();
        self.confirmed.set(received);
        // The link may be lost; its leases end with it.
        drop(self.responses.try_send(Response::Reply {
            lease,
            reply,
            received,
        }));
    }

    /// Tells the other end that this instance grants no more leases.
    pub(super) fn send_leaving(&self) {
        drop(self.responses.try_send(Response::Leaving));
    }
}

/// Runs a link until it is lost or `stop` is closed. Each new lease is passed to `serve`.
pub(super) async fn run<F>(
    socket: Socket,
    suspension: &SuspensionDetector,
    stop: Receiver<()>,
    on_open: impl FnOnce(&Rc<IncomingLink>),
    mut serve: F,
) -> LinkError
where
    F: FnMut(LeaseOpening),
{
    let (responses, queue) = async_channel::unbounded();
    let link = Rc::new(IncomingLink {
        responses,
        leases: RefCell::default(),
        received: Cell::new(0),
        confirmed: Cell::new(0),
        confirmation_due: Cell::new(false),
    });
    on_open(&link);
    let (mut sink, mut stream) = socket.split();
    let write = async {
        loop {
            let Ok(first) = queue.recv().await else {
                return LinkError::Closed;
            };
            if let Err(e) = link_socket::write_batch(&mut sink, &first, || queue.try_recv().ok()).await {
                return e;
            }
        }
    };
    let (due_tx, due_rx) = async_channel::bounded(1);
    let confirm = async {
        while due_rx.recv().await.is_ok() {
            Timer::after(CONFIRMATION_DELAY).await;
            link.confirmation_due.set(false);
            let received = link.received.get();
            if link.confirmed.get() < received {
                link.confirmed.set(received);
                drop(link.responses.try_send(Response::Received { received }));
            }
        }
        LinkError::Closed
    };
    let read = async {
        let mut lateness = LatenessClock::default();
        loop {
            let request = match link_socket::read(&mut stream).await {
                Ok(request) => request,
                Err(e) => return e,
            };
            let now = clock::now();
            if suspension.is_overdue(now) {
                return LinkError::Suspended;
            }
            link.received.set(link.received.get() + 1);
            if !link.confirmation_due.replace(true) {
                // Full only while the confirmation is under way already.
                let _full = due_tx.try_send(());
            }
            on_request(&link, request, &mut lateness, now, &mut serve);
        }
    };
    let idle = async {
        let mut received_before = 0;
        loop {
            Timer::after(IDLE_LINK_TIMEOUT).await;
            let received = link.received.get();
            if received == received_before {
                return LinkError::Closed;
            }
            received_before = received;
        }
    };
    let stopped = async {
        // The channel carries no messages; it is closed when all links are to end.
        let _closed = stop.recv().await;
        LinkError::Suspended
    };
    let error = stopped.or(read.or(write).or(confirm)).or(idle).await;
    // The leases of the link see that their channels are closed.
    link.leases.borrow_mut().clear();
    error
}

fn on_request<F>(
    link: &Rc<IncomingLink>,
    request: Request,
    lateness: &mut LatenessClock,
    now: Time,
    serve: &mut F,
) where
    F: FnMut(LeaseOpening),
{
    let mut deadline_of = |timing: Timing| {
        let late = lateness.on_arrival(timing.sent, now);
        now + Duration::from_micros(timing.left_micros).saturating_sub(late)
    };
    match request {
        Request::Open {
            lease,
            timing,
            spec,
            command,
        } => {
            let (tx, commands) = async_channel::bounded(1);
            link.leases.borrow_mut().insert(lease, tx);
            serve(LeaseOpening {
                spec,
                command,
                deadline: deadline_of(timing),
                commands,
                replies: ReplySink::Link(Rc::clone(link), lease),
            });
        }
        Request::Run {
            lease,
            timing,
            command,
        } => {
            let deadline = deadline_of(timing);
            let mut leases = link.leases.borrow_mut();
            // The requester learns of a lease that has ended from the reply that was sent then.
            if let Some(commands) = leases.get(&lease)
                && commands.try_send(TimedCommand { command, deadline }).is_err()
            {
                // A second command before the reply to the first breaks the protocol.
                leases.remove(&lease);
            }
        }
        Request::Close { lease } => drop(link.leases.borrow_mut().remove(&lease)),
    }
}

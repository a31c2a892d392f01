//! A link to a connection holder, from the side of the instance that uses its connections.

use super::frames::{LeaseNumber, Reply, Request, Response};
use super::link_socket::{self, LinkError, LocalEnd, RemoteEnd, Socket};
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use futures_util::StreamExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use wasabiyard_model::InstanceId;

/// A link that is open or being opened. Requests are queued until it is open. Its tasks end when it is lost, or when no
/// lease and no table refers to it any more.
#[derive(Debug)]
pub(super) struct OutgoingLink {
    pub(super) peer: InstanceId,
    requests: Sender<Request>,
    shared: Rc<LinkState>,
}

/// What the tasks of a link and its users share.
#[derive(Debug, Default)]
struct LinkState {
    /// Replies by the leases that wait for them.
    waiting: RefCell<HashMap<LeaseNumber, Sender<Reply>>>,
    next_lease: Cell<LeaseNumber>,
    /// Requests queued for sending, and those that the holder has confirmed.
    queued: Cell<u64>,
    received: Cell<u64>,
    /// Whether the holder gave no sign of receipt in time, and none since.
    silent: Cell<bool>,
    opened: Cell<bool>,
    closed: Cell<bool>,
}

/// What a link needs to be opened.
#[derive(Debug, Clone)]
pub(super) struct LinkTarget {
    pub(super) peer: InstanceId,
    pub(super) address: SocketAddr,
    pub(super) secret: Arc<[u8]>,
    pub(super) local: LocalEnd,
}

/// Events of a link for its owner.
pub(super) trait LinkEvents {
    /// The holder is about to stop.
    fn on_leaving(&self, peer: &InstanceId);

    /// A holder that was silent responds again.
    fn on_recovered(&self, peer: &InstanceId);
}

impl OutgoingLink {
    /// Creates the link, and the task that opens it and runs it until it is lost.
    pub(super) fn open<E>(target: LinkTarget, events: Rc<E>) -> (Rc<Self>, impl Future<Output = ()>)
    where
        E: LinkEvents + 'static,
    {
        let (requests, queue) = async_channel::unbounded();
        let shared = Rc::new(LinkState::default());
        let link = Rc::new(Self {
            peer: target.peer.clone(),
            requests,
            shared: Rc::clone(&shared),
        });
        let task = async move {
            let result = run(&target, &shared, queue, &*events).await;
            shared.closed.set(true);
            // Whoever waits sees its channel closed.
            shared.waiting.borrow_mut().clear();
            match result {
                LinkError::Closed => {
                    log::debug!(holder:% = target.peer; "link to a connection holder closed");
                }
                e => log::info!(holder:% = target.peer, error:% = e; "link to a connection holder lost"),
            }
        };
        (link, task)
    }

    /// Whether the link can carry no more requests.
    pub(super) fn is_closed(&self) -> bool {
        self.shared.closed.get()
    }

    /// Whether a connection was established, so that queued requests may have been sent.
    pub(super) fn was_opened(&self) -> bool {
        self.shared.opened.get()
    }

    /// Records that the holder is silent. Returns whether it was already.
    pub(super) fn set_silent(&self) -> bool {
        self.shared.silent.replace(true)
    }

    /// Allots the number of a new lease and the channel of its replies.
    pub(super) fn add_lease(&self) -> (LeaseNumber, Receiver<Reply>) {
        let lease = self.shared.next_lease.get();
        self.shared.next_lease.set(lease + 1);
        let (tx, rx) = async_channel::bounded(2);
        if !self.is_closed() {
            self.shared.waiting.borrow_mut().insert(lease, tx);
        }
        (lease, rx)
    }

    /// Forgets a lease. Replies to it that arrive later are dropped.
    pub(super) fn remove_lease(&self, lease: LeaseNumber) {
        self.shared.waiting.borrow_mut().remove(&lease);
    }

    /// Queues a request. Returns its number, which [`Self::was_received`] takes.
    pub(super) fn send(&self, request: Request) -> u64 {
        let number = self.shared.queued.get() + 1;
        self.shared.queued.set(number);
        // A closed link has no more leases, whose holders see that.
        drop(self.requests.try_send(request));
        number
    }

    /// Whether the holder has confirmed the request of this number.
    pub(super) fn was_received(&self, number: u64) -> bool {
        self.shared.received.get() >= number
    }
}

async fn run<E>(target: &LinkTarget, shared: &LinkState, queue: Receiver<Request>, events: &E) -> LinkError
where
    E: LinkEvents,
{
    let (socket, remote) = match link_socket::dial(target.address, &target.local, &target.secret).await {
        Ok(opened) => opened,
        Err(e) => return e,
    };
    if remote.id != target.peer {
        return LinkError::NotAuthentic;
    }
    shared.opened.set(true);
    log_opened(&remote);
    exchange(socket, target, shared, queue, events).await
}

fn log_opened(remote: &RemoteEnd) {
    log::info!(holder:% = remote.id, incarnation:% = remote.incarnation; "link to a connection holder opened");
}

async fn exchange<E>(
    socket: Socket,
    target: &LinkTarget,
    shared: &LinkState,
    queue: Receiver<Request>,
    events: &E,
) -> LinkError
where
    E: LinkEvents,
{
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
    let read = async {
        loop {
            match link_socket::read::<Response, _>(&mut stream).await {
                Ok(response) => on_response(target, shared, response, events),
                Err(LinkError::Closed) => return LinkError::Unexpected("closed by the holder"),
                Err(e) => return e,
            }
        }
    };
    read.or(write).await
}

fn on_response<E>(target: &LinkTarget, shared: &LinkState, response: Response, events: &E)
where
    E: LinkEvents,
{
    if shared.silent.replace(false) {
        events.on_recovered(&target.peer);
    }
    let confirm = |count: u64| shared.received.set(shared.received.get().max(count));
    match response {
        Response::Reply {
            lease,
            reply,
            received,
        } => {
            confirm(received);
            if let Some(waiter) = shared.waiting.borrow().get(&lease) {
                // A lease that was given up meanwhile needs no reply.
                drop(waiter.try_send(reply));
            }
        }
        Response::Received { received } => confirm(received),
        Response::Leaving => events.on_leaving(&target.peer),
    }
}

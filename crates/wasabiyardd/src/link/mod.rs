//! Links to other instances.
//!
//! One WebSocket link joins a pair of instances and carries the streams of both and their control messages. The side
//! that needs a link first dials it; when both dial at the same moment, both links stay.

mod handshake;
mod link_task;
mod liveness;
mod peer_link;
mod stream_table;
mod writer;

pub use handshake::{LinkError, LocalPeer};
pub use stream_table::StreamTable;

use crate::channel::StreamEnd;
use crate::counters::{self, Counter};
use crate::home::ServeFuture;
use async_channel::Sender;
use async_executor::Executor;
use async_io::{Async, Timer};
use peer_link::{PeerLink, Role};
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use wasabiyard_model::{InstanceId, NotRun};
use wasabiyard_wire::{ControlMessage, OpenStream, StreamId};

/// Wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How often the queues are looked at while the process stops.
const FLUSH_INTERVAL: Duration = Duration::from_millis(10);

/// Serves a stream in this process.
pub type ServeStream = Arc<dyn Fn(StreamId, OpenStream, StreamEnd) -> ServeFuture + Send + Sync>;
/// Control messages that were received, with the sender and the address of its peer listener.
pub type ControlSender = Sender<(InstanceId, SocketAddr, ControlMessage)>;

/// All links of this process.
#[derive(Debug, Clone)]
pub struct Links(Arc<Shared>);

struct Shared {
    local: LocalPeer,
    executor: Arc<Executor<'static>>,
    serve: ServeStream,
    control: ControlSender,
    /// Streams of peers that were accepted.
    accepted: AtomicU64,
    /// By the address of the peer's listener.
    links: Mutex<HashMap<SocketAddr, Arc<PeerLink>>>,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Links")
            .field("links", &self.links)
            .finish_non_exhaustive()
    }
}

impl Links {
    /// No links yet. Streams of peers go to `serve`, control messages to `control`.
    pub fn new(
        local: LocalPeer,
        executor: Arc<Executor<'static>>,
        serve: ServeStream,
        control: ControlSender,
    ) -> Self {
        Self(Arc::new(Shared {
            local,
            executor,
            serve,
            control,
            accepted: AtomicU64::new(0),
            links: Mutex::default(),
        }))
    }

    /// Accepts links of peers for as long as the process runs.
    ///
    /// # Errors
    ///
    /// When the port cannot be opened.
    pub fn listen(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let socket = Async::<TcpListener>::bind(address)?;
        let address = socket.get_ref().local_addr()?;
        let links = self.clone();
        self.0.executor.spawn(links.accept(socket)).detach();
        Ok(address)
    }

    async fn accept(self, socket: Async<TcpListener>) {
        loop {
            match socket.accept().await {
                Ok((stream, _)) => {
                    let links = self.clone();
                    self.0.executor.spawn(link_task::accepted(links, stream)).detach();
                }
                Err(e) => {
                    log::warn!(error:% = e; "a peer's connection could not be accepted");
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Opens a stream to the home at `to`. Returns the name that the stream has on the link.
    ///
    /// # Errors
    ///
    /// When the link was lost in this moment or its queue is full. Nothing was sent then.
    pub fn open(
        &self,
        to: SocketAddr,
        id: StreamId,
        open: OpenStream,
    ) -> Result<(StreamId, StreamEnd), NotRun> {
        self.link(to).open(id, open)
    }

    /// Sends a control message. Drops it when the queue of the link is full.
    pub fn send_control(&self, to: SocketAddr, control: ControlMessage) {
        if !self.link(to).send_control(control) {
            counters::add(Counter::ControlDropped, 1);
        }
    }

    /// Number of links.
    pub fn len(&self) -> usize {
        self.links().len()
    }

    /// Whether there is no link.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Streams of peers: how many run in this process, and how many were accepted so far.
    pub fn home_streams(&self) -> (usize, u64) {
        let running = self.links().values().map(|link| link.table().homes()).sum();
        (running, self.0.accepted.load(Ordering::Relaxed))
    }

    /// Waits until all queues are empty.
    pub async fn flush(&self) {
        while self.links().values().any(|link| !link.is_flushed()) {
            Timer::after(FLUSH_INTERVAL).await;
        }
    }

    /// The link to `to`, dialled when there is none.
    fn link(&self, to: SocketAddr) -> Arc<PeerLink> {
        let mut links = self.links();
        if let Some(link) = links.get(&to) {
            return Arc::clone(link);
        }
        let (link, queues) = PeerLink::new(to, Role::Dialer);
        links.insert(to, Arc::clone(&link));
        let task = link_task::dial(self.clone(), Arc::clone(&link), queues);
        self.0.executor.spawn(task).detach();
        link
    }

    /// Makes an accepted link the one to its peer, unless there is one already.
    fn add(&self, link: &Arc<PeerLink>) {
        self.links()
            .entry(link.peer())
            .or_insert_with(|| Arc::clone(link));
    }

    fn remove(&self, link: &Arc<PeerLink>) {
        let mut links = self.links();
        if links.get(&link.peer()).is_some_and(|l| Arc::ptr_eq(l, link)) {
            links.remove(&link.peer());
        }
    }

    fn links(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<PeerLink>>> {
        self.0.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

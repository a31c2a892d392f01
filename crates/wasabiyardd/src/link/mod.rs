//! Links to other instances.
//!
//! One WebSocket link connects a pair of instances. It multiplexes the streams that either side opens and their control
//! messages. The side that needs the link first dials it; when both dial at the same time, both links remain.

mod handshake;
mod link_task;
mod liveness;
mod peer_link;
mod stream_table;
mod writer;

pub use handshake::{LinkError, LocalPeer};
pub use stream_table::StreamTable;

use crate::channel::StreamEndpoint;
use crate::counters::{self, Counter};
use crate::home::ServeFuture;
use async_channel::Sender;
use async_executor::Executor;
use async_io::{Async, Timer};
use peer_link::{LinkRole, PeerLink};
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use wasabiyard_model::{InstanceId, NotRun};
use wasabiyard_wire::{ControlMessage, OpenStream, StreamId};

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Period in which [`Links::flush`] checks the queues.
const FLUSH_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Serves a stream at a home in this process.
pub type ServeStream = Arc<dyn Fn(StreamId, OpenStream, StreamEndpoint) -> ServeFuture + Send + Sync>;
/// Channel for received control messages, each with the sender and the address of its peer listener.
pub type ControlSender = Sender<(InstanceId, SocketAddr, ControlMessage)>;

/// All links of this process.
#[derive(Debug, Clone)]
pub struct Links(Arc<Shared>);

struct Shared {
    local: LocalPeer,
    executor: Arc<Executor<'static>>,
    serve: ServeStream,
    control: ControlSender,
    /// Number of streams accepted from peers since the start.
    accepted_streams: AtomicU64,
    /// Links by the address of the peer's listener.
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
    /// Creates a set without links. Streams that peers open are passed to `serve`, control messages to `control`.
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
            accepted_streams: AtomicU64::new(0),
            links: Mutex::default(),
        }))
    }

    /// Starts to accept links of peers, for as long as the executor runs. Returns the address of the listener.
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
                    self.0
                        .executor
                        .spawn(link_task::serve_accepted(links, stream))
                        .detach();
                }
                Err(e) => {
                    log::warn!(error:% = e; "cannot accept a peer connection");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Opens a stream to the home at `to`. Returns the identifier of the stream on the link, which may differ from
    /// `id`.
    ///
    /// # Errors
    ///
    /// When the link has just been lost or its queue is full. Nothing has been sent in this case.
    pub fn open(
        &self,
        to: SocketAddr,
        id: StreamId,
        open: OpenStream,
    ) -> Result<(StreamId, StreamEndpoint), NotRun> {
        self.link(to).open(id, open)
    }

    /// Queues a control message. Drops it if the queue of the link is full.
    pub fn send_control(&self, to: SocketAddr, control: ControlMessage) {
        if !self.link(to).send_control(control) {
            counters::add(Counter::ControlDropped, 1);
        }
    }

    /// Number of links, including those that are still connecting.
    pub fn len(&self) -> usize {
        self.links().len()
    }

    /// Whether there is no link.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Streams opened by peers: the number now running in this process, and the number accepted since the start.
    pub fn home_streams(&self) -> (usize, u64) {
        let running = self
            .links()
            .values()
            .map(|link| link.stream_table().home_count())
            .sum();
        (running, self.0.accepted_streams.load(Ordering::Relaxed))
    }

    /// Waits until all queues are empty and all bytes are written.
    pub async fn flush(&self) {
        while self.links().values().any(|link| !link.is_flushed()) {
            Timer::after(FLUSH_POLL_PERIOD).await;
        }
    }

    /// Returns the link to `to`. Dials a new one if there is none.
    fn link(&self, to: SocketAddr) -> Arc<PeerLink> {
        let mut links = self.links();
        if let Some(link) = links.get(&to) {
            return Arc::clone(link);
        }
        let (link, queues) = PeerLink::new(to, LinkRole::Dialer);
        links.insert(to, Arc::clone(&link));
        let task = link_task::dial(self.clone(), Arc::clone(&link), queues);
        self.0.executor.spawn(task).detach();
        link
    }

    /// Registers an accepted link for use by this side, unless there is a link to this peer already.
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

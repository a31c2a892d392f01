//! State of a link that its users and its tasks share.

use super::stream_table::{StreamSide, StreamTable};
use crate::channel::StreamEndpoint;
use crate::clock;
use async_channel::{Receiver, Sender};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use wasabiyard_model::{NotRun, OutcomeUnknown, Time};
use wasabiyard_wire::{ControlMessage, Message, OpenStream, StreamId, StreamMessage, StreamOutcome};

/// Capacity of the control message queue. Control messages are periodic, so the next round makes up for a dropped one.
const CONTROL_QUEUE_CAPACITY: usize = 256;
/// Number of queued stream messages above which new streams are refused. Running streams are bounded by their credit.
const MAX_QUEUED_STREAM_MESSAGES: usize = 16 * 1024;
/// Capacity of the queue of pings and pongs.
const KEEPALIVE_QUEUE_CAPACITY: usize = 16;
/// Bit of the attempt number that marks streams opened by the acceptor of the link, so that both sides can choose
/// stream identifiers without coordination.
const ACCEPTOR_BIT: u32 = 1 << 31;

/// Role of this process on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkRole {
    /// It opened the connection.
    Dialer,
    /// It accepted the connection.
    Acceptor,
}

/// A link to a peer.
#[derive(Debug)]
pub struct PeerLink {
    peer: SocketAddr,
    role: LinkRole,
    control: Sender<ControlMessage>,
    data: Sender<StreamMessage>,
    keepalive: Sender<Message>,
    stream_table: Mutex<StreamTable>,
    closed: AtomicBool,
    unflushed: AtomicBool,
    last_received_at: AtomicU64,
}

/// Receivers of the queues of a link, for its writer.
#[derive(Debug)]
pub struct Queues {
    /// Pings and pongs.
    pub keepalive: Receiver<Message>,
    /// Control messages.
    pub control: Receiver<ControlMessage>,
    /// Stream messages.
    pub data: Receiver<StreamMessage>,
}

impl PeerLink {
    /// Creates a link, without a connection yet, to the peer whose listener is `peer`.
    pub fn new(peer: SocketAddr, role: LinkRole) -> (Arc<Self>, Queues) {
        let (control, control_rx) = async_channel::bounded(CONTROL_QUEUE_CAPACITY);
        let (data, data_rx) = async_channel::unbounded();
        let (keepalive, keepalive_rx) = async_channel::bounded(KEEPALIVE_QUEUE_CAPACITY);
        let link = Self {
            peer,
            role,
            control,
            data,
            keepalive,
            stream_table: Mutex::default(),
            closed: AtomicBool::new(false),
            unflushed: AtomicBool::new(false),
            last_received_at: AtomicU64::new(clock::now().as_micros()),
        };
        let queues = Queues {
            keepalive: keepalive_rx,
            control: control_rx,
            data: data_rx,
        };
        (Arc::new(link), queues)
    }

    /// Address of the peer's listener.
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Opens a stream whose entry is in this process.
    ///
    /// # Errors
    ///
    /// When the link is lost or its queue is full.
    pub fn open(&self, id: StreamId, open: OpenStream) -> Result<(StreamId, StreamEndpoint), NotRun> {
        if self.data.len() > MAX_QUEUED_STREAM_MESSAGES {
            return Err(NotRun::Overload);
        }
        let id = match self.role {
            LinkRole::Dialer => id,
            LinkRole::Acceptor => StreamId {
                attempt: id.attempt | ACCEPTOR_BIT,
                ..id
            },
        };
        let mut table = self.stream_table();
        if self.closed.load(Ordering::Acquire) {
            return Err(NotRun::NoHome);
        }
        let rx = table
            .insert(id, StreamSide::Entry)
            .expect("an entry never uses an identifier twice on a link");
        drop(table);
        let tx = self.data.clone();
        tx.try_send(StreamMessage::Open(id, open))
            .map_err(|_e| NotRun::NoHome)?;
        Ok((id, StreamEndpoint { tx, rx }))
    }

    /// Accepts a stream that the peer opened. `None` if its identifier is in use or not one that the peer may choose.
    pub fn accept(&self, id: StreamId) -> Option<StreamEndpoint> {
        let opened_by_acceptor = id.attempt & ACCEPTOR_BIT != 0;
        if opened_by_acceptor != (self.role == LinkRole::Dialer) {
            return None;
        }
        let rx = self.stream_table().insert(id, StreamSide::Home)?;
        Some(StreamEndpoint {
            tx: self.data.clone(),
            rx,
        })
    }

    /// Ends a stream whose home has returned without sending `End`. If the stream has ended already, the writer drops
    /// this message.
    pub fn on_home_returned(&self, id: StreamId) {
        let outcome = StreamOutcome::OutcomeUnknown(OutcomeUnknown::HomeStopped);
        // Fails only if the link is lost, which has ended the stream at the peer.
        drop(self.data.try_send(StreamMessage::End(id, outcome)));
    }

    /// Queues a control message. `false` if the queue is full or the link is lost.
    pub fn send_control(&self, control: ControlMessage) -> bool {
        self.control.try_send(control).is_ok()
    }

    /// Queues a ping or pong. Drops it if the queue is full, because one answer suffices to show that this process is
    /// alive.
    pub fn send_keepalive(&self, message: Message) {
        drop(self.keepalive.try_send(message));
    }

    /// Locks the table of open streams.
    pub fn stream_table(&self) -> MutexGuard<'_, StreamTable> {
        self.stream_table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether no control or stream message is queued or held in the write buffer.
    pub fn is_flushed(&self) -> bool {
        self.control.is_empty() && self.data.is_empty() && !self.unflushed.load(Ordering::Acquire)
    }

    /// Records whether the writer holds messages that are not flushed.
    pub fn set_unflushed(&self, unflushed: bool) {
        self.unflushed.store(unflushed, Ordering::Release);
    }

    /// Records that bytes were received from the peer at `now`.
    pub fn set_last_received(&self, now: Time) {
        self.last_received_at.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Time of the last received bytes; before any, the time of creation.
    pub fn last_received_at(&self) -> Time {
        Time::from_micros(self.last_received_at.load(Ordering::Relaxed))
    }

    /// Ends all streams. The writer must have stopped: otherwise a stream could be reported as not sent and be sent
    /// afterwards.
    pub fn close(&self) {
        let mut table = self.stream_table();
        self.closed.store(true, Ordering::Release);
        self.data.close();
        self.control.close();
        table.end_all();
    }
}

//! What the users of a link and its tasks share.

use super::stream_table::{Side, StreamTable};
use crate::channel::StreamEnd;
use crate::clock;
use async_channel::{Receiver, Sender};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use wasabiyard_model::{NotRun, OutcomeUnknown, Time};
use wasabiyard_wire::{ControlMessage, Message, OpenStream, StreamId, StreamMessage, StreamOutcome};

/// Most control messages that wait. Control is periodic, so a dropped message is made up for by the next round.
const MAX_CONTROL: usize = 256;
/// Most stream messages that wait before new streams are refused. Streams that run are bounded by their credit.
const MAX_DATA: usize = 16 * 1024;
/// Most pings and pongs that wait.
const MAX_URGENT: usize = 16;
/// Marks streams whose entry accepted the link, so that both sides can name streams without asking.
const ACCEPTOR_BIT: u32 = 1 << 31;

/// Which side of the link this process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It dialled.
    Dialer,
    /// It accepted.
    Acceptor,
}

/// A link as its users see it.
#[derive(Debug)]
pub struct PeerLink {
    peer: SocketAddr,
    role: Role,
    control: Sender<ControlMessage>,
    data: Sender<StreamMessage>,
    urgent: Sender<Message>,
    table: Mutex<StreamTable>,
    closed: AtomicBool,
    busy: AtomicBool,
    received_at: AtomicU64,
}

/// What waits to be sent.
#[derive(Debug)]
pub struct Queues {
    /// Pings and pongs.
    pub urgent: Receiver<Message>,
    /// Control messages.
    pub control: Receiver<ControlMessage>,
    /// Stream messages.
    pub data: Receiver<StreamMessage>,
}

impl PeerLink {
    /// A link to the peer that listens on `peer`, without a connection yet.
    pub fn new(peer: SocketAddr, role: Role) -> (Arc<Self>, Queues) {
        let (control, control_rx) = async_channel::bounded(MAX_CONTROL);
        let (data, data_rx) = async_channel::unbounded();
        let (urgent, urgent_rx) = async_channel::bounded(MAX_URGENT);
        let link = Self {
            peer,
            role,
            control,
            data,
            urgent,
            table: Mutex::default(),
            closed: AtomicBool::new(false),
            busy: AtomicBool::new(false),
            received_at: AtomicU64::new(clock::now().as_micros()),
        };
        let queues = Queues {
            urgent: urgent_rx,
            control: control_rx,
            data: data_rx,
        };
        (Arc::new(link), queues)
    }

    /// Address of the peer's listener.
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Opens a stream of a caller of this process.
    ///
    /// # Errors
    ///
    /// When the link is lost or its queue is full.
    pub fn open(&self, id: StreamId, open: OpenStream) -> Result<(StreamId, StreamEnd), NotRun> {
        if self.data.len() > MAX_DATA {
            return Err(NotRun::Overload);
        }
        let id = match self.role {
            Role::Dialer => id,
            Role::Acceptor => StreamId {
                attempt: id.attempt | ACCEPTOR_BIT,
                ..id
            },
        };
        let mut table = self.table();
        if self.closed.load(Ordering::Acquire) {
            return Err(NotRun::NoHome);
        }
        let rx = table
            .insert(id, Side::Entry)
            .expect("an entry never uses a name twice on a link");
        drop(table);
        let tx = self.data.clone();
        tx.try_send(StreamMessage::Open(id, open))
            .map_err(|_e| NotRun::NoHome)?;
        Ok((id, StreamEnd { tx, rx }))
    }

    /// Takes a stream that the peer opened. `None` when its name is not one that the peer may use.
    pub fn accept(&self, id: StreamId) -> Option<StreamEnd> {
        let by_acceptor = id.attempt & ACCEPTOR_BIT != 0;
        if by_acceptor != (self.role == Role::Dialer) {
            return None;
        }
        let rx = self.table().insert(id, Side::Home)?;
        Some(StreamEnd {
            tx: self.data.clone(),
            rx,
        })
    }

    /// The home of a stream of the peer has returned. When it said nothing about the end, this does; otherwise the message
    /// is dropped, because the stream is over.
    pub fn home_returned(&self, id: StreamId) {
        let ending = StreamOutcome::OutcomeUnknown(OutcomeUnknown::HomeStopped);
        // On a link that is lost the peer knows already.
        drop(self.data.try_send(StreamMessage::End(id, ending)));
    }

    /// Queues a control message. `false` when the queue is full or the link lost.
    pub fn send_control(&self, control: ControlMessage) -> bool {
        self.control.try_send(control).is_ok()
    }

    /// Queues a ping or pong. Drops it when many wait already, because one answer is enough to show life.
    pub fn send_urgent(&self, message: Message) {
        drop(self.urgent.try_send(message));
    }

    /// The streams.
    pub fn table(&self) -> MutexGuard<'_, StreamTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether nothing waits to be sent.
    pub fn is_flushed(&self) -> bool {
        self.control.is_empty() && self.data.is_empty() && !self.busy.load(Ordering::Acquire)
    }

    /// Whether the writer holds bytes that are not sent.
    pub fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::Release);
    }

    /// Bytes came from the peer.
    pub fn set_received(&self, now: Time) {
        self.received_at.store(now.as_micros(), Ordering::Relaxed);
    }

    /// When bytes came last.
    pub fn received_at(&self) -> Time {
        Time::from_micros(self.received_at.load(Ordering::Relaxed))
    }

    /// Ends all streams. The writer must have stopped, so that what is said about unsent streams is true.
    pub fn close(&self) {
        let mut table = self.table();
        self.closed.store(true, Ordering::Release);
        self.data.close();
        self.control.close();
        table.end_all();
    }
}

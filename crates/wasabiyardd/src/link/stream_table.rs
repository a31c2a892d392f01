//! The streams that run over one link.

use async_channel::{Receiver, Sender};
use std::collections::HashMap;
use wasabiyard_model::{NotRun, OutcomeUnknown};
use wasabiyard_wire::{StreamId, StreamMessage, StreamOutcome};

/// Which end of a stream this process has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The entry.
    Entry,
    /// The home.
    Home,
}

#[derive(Debug)]
struct Row {
    side: Side,
    tx: Sender<StreamMessage>,
    /// Whether data of the caller may have left.
    sent: bool,
}

/// See the module.
#[derive(Debug, Default)]
pub struct StreamTable {
    rows: HashMap<StreamId, Row>,
    entries: usize,
}

impl StreamTable {
    /// Adds a stream and returns its messages from the peer. `None` when the name is in use.
    pub fn insert(&mut self, id: StreamId, side: Side) -> Option<Receiver<StreamMessage>> {
        if self.rows.contains_key(&id) {
            return None;
        }
        let (tx, rx) = async_channel::unbounded();
        let sent = false;
        self.rows.insert(id, Row { side, tx, sent });
        self.entries += usize::from(side == Side::Entry);
        Some(rx)
    }

    /// Streams of callers of this process.
    pub const fn entries(&self) -> usize {
        self.entries
    }

    /// Streams of callers of the peer.
    pub fn homes(&self) -> usize {
        self.rows.len() - self.entries
    }

    /// Takes note of a message that leaves now. `false` when the stream is over and the message must not leave.
    pub fn before_send(&mut self, message: &StreamMessage) -> bool {
        let id = message.id();
        let Some(row) = self.rows.get_mut(&id) else {
            return false;
        };
        match message {
            StreamMessage::Data(..) => row.sent = true,
            StreamMessage::End(..) | StreamMessage::Abandon(_) => self.remove(id),
            StreamMessage::Open(..) | StreamMessage::Credit(..) | StreamMessage::Cancel(_) => {}
        }
        true
    }

    /// Hands a received message to its stream. `false` when the stream is not known.
    pub fn deliver(&mut self, message: StreamMessage) -> bool {
        let id = message.id();
        let Some(row) = self.rows.get(&id) else {
            return false;
        };
        let over = matches!(message, StreamMessage::End(..) | StreamMessage::Abandon(_));
        // A home that refused does not listen any more. Its row stays until the end leaves, or the end would be lost.
        let delivered = row.tx.try_send(message).is_ok();
        if over {
            self.remove(id);
        }
        delivered
    }

    /// Ends all streams because the link is lost. Nothing may leave any more.
    pub fn end_all(&mut self) {
        for (id, row) in self.rows.drain() {
            let last = match row.side {
                Side::Home => StreamMessage::Abandon(id),
                Side::Entry if row.sent => {
                    StreamMessage::End(id, StreamOutcome::OutcomeUnknown(OutcomeUnknown::LinkLost))
                }
                Side::Entry => StreamMessage::End(id, StreamOutcome::NotRun(NotRun::NoHome)),
            };
            // An end that is gone does not need to know.
            drop(row.tx.try_send(last));
        }
        self.entries = 0;
    }

    fn remove(&mut self, id: StreamId) {
        if let Some(row) = self.rows.remove(&id) {
            self.entries -= usize::from(row.side == Side::Entry);
        }
    }
}

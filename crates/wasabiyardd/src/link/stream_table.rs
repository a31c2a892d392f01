//! The streams of one link.

use async_channel::{Receiver, Sender};
use std::collections::HashMap;
use wasabiyard_model::{NotRun, OutcomeUnknown};
use wasabiyard_wire::{StreamId, StreamMessage, StreamOutcome};

/// The end of a stream that is in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamSide {
    /// The entry, which serves the caller.
    Entry,
    /// The home, which serves the database.
    Home,
}

#[derive(Debug)]
struct StreamState {
    side: StreamSide,
    tx: Sender<StreamMessage>,
    /// Whether data of the caller may have been sent to the peer.
    data_sent: bool,
}

/// The open streams of one link, by their identifiers on the link.
#[derive(Debug, Default)]
pub struct StreamTable {
    streams: HashMap<StreamId, StreamState>,
    entry_count: usize,
}

impl StreamTable {
    /// Adds a stream and returns the channel of its messages from the peer. `None` if the identifier is in use.
    pub fn insert(&mut self, id: StreamId, side: StreamSide) -> Option<Receiver<StreamMessage>> {
        if self.streams.contains_key(&id) {
            return None;
        }
        let (tx, rx) = async_channel::unbounded();
        let data_sent = false;
        self.streams.insert(id, StreamState { side, tx, data_sent });
        self.entry_count += usize::from(side == StreamSide::Entry);
        Some(rx)
    }

    /// Number of streams whose entry is in this process.
    pub const fn entry_count(&self) -> usize {
        self.entry_count
    }

    /// Number of streams whose home is in this process.
    pub fn home_count(&self) -> usize {
        self.streams.len() - self.entry_count
    }

    /// Updates the stream of a message that is about to be sent. `false` if the stream has ended and the message must
    /// not be sent.
    pub fn before_send(&mut self, message: &StreamMessage) -> bool {
        let id = message.id();
        let Some(stream) = self.streams.get_mut(&id) else {
            return false;
        };
        match message {
            StreamMessage::Data(..) => stream.data_sent = true,
            StreamMessage::End(..) | StreamMessage::Abandon(_) => self.remove(id),
            StreamMessage::Open(..) | StreamMessage::Credit(..) | StreamMessage::Cancel(_) => {}
        }
        true
    }

    /// Passes a received message to its stream. `false` if the stream is unknown or no longer receives messages.
    pub fn deliver(&mut self, message: StreamMessage) -> bool {
        let id = message.id();
        let Some(stream) = self.streams.get(&id) else {
            return false;
        };
        let ended = matches!(message, StreamMessage::End(..) | StreamMessage::Abandon(_));
        // A home that has refused the stream no longer receives. The stream stays in the table until its `End` is sent,
        // because `before_send` drops messages of unknown streams.
        let delivered = stream.tx.try_send(message).is_ok();
        if ended {
            self.remove(id);
        }
        delivered
    }

    /// Ends all streams because the link is lost. No message may be sent afterwards.
    pub fn end_all(&mut self) {
        for (id, stream) in self.streams.drain() {
            let last = match stream.side {
                StreamSide::Home => StreamMessage::Abandon(id),
                StreamSide::Entry if stream.data_sent => {
                    StreamMessage::End(id, StreamOutcome::OutcomeUnknown(OutcomeUnknown::LinkLost))
                }
                StreamSide::Entry => StreamMessage::End(id, StreamOutcome::NotRun(NotRun::NoHome)),
            };
            // Fails only if this end of the stream is gone.
            drop(stream.tx.try_send(last));
        }
        self.entry_count = 0;
    }

    fn remove(&mut self, id: StreamId) {
        if let Some(stream) = self.streams.remove(&id) {
            self.entry_count -= usize::from(stream.side == StreamSide::Entry);
        }
    }
}

//! The two ends of a stream inside a process.
//!
//! The entry of a caller and the home of a database talk through these channels, whether both are in this process or a
//! peer link carries the messages. Data is bounded by the credit of the stream, so the channels themselves are not.

use async_channel::{Receiver, Sender};
use wasabiyard_wire::StreamMessage;

/// One end of a stream.
#[derive(Debug)]
pub struct StreamEnd {
    /// Messages to the other end.
    pub tx: Sender<StreamMessage>,
    /// Messages from the other end.
    pub rx: Receiver<StreamMessage>,
}

impl StreamEnd {
    /// Two ends that are joined.
    pub fn pair() -> (Self, Self) {
        let (to_home, from_entry) = async_channel::unbounded();
        let (to_entry, from_home) = async_channel::unbounded();
        (
            Self {
                tx: to_home,
                rx: from_home,
            },
            Self {
                tx: to_entry,
                rx: from_entry,
            },
        )
    }
}

//! The two ends of a stream.
//!
//! The entry of a caller and the home of a database exchange messages through these channels, whether both are in this
//! process or a peer link carries the messages. The channels are unbounded because the credit of the stream bounds its
//! data. `HomeStream` drives the endpoint of the entry, `StreamTask` and `Exchange` that of the home.

use async_channel::{Receiver, Sender};
use wasabiyard_wire::StreamMessage;

/// One end of a stream.
#[derive(Debug)]
pub struct StreamEndpoint {
    /// Messages to the other end.
    pub tx: Sender<StreamMessage>,
    /// Messages from the other end.
    pub rx: Receiver<StreamMessage>,
}

impl StreamEndpoint {
    /// Creates a connected pair: the endpoint of the entry, then that of the home.
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

//! What the decisions ask the control thread to do.

use std::net::SocketAddr;
use wasabiyard_model::{Incarnation, InstanceId};
use wasabiyard_wire::{ControlMessage, MemberState};

/// A command.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send a message.
    Send {
        /// Peer listener of the receiver.
        to: SocketAddr,
        /// The message.
        control: ControlMessage,
    },
    /// A version of the manifest is in force.
    ManifestInForce {
        /// Version.
        version: u64,
    },
    /// A version of the out-of-service document is in force.
    ServiceChanged,
    /// A member is seen in another state.
    MemberChanged {
        /// Name.
        instance: InstanceId,
        /// Incarnation.
        incarnation: Incarnation,
        /// State.
        state: MemberState,
    },
}

//! Commands to the control thread of the daemon.

use std::net::SocketAddr;
use wasabiyard_model::{Incarnation, InstanceId};
use wasabiyard_wire::{ControlMessage, MemberState};

/// An action or a notification for the control thread.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send a control message to a peer.
    Send {
        /// Peer listener of the receiver.
        to: SocketAddr,
        /// The message to send.
        control: ControlMessage,
    },
    /// A newer version of the manifest came into force.
    ManifestInForce {
        /// The version in force.
        version: u64,
    },
    /// A newer version of the out-of-service document came into force.
    OutOfServiceChanged,
    /// A member is new, or its incarnation, address or state changed.
    MemberChanged {
        /// Name of the member.
        instance: InstanceId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its state as this instance sees it.
        state: MemberState,
    },
}

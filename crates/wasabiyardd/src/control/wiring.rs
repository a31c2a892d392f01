//! What the control thread is connected to.

use crate::control::Recorder;
use crate::snapshot::SnapshotCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_cluster::Identity;
use wasabiyard_model::InstanceId;
use wasabiyard_wire::ControlMessage;

/// A control message of a peer: its name, the address to answer, and the message.
pub type Inbound = (InstanceId, SocketAddr, ControlMessage);

/// Sends a control message to the peer listener of an instance. A message that cannot be sent is dropped; the decisions
/// expect loss.
pub type Outbound = Arc<dyn Fn(SocketAddr, ControlMessage) + Send + Sync>;

/// Sends each message with a stamp of this process, so that events that it causes elsewhere come after the events here.
/// The control thread of the receiver takes the stamp off, also for messages of rate shares.
pub fn stamped(outbound: &Outbound, recorder: &Arc<Recorder>) -> Outbound {
    let (outbound, recorder) = (Arc::clone(outbound), Arc::clone(recorder));
    Arc::new(move |to, control| outbound(to, ControlMessage::Stamped(recorder.stamp().0, Box::new(control))))
}

/// Settings of the control thread.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Who this instance is.
    pub identity: Identity,
    /// Peer listeners to ask when the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Time for one call to the platform.
    pub platform_timeout: Duration,
    /// Seed of the random generator.
    pub random_seed: u64,
}

/// The ends of channels and cells that the control thread uses.
pub struct Wiring<P> {
    /// The platform.
    pub platform: Arc<P>,
    /// Where snapshots are published.
    pub snapshots: Arc<SnapshotCell>,
    /// Sends control messages.
    pub outbound: Outbound,
    /// Control messages of peers.
    pub inbound: async_channel::Receiver<Inbound>,
    /// Messages of rate shares, passed on unread.
    pub quota: async_channel::Sender<Inbound>,
    /// Events of this process.
    pub recorder: Arc<Recorder>,
}

impl<P> std::fmt::Debug for Wiring<P> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Wiring").finish_non_exhaustive()
    }
}

//! Settings of the control thread, and the shared objects and channels that it uses.

use crate::control::Recorder;
use crate::snapshot::SnapshotCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_cluster::Identity;
use wasabiyard_model::InstanceId;
use wasabiyard_wire::ControlMessage;

/// A received control message: name of the sender, address of its peer listener, and the message.
pub type Inbound = (InstanceId, SocketAddr, ControlMessage);

/// Sends a control message to the peer listener of an instance. A message that cannot be sent is dropped; the control
/// protocol tolerates loss.
pub type Outbound = Arc<dyn Fn(SocketAddr, ControlMessage) + Send + Sync>;

/// Wraps `outbound` so that each message carries a stamp of this process. The events that a message causes at the
/// receiver are then ordered after the events here. The control thread of the receiver removes the stamp, also from
/// quota messages.
pub fn stamped(outbound: &Outbound, recorder: &Arc<Recorder>) -> Outbound {
    let (outbound, recorder) = (Arc::clone(outbound), Arc::clone(recorder));
    Arc::new(move |to, control| outbound(to, ControlMessage::Stamped(recorder.stamp().0, Box::new(control))))
}

/// Settings of the control thread.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Name, incarnation, address and failure domain of this instance.
    pub identity: Identity,
    /// Peer listeners that are contacted before the members are known, also when the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Timeout of one platform call.
    pub platform_timeout: Duration,
    /// Seed of the random generator.
    pub random_seed: u64,
}

/// The objects and channels that the control thread uses.
pub struct ControlDependencies<P> {
    /// Client of the platform.
    pub platform: Arc<P>,
    /// Receives each new snapshot.
    pub snapshots: Arc<SnapshotCell>,
    /// Sends control messages.
    pub outbound: Outbound,
    /// Control messages received from peers.
    pub inbound: async_channel::Receiver<Inbound>,
    /// Receives the quota messages of peers, which the rate limiter handles.
    pub quota: async_channel::Sender<Inbound>,
    /// Records the time line events of this process.
    pub recorder: Arc<Recorder>,
}

impl<P> std::fmt::Debug for ControlDependencies<P> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ControlDependencies").finish_non_exhaustive()
    }
}

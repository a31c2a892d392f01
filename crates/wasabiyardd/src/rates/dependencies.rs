//! Settings of the rate limiter, and the shared objects and channels that its thread uses.

use crate::control::{Inbound, Outbound, Status};
use crate::snapshot::SnapshotCell;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_cluster::Identity;
use wasabiyard_model::{Incarnation, InstanceId};
use wasabiyard_quota::Holder;

/// A live member of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name and incarnation.
    pub holder: Holder,
    /// Address of its peer listener.
    pub address: SocketAddr,
}

impl Peer {
    /// The members in the status of the control thread that may hold share units: those that are neither leaving nor
    /// dead.
    pub fn from_status(status: &Status) -> Vec<Self> {
        let live = status
            .members
            .iter()
            .filter(|m| matches!(m.state.as_str(), "alive" | "suspect"));
        let peers = live.filter_map(|m| {
            Some(Self {
                holder: Holder::new(InstanceId::from(m.instance.as_str()), Incarnation(m.incarnation)),
                address: m.address.parse().ok()?,
            })
        });
        peers.collect()
    }
}

/// Returns the live members; whether this process is among them makes no difference.
pub type PeerSource = Arc<dyn Fn() -> Vec<Peer> + Send + Sync>;

/// Settings of the rate limiter.
#[derive(Debug, Clone)]
pub struct RateLimiterSettings {
    /// Name, incarnation, address and failure domain of this instance. The platform's list of instances must contain
    /// this incarnation: otherwise the process holds no share units and has only borrowed tokens.
    pub identity: Identity,
    /// Timeout of one platform call.
    pub platform_timeout: Duration,
    /// Seed of the random generator.
    pub random_seed: u64,
}

/// The objects and channels that the rate limiter thread uses.
pub struct RateLimiterDependencies<P> {
    /// Client of the platform.
    pub platform: Arc<P>,
    /// Provides the manifest in force.
    pub snapshots: Arc<SnapshotCell>,
    /// Sends control messages.
    pub outbound: Outbound,
    /// Quota messages received from peers.
    pub inbound: async_channel::Receiver<Inbound>,
    /// The live members.
    pub peer_source: PeerSource,
}

impl<P> fmt::Debug for RateLimiterDependencies<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RateLimiterDependencies").finish_non_exhaustive()
    }
}

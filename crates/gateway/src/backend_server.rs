//! Backend servers as service discovery lists them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Replication role that a backend server claims. The primary record decides which one is used as the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates from a primary.
    Replica,
}

/// A backend server in service discovery.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Id, unique over time; a restarted server keeps its id.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address on which it accepts connections.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: Arc<str>,
    /// Statements that it can run concurrently.
    pub capacity: u32,
    /// Whether it is about to stop and must get no new work.
    pub draining: bool,
    /// Role that the server claims itself.
    pub role: Role,
    /// Wall-clock time of its start in milliseconds; distinguishes two runs under one id.
    pub started_ms: u64,
    /// Time for which the server reports that it still warms up, in milliseconds. Builds before this field neither
    /// send nor expect it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub warmup_left_ms: u32,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde requires"
)]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}

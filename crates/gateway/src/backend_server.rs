//! Backend servers as service discovery lists them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// What a backend server says of its part in replication.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Follows a primary.
    Replica,
}

/// A listed backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Id, unique over time unless the server starts again.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Statements that it runs at the same time.
    pub capacity: u32,
    /// Whether it is about to stop.
    pub draining: bool,
    /// Its own view of its role.
    pub role: Role,
    /// Wall-clock milliseconds of its start; tells two runs under one id apart.
    pub started_ms: u64,
}

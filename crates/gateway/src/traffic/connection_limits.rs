//! Division of a backend server's connections among the instances.

use std::time::Duration;

/// An instance may open this many times its equal share. A transaction holds its connection while its caller pauses,
/// and it is rare that many transactions do so at every instance at the same time.
const OVERCOMMIT_FACTOR: f64 = 1.67;
/// Connections that an instance may open however small its share is, so that one transaction cannot block all others.
const MIN_OPEN_CONNECTIONS: u32 = 3;
/// Fraction of its equal share that an instance may keep idle. When all instances lose power at once, the server keeps
/// their connections for some seconds, and the restarted instances need free ones.
const IDLE_FRACTION: f64 = 0.34;
/// Equal share, in connections, from which on [`AMPLE_IDLE_TIMEOUT`] applies.
const AMPLE_SHARE_CONNECTIONS: f64 = 6.0;
/// Idle timeout when the share is at least [`AMPLE_SHARE_CONNECTIONS`].
const AMPLE_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle timeout when the share is smaller, but at least one connection.
const SCARCE_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle timeout when there are fewer connections than instances: an idle connection has to be closed soon, so that
/// another instance can open one.
const CONTENDED_IDLE_TIMEOUT: Duration = Duration::from_millis(150);

/// Limits of one instance's connections to one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of open connections, leased and idle.
    pub max_open: u32,
    /// Maximum number of idle connections.
    pub max_idle: u32,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Duration,
}

impl ConnectionLimits {
    /// The limits of each of `instances` instances at a server that accepts `server_limit` connections from all of
    /// them.
    pub fn per_instance(server_limit: u32, instances: usize) -> Self {
        let share = f64::from(server_limit) / instances.max(1) as f64;
        Self {
            max_open: ((share * OVERCOMMIT_FACTOR) as u32).max(MIN_OPEN_CONNECTIONS),
            max_idle: ((share * IDLE_FRACTION) as u32).max(1),
            idle_timeout: match share {
                p if p >= AMPLE_SHARE_CONNECTIONS => AMPLE_IDLE_TIMEOUT,
                p if p >= 1.0 => SCARCE_IDLE_TIMEOUT,
                _ => CONTENDED_IDLE_TIMEOUT,
            },
        }
    }
}

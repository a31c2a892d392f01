//! How many of a server's connections one instance may hold.

use std::time::Duration;

/// Part of a server's connections that the fleet uses. When all instances lose power at once, the server keeps their
/// connections for some seconds, and the instances that come back need others.
const USED_PART: f64 = 0.67;
/// Equal part from which on instances keep to it. Below, they share what there is: few of them need a connection to the
/// same server at the same time.
const OWN_PART: f64 = 2.0;
/// Connections that an instance may open when they are shared: one transaction must not hold up all others.
const SHARED_OPEN: u32 = 3;
/// Idle time after which a connection is closed, when there are enough for every instance.
const LONG_IDLE: Duration = Duration::from_secs(20);
/// The same when there are fewer connections than instances.
const SHORT_IDLE: Duration = Duration::from_millis(150);

/// Limits of the connections to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionCaps {
    /// Most open connections.
    pub open: u32,
    /// Most idle ones.
    pub idle: u32,
    /// Longest idle time.
    pub idle_time: Duration,
}

impl ConnectionCaps {
    /// The caps of one of `instances` at a server that accepts `accepted` connections.
    pub fn of(accepted: u32, instances: usize) -> Self {
        let part = f64::from(accepted) / instances.max(1) as f64;
        if part < OWN_PART {
            return Self {
                open: SHARED_OPEN,
                idle: 1,
                idle_time: SHORT_IDLE,
            };
        }
        let open = ((part * USED_PART) as u32).max(1);
        Self {
            open,
            idle: open,
            idle_time: LONG_IDLE,
        }
    }
}

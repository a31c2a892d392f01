//! How many of a server's connections one instance may hold.

use std::time::Duration;

/// An instance may open this many times its equal part. Transactions hold connections while their callers pause, and
/// seldom many of them at the same time at every instance.
const BORROWED_TIMES: f64 = 1.67;
/// Connections that an instance may open in any case: one transaction must not hold up all others.
const LEAST_OPEN: u32 = 3;
/// Part of an instance's equal part that it may keep idle. When all instances lose power at once, the server keeps their
/// connections for some seconds, and the instances that come back need others.
const IDLE_PART: f64 = 0.34;
/// Equal part from which on idle connections are kept for long.
const AMPLE_PART: f64 = 6.0;
/// Idle time after which a connection is closed when there are many.
const LONG_IDLE: Duration = Duration::from_secs(5);
/// The same when there are few.
const SHORT_IDLE: Duration = Duration::from_millis(400);
/// The same when there are fewer connections than instances.
const SHARED_IDLE: Duration = Duration::from_millis(150);

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
        Self {
            open: ((part * BORROWED_TIMES) as u32).max(LEAST_OPEN),
            idle: ((part * IDLE_PART) as u32).max(1),
            idle_time: match part {
                p if p >= AMPLE_PART => LONG_IDLE,
                p if p >= 1.0 => SHORT_IDLE,
                _ => SHARED_IDLE,
            },
        }
    }
}

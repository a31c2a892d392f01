//! Monotonic and wall clock time of the daemon.

use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use wasabiyard_model::Time;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// The present monotonic time, in microseconds since the first call in this process.
pub fn now() -> Time {
    Time::from_micros(START.elapsed().as_micros() as u64)
}

/// The present wall clock time, in microseconds since the Unix epoch. Only for stamps of events, because the wall clock
/// may jump.
pub fn wall_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

//! The only reader of the system clock in the gateway.
//!
//! Leases must also expire while the machine is suspended, so it reads `CLOCK_BOOTTIME`, which counts suspension.

use crate::usage::UnixTime;
use nix::time::{ClockId, clock_gettime};
use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use wasabiyard_model::Time;

/// Value of the first reading, so that subtracting a duration from an early time does not saturate at zero.
const ORIGIN: Duration = Duration::from_hours(1);

static START: LazyLock<Duration> = LazyLock::new(since_boot);

/// The current time. The first call in a process returns one hour.
pub fn now() -> Time {
    let start = *START;
    Time::ZERO + ORIGIN + since_boot().saturating_sub(start)
}

/// The time of day of this machine, which may be wrong and may jump.
pub fn wall() -> UnixTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    UnixTime::from_micros(since_epoch.map_or(0, |d| d.as_micros() as u64))
}

fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

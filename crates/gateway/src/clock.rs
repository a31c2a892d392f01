//! The only reader of the system clock in the gateway.
//!
//! Leases must end while a machine is suspended, so the clock is the one that counts suspension.

use nix::time::{ClockId, clock_gettime};
use std::sync::LazyLock;
use std::time::Duration;
use wasabiyard_model::Time;

/// Offset of the first reading, so that subtracting a span from an early time does not saturate at zero.
const ORIGIN: Duration = Duration::from_hours(1);

static START: LazyLock<Duration> = LazyLock::new(since_boot);

/// The present time. The first call in a process returns one hour.
pub fn now() -> Time {
    let start = *START;
    Time::ZERO + ORIGIN + since_boot().saturating_sub(start)
}

fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

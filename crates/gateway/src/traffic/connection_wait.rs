//! Limit of the time for which a statement waits for a connection.

use wasabiyard_model::Time;

/// Fraction of the time until the deadline that may be spent waiting. A caller that is refused then has time to retry,
/// and its next attempt reaches another instance, whose connections may be free.
const CONNECTION_WAIT_FRACTION: f64 = 0.4;

/// When a statement that must be answered before `deadline` stops waiting for a connection.
pub fn connection_wait_deadline(deadline: Time, now: Time) -> Time {
    now + deadline.saturating_since(now).mul_f64(CONNECTION_WAIT_FRACTION)
}

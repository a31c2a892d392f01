//! How long a statement waits for a connection.

use wasabiyard_model::Time;

/// Longest wait, as a part of the time that is left. A caller that is refused then has time to try again, and its next
/// attempt reaches another instance, whose connections may be free.
const PATIENT_PART: f64 = 0.4;

/// When a statement that must be answered before `deadline` stops waiting.
pub fn patience_end(deadline: Time, now: Time) -> Time {
    now + deadline.saturating_since(now).mul_f64(PATIENT_PART)
}

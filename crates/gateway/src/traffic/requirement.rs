//! What a statement requires of the server that runs it.

use wasabiyard_model::LogPoint;

/// The servers on which a statement may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerRequirement {
    /// The primary only.
    Primary,
    /// Any server whose log has reached the point.
    AtLeast(LogPoint),
}

/// The log point that covers the commits of the session, up to `session_point`, and `sample`, a point that the primary
/// has reached.
///
/// A sample of a later term covers all commits of earlier terms that survived the promotion, so `session_point` is
/// ignored when its term is earlier: the promotion may have rolled it back, and then no server ever reaches it.
pub fn required_point(session_point: Option<LogPoint>, sample: LogPoint) -> LogPoint {
    match session_point {
        Some(session_point) if session_point.term >= sample.term => session_point.max(sample),
        _ => sample,
    }
}

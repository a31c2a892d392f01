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

/// The log point that covers both the session's own commits, up to `own`, and `sample`, a point reached by the primary.
///
/// A sample of a later term covers all commits of earlier terms that survived the promotion, so `own` is ignored when
/// its term is earlier: the promotion may have rolled `own` back, and then no server ever reaches it.
pub fn required_point(own: Option<LogPoint>, sample: LogPoint) -> LogPoint {
    match own {
        Some(own) if own.term >= sample.term => own.max(sample),
        _ => sample,
    }
}

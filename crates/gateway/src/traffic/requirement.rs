//! Which log point a read has to see.

use wasabiyard_model::LogPoint;

/// Where a statement may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// On the primary only.
    Primary,
    /// On any server whose log holds the point.
    Holding(LogPoint),
}

/// The point that covers both the session's own commits and a sample of the primary.
///
/// A sample of a later term covers all commits of earlier terms that still exist, so an own point of an earlier term is
/// dropped: the promotion may have rolled it back, and no server would ever hold it again.
pub fn required_point(own: Option<LogPoint>, sample: LogPoint) -> LogPoint {
    match own {
        Some(own) if own.term >= sample.term => own.max(sample),
        _ => sample,
    }
}

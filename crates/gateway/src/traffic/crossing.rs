//! Which requests may cross to another region while the link to it is congested.

use std::time::Duration;
use wasabiyard_model::PriorityClass;

/// Congestion from which on requests of the class after the most urgent one no longer cross.
const NORMAL_LIMIT: Duration = Duration::from_millis(60);
/// The same for all less urgent classes. A queue of 20 ms is above what single bursts cause.
const BACKGROUND_LIMIT: Duration = Duration::from_millis(20);
/// Time after which a request that may not cross may be sent again: by then congestion is measured anew.
pub(super) const CROSSING_RETRY: Duration = Duration::from_secs(1);

/// Whether a request of a class may cross a link on which round trips take `congestion` longer than usual. The most urgent
/// class always may.
pub fn may_cross(class: PriorityClass, congestion: Duration) -> bool {
    match class.rank() {
        0 => true,
        1 => congestion < NORMAL_LIMIT,
        _ => congestion < BACKGROUND_LIMIT,
    }
}

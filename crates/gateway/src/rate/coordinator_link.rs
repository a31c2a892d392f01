//! Contact between the rate coordinator of an organisation and its substitute.
//!
//! The substitute grants a part of the rate while it hears nothing from the coordinator, for requesters that cannot reach
//! the coordinator either. The coordinator must have given up that part before. It therefore counts the time since it
//! *sent* the last message that the substitute is known to have received, and gives up the part after a shorter time
//! than the substitute waits. Both times are measured on the clock of one instance each.

use std::time::Duration;
use wasabiyard_model::Time;

/// Time after which the coordinator gives up the part of the rate that the substitute may grant.
const GIVE_UP_AFTER: Duration = Duration::from_millis(1_200);
/// Time after which the substitute grants its part.
const STAND_IN_AFTER: Duration = Duration::from_millis(1_600);

/// What one of the two instances knows of its contact with the other.
#[derive(Debug, Clone, Copy)]
pub struct CoordinatorLink {
    opened: Time,
    heard: Option<Time>,
    /// When this instance sent the last message that the other one is known to have received.
    confirmed: Option<Time>,
}

impl CoordinatorLink {
    /// A link without any contact so far.
    pub const fn open(now: Time) -> Self {
        Self {
            opened: now,
            heard: None,
            confirmed: None,
        }
    }

    /// Records a message of the other instance. `echo` is the time at which this instance sent the last message that the
    /// other one had received.
    pub fn on_message(&mut self, echo: Option<Time>, now: Time) {
        self.heard = Some(now);
        // A time ahead of the clock is of another process under this id.
        if let Some(echo) = echo.filter(|at| *at <= now && *at >= self.opened) {
            self.confirmed = self.confirmed.max(Some(echo));
        }
    }

    /// Whether the coordinator has to leave the substitute's part of the rate.
    pub fn must_give_up_part(&self, now: Time) -> bool {
        self.confirmed
            .is_none_or(|at| now.saturating_since(at) >= GIVE_UP_AFTER)
    }

    /// Whether the substitute may grant its part of the rate.
    pub fn may_stand_in(&self, now: Time) -> bool {
        now.saturating_since(self.heard.unwrap_or(self.opened)) >= STAND_IN_AFTER
    }
}

//! Retries of a statement that a connection holder did not send to its server.

use super::session::RETRY_DELAY;
use crate::sharing::NotSent;
use async_io::Timer;

/// Retries without a delay after a connection holder was found to be unusable: one at its substitute, and one on a direct
/// connection.
const MAX_IMMEDIATE_RETRIES: u32 = 2;

/// What happens next with such a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NextAttempt {
    /// Its caller is told to come back.
    Refuse,
    /// It is placed again at once.
    AtOnce,
    /// It is placed again after [`RETRY_DELAY`].
    Delayed,
}

impl NextAttempt {
    /// Waits until the attempt is due.
    pub(super) async fn due(self) {
        if self == Self::Delayed {
            Timer::after(RETRY_DELAY).await;
        }
    }
}

/// The retries of one statement so far.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct NotSentRetries {
    overloaded: u32,
    without_holder: u32,
}

impl NotSentRetries {
    /// Decides about a statement that was not sent. `elsewhere` is whether other servers may run it, `expired` whether its
    /// time is over.
    pub(super) const fn next(&mut self, not_sent: NotSent, elsewhere: bool, expired: bool) -> NextAttempt {
        if expired {
            return NextAttempt::Refuse;
        }
        match not_sent {
            // Another server of the service may have room; its holder has reported no long wait.
            NotSent::Overloaded { .. } if elsewhere && self.overloaded == 0 => {
                self.overloaded += 1;
                NextAttempt::AtOnce
            }
            NotSent::Overloaded { .. } => NextAttempt::Refuse,
            // The holder is avoided from now on, so the first attempts after its failure go elsewhere.
            NotSent::NoHolder(_) if self.without_holder < MAX_IMMEDIATE_RETRIES => {
                self.without_holder += 1;
                NextAttempt::AtOnce
            }
            NotSent::NoHolder(_) | NotSent::NotPrimary => NextAttempt::Delayed,
        }
    }
}

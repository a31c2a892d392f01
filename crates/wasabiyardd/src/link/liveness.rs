//! Decides when to ping the peer of a silent link and when to close the link.

use std::time::Duration;
use wasabiyard_model::Time;

/// Silence while answers are outstanding after which the peer is pinged.
pub const PING_AFTER_SILENCE: Duration = Duration::from_secs(2);
/// Silence after a ping after which the link is closed.
pub const PONG_TIMEOUT: Duration = Duration::from_secs(2);

/// Next action of the liveness check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LivenessAction {
    /// Nothing, because no answer is outstanding.
    Idle,
    /// Check again at this time.
    CheckAt(Time),
    /// Send a ping with this number.
    Ping(u64),
    /// Close the link.
    Close,
}

/// Liveness state of one link.
#[derive(Debug, Default)]
pub struct Liveness {
    /// Time of the first message sent since the link was last idle.
    outstanding_since: Option<Time>,
    pinged_at: Option<Time>,
    pings: u64,
}

impl Liveness {
    /// Records that a message that the peer will answer is sent now.
    pub const fn on_sent(&mut self, now: Time) {
        if self.outstanding_since.is_none() {
            self.outstanding_since = Some(now);
        }
    }

    /// Decides what to do now. `streams` is the number of streams that wait for answers of the peer, `received` the
    /// time of the last received bytes.
    pub fn check(&mut self, now: Time, streams: usize, received: Time) -> LivenessAction {
        let Some(since) = self.outstanding_since else {
            return LivenessAction::Idle;
        };
        if received >= since && streams == 0 {
            *self = Self {
                pings: self.pings,
                ..Self::default()
            };
            return LivenessAction::Idle;
        }
        if self.pinged_at.is_some_and(|at| received >= at) {
            self.pinged_at = None;
        }
        match self.pinged_at {
            Some(at) if now >= at + PONG_TIMEOUT => LivenessAction::Close,
            Some(at) => LivenessAction::CheckAt(at + PONG_TIMEOUT),
            None => {
                let due = received.max(since) + PING_AFTER_SILENCE;
                if now < due {
                    return LivenessAction::CheckAt(due);
                }
                self.pinged_at = Some(now);
                self.pings += 1;
                LivenessAction::Ping(self.pings)
            }
        }
    }
}

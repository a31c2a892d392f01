//! Distributed rate limiting: one rate per organisation, enforced over the whole fleet.
//!
//! The rate coordinator of an organisation is one registered instance, chosen by hash, which holds the token bucket.
//! The other instances request a token from it for each operation. Each response also reserves a part of the rate for
//! the requester, which may spend it for a limited time without the coordinator when that does not answer. The
//! coordinator counts the reserved rate of requesters that have fallen silent as spent, so that the sum stays within
//! the rate.
//!
//! [`RateCoordinator`] is the state of one organisation at its coordinator. [`RateLimiterState`] holds the coordinators
//! and reservations of one instance and does no input or output; [`crate::traffic::OperationRateLimiter`] exchanges the
//! messages with other instances.

mod coordinator;
mod placement;
mod rate_limiter_state;
mod token_bucket;

pub use coordinator::RateCoordinator;
pub use placement::coordinator_of;
pub use rate_limiter_state::RateLimiterState;

use serde::{Deserialize, Serialize};
use std::time::Duration;
use wasabiyard_model::PriorityClass;

/// Decision on one operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateDecision {
    /// A token was taken. The operation may run after this wait, which is zero when a token was available.
    #[serde(rename = "After")]
    GrantedAfter(Duration),
    /// The organisation is above its rate, and a token would take longer than the request allows. None was taken.
    Refused {
        /// Time until a token is expected, which the caller receives. At most ten seconds.
        retry_after: Duration,
    },
}

/// Request for one token of an organisation's rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Priority class of the operation's route; less urgent priority classes leave tokens for more urgent ones.
    pub class: PriorityClass,
    /// Longest wait for a token that the operation accepts. It is refused at once when a token takes longer.
    #[serde(rename = "patience")]
    pub max_wait: Duration,
}

/// Response of a rate coordinator to a [`TokenRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TokenResponse {
    /// Decision on the operation.
    pub decision: RateDecision,
    /// Operations a second that the requester may admit by itself while the coordinator does not answer. Zero for
    /// requesters with little demand.
    #[serde(rename = "reserve")]
    pub reserved_rate: f64,
}

//! Distributed rate limiting: one rate per organisation, enforced over the whole fleet.
//!
//! The rate coordinator of an organisation is one registered instance, chosen by hash, which holds the token bucket.
//! The other instances request a token from it for each operation. Each response also reserves a part of the rate for
//! the requester, which may spend it for a limited time without the coordinator when that does not answer. The
//! coordinator counts the reserved rate of requesters that have fallen silent as spent, so that the sum stays within
//! the rate.
//!
//! In larger fleets a second instance, the substitute, grants a part of the rate while it is cut off from the coordinator,
//! which leaves it that part ([`CoordinatorLink`]). There most instances have too little demand of an organisation for a
//! reservation, and half of a fleet that is cut off from the other half would be refused.
//!
//! [`RateCoordinator`] is the state of one organisation at its coordinator. [`RateLimiterState`] holds the coordinators
//! and reservations of one instance and does no input or output; [`crate::traffic::OperationRateLimiter`] exchanges the
//! messages with other instances.

mod coordinator;
mod coordinator_link;
mod organisation_state;
mod peer_links;
mod placement;
mod rate_limiter_state;
mod token_bucket;
mod token_request;

pub use coordinator::RateCoordinator;
pub use coordinator_link::CoordinatorLink;
pub use placement::{coordinator_of, substitute_of};
pub use rate_limiter_state::RateLimiterState;
pub use token_request::TokenRequest;

use serde::{Deserialize, Serialize};
use std::time::Duration;
use wasabiyard_model::{Incarnation, Time};

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

/// Message between the coordinator of an organisation and its substitute. The substitute sends one periodically, and the
/// coordinator replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkMessage {
    /// When the sender sent it, on its own clock.
    pub sent_at: Time,
    /// The last message of the receiver that the sender has received.
    pub echo: Option<LinkEcho>,
    /// Whether it is a reply, which is not answered again.
    pub reply: bool,
}

/// A message that has been received, as its sender identifies it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkEcho {
    /// Incarnation of the process that sent it.
    pub incarnation: Incarnation,
    /// When that process sent it.
    pub sent_at: Time,
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

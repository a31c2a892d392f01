//! Rates of organisations over the whole fleet.
//!
//! One registered instance, chosen by hash, keeps the token bucket of an organisation; the others ask it for each
//! operation. With each answer an asker gets a reserve: a part of the rate that it may spend on its own for a while when
//! the keeper does not answer. The keeper counts the reserves of askers that have fallen silent as spent, so that the sum
//! stays within the rate.

mod bucket;
mod keeper;
mod placement;
mod rate_book;

pub use keeper::RateKeeper;
pub use placement::keeper_of;
pub use rate_book::RateBook;

use serde::{Deserialize, Serialize};
use std::time::Duration;
use wasabiyard_model::PriorityClass;

/// Whether an operation may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateDecision {
    /// It may run after this wait.
    After(Duration),
    /// The organisation is above its rate. A token is free after this time.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

/// What an operation asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateWish {
    /// Class of its route.
    pub class: PriorityClass,
    /// Longest wait for a token.
    pub patience: Duration,
}

/// A keeper's answer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateAnswer {
    /// The decision on the operation.
    pub decision: RateDecision,
    /// Operations a second that the asker may spend on its own while the keeper does not answer.
    pub reserve: f64,
}

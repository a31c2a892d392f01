//! The check of an organisation's rate in front of an operation.

use crate::clock;
use crate::rate::{RateBook, RateDecision};
use async_io::Timer;
use std::cell::RefCell;
use std::time::Duration;

/// Longest wait for a token. A short wait smooths bursts; a long one would only hold what has to be refused.
const PATIENCE: Duration = Duration::from_millis(120);

/// Waits for a token of the organisation.
///
/// # Errors
///
/// The time after which a token is free, when the organisation is above its rate.
pub(super) async fn pass(rates: &RefCell<RateBook>, organisation: &str) -> Result<(), Duration> {
    let decision = rates.borrow_mut().take(organisation, PATIENCE, clock::now());
    match decision {
        RateDecision::After(Duration::ZERO) => Ok(()),
        RateDecision::After(wait) => {
            Timer::after(wait).await;
            Ok(())
        }
        RateDecision::Refused { retry_after } => Err(retry_after),
    }
}

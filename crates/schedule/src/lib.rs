//! Decides which waiting request gets the next scarce connection, which requests are refused early, and when a failed
//! attempt is repeated.
//!
//! Nothing here does input or output: the present time and the random generator are arguments. The home of a database
//! keeps one [`FairQueue`], one [`AdmissionControl`] and one [`RetryBudget`] for it, and one [`ConnectLimiter`] for each slot.

mod admission;
mod backoff;
mod class_queue;
mod connect_limiter;
mod fair_queue;
mod flow;
mod retry_budget;

pub use admission::AdmissionControl;
pub use backoff::Backoff;
pub use connect_limiter::ConnectLimiter;
pub use fair_queue::{FairQueue, QueueBounds, QueuedRequest, Ticket};
pub use retry_budget::RetryBudget;

//! Request scheduling: fair queueing for a limited number of connections, admission control, and limits on retries and
//! connects.
//!
//! This crate performs no I/O: the current time and the random number generator are arguments. The home of a database
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

//! Request scheduling: fair queueing for a limited number of connections, admission control, and limits on retries and
//! connects.
//!
//! This crate performs no I/O: the current time and the random number generator are arguments. The home of a database,
//! which is the instance that holds the connections to it, keeps one [`FairQueue`], one [`AdmissionControl`] and one
//! [`RetryBudget`] for the database, and one [`ConnectLimiter`] for each slot, which is one server of the database's
//! replication group.

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

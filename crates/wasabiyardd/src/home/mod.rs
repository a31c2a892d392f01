//! The home role: connections to the slots of databases, the transactions that wait for them, positions, and
//! promotions.
//!
//! One [`DatabaseHome`](database_home::DatabaseHome) serves each database whose home is this process. A stream takes a
//! connection from the pool of its database, runs its transaction there, and gives the connection back. The end of a
//! writing transaction is passed on only when a majority of the slots holds its commit.

pub mod answer_filter;
mod database_home;
mod exchange;
mod exchange_attempt;
pub mod frame;
pub mod group_sql;
mod group_state;
mod homes;
mod pending_proofs;
mod pool;
mod pool_state;
mod pooled_connection;
mod promoter;
mod read_only_batch;
pub mod request_scanner;
mod request_state;
mod send_buffer;
mod settings;
mod slot_connection;
mod slot_monitor;
mod stream_task;
mod watch;

pub use homes::{HomeHandle, Homes, ServeFuture};
pub use settings::HomeSettings;
pub use slot_connection::Credential;

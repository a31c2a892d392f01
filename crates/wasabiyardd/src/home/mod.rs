//! The home role: runs the transactions of the databases that are assigned to this instance.
//!
//! A database is replicated by a group of slots, each of them a server with a full copy of the database; one slot is
//! the primary. The *home* of a database is the one instance that connects to its slots. The *entry* is the instance
//! to which a caller is connected; it sends each transaction to the home as a stream of messages.
//!
//! One `DatabaseHome` serves each database whose home is this process. A stream acquires
//! a connection from the pool of its database, runs its transaction on it, and returns it. The end of the answer to a
//! writing transaction is forwarded only when a majority of the slots holds the commit. The home also monitors the
//! slots and promotes another slot when the primary fails or has to leave.

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

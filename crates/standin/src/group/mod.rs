//! The stand-in for a database group: database servers (slots) with terms, fences, promotion and asynchronous
//! replication. Each slot listens on its own port and speaks the `PostgreSQL` protocol (docs/design.md, sections 4.2
//! and 16).

mod admin;
mod column;
mod connection;
mod faults;
mod group_state;
mod listener;
mod log;
mod parser;
mod prepared;
mod replication;
mod reply;
mod run_statement;
mod session;
mod slot;
mod sql_error;
mod statement;
mod tables;
mod token;
mod transaction;
mod value;

pub use admin::GroupAdmin;
pub use faults::SlotFaults;
pub use group_state::{Credentials, Group};
pub use listener::serve_slot;
pub use log::{Change, Log, Record};
pub use replication::replicate_slot;
pub use slot::{FenceResult, Role, Slot, SlotStatus};
pub use sql_error::SqlError;
pub use statement::Table;
pub use value::Value;

//! Request path, run on the traffic thread: caller sessions, connection pools and the choice of a backend server.

mod access;
mod answer_order;
mod assignment;
mod backend_statement;
mod connection_lease;
mod connection_limits;
mod connection_wait;
mod operation_rate_limiter;
mod ordered_connection;
mod placement;
mod pool;
mod pool_connect;
mod pool_queue;
mod primary_release;
mod primary_wait;
mod refusal;
mod requirement;
mod run_autocommit;
mod run_transaction;
mod server_health;
mod server_latency;
mod server_pool;
mod service_pool;
mod session;
mod transaction;

pub use access::{admit, check_key};
pub use answer_order::{AnswerMatch, AnswerOrder};
pub use connection_limits::ConnectionLimits;
pub use connection_wait::connection_wait_deadline;
pub use operation_rate_limiter::{OperationRateLimiter, SendToPeer};
pub use placement::{Candidate, ReplicaLag, choose_server};
pub use pool::{Pool, PoolError, PoolSettings};
pub use requirement::{ServerRequirement, required_point};
pub use server_health::ServerHealth;
pub use server_latency::ServerLatency;
pub use session::{Session, SessionContext, SessionSettings};

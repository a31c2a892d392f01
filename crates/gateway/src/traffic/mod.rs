//! The traffic thread: callers' sessions and the connections to backend servers.

mod admission_gate;
mod connection_caps;
mod lease;
mod patience;
mod placement;
mod pool;
mod pool_connect;
mod pool_queue;
mod primary_use;
mod primary_wait;
mod refusal;
mod requirement;
mod run_alone;
mod run_transaction;
mod server_pool;
mod service_pool;
mod session;
mod transaction;
mod work;

pub use admission_gate::{AdmissionGate, SendTo};
pub use connection_caps::ConnectionCaps;
pub use patience::patience_end;
pub use placement::{Candidate, ReplicaLag, choose};
pub use pool::{Pool, PoolError, PoolSettings};
pub use requirement::{Need, required_point};
pub use session::{Session, SessionContext, SessionSettings};

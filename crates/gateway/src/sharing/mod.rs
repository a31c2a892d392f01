//! Sharing of backend connections: for each backend server one instance holds nearly all connections, and the others use
//! them over links.
//!
//! - `holder`, `relay_route` and `suspects` decide through which instance a statement goes.
//! - `server_gate` decides at the holder what the server runs next.
//! - `frames`, `link_socket`, `outgoing_link` and `incoming_link` carry leases, commands and answers.
//! - `relayed_connection` is a lease as its user sees it; `lease_server` is the interface to the holder's pool.
//!
//! The design note is `docs/design/connection-sharing.md`.

mod connection_sharing;
mod frames;
mod holder;
mod incoming_link;
mod lease_server;
mod link_socket;
mod outgoing_link;
mod relay_route;
mod relayed_connection;
mod server_gate;
mod suspects;
mod suspension;

pub use connection_sharing::ConnectionSharing;
pub(crate) use connection_sharing::ServedLease;
pub use frames::{
    Failure, LeaseNumber, LeaseSpec, QueueReport, Refusal, RelayedAnswer, RelayedCommand, Reply, Request,
    Response, Timing,
};
pub use holder::{DEFAULT_MIN_INSTANCES, HolderPair, SharedServer, SharingRule, assign_holders};
pub use incoming_link::{IncomingLink, LeaseOpening, ReplySink, TimedCommand};
pub use lease_server::{GatePass, LeaseServer};
pub(crate) use link_socket::MAX_PAYLOAD_BYTES;
pub use link_socket::{LatenessClock, LinkError};
pub use relay_route::RelayRoute;
pub use relayed_connection::{NotSent, RelayError, RelayedConnection};
pub use server_gate::{GateRefusal, NewWork, ServerGate, ServerState, gate_width};
pub use suspects::{Suspects, Suspicion};
pub use suspension::SuspensionDetector;

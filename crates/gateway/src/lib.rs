//! The protocol-independent core of wasabiyard for callers and backend servers that exchange single statements.
//!
//! - `traffic` holds sessions, connection pools and the choice of a backend server.
//! - `control` reads the store, registers the instance and replaces failed primaries.
//! - `rate` limits the operations of organisations over all instances.
//! - `view` replicates what a few instances read from the store to the others.
//! - `usage` counts operations and decides what is reported of them.
//! - `budget` bounds the memory and the descriptors that callers can take.
//! - `peer` carries messages between instances.
//! - `sharing` lets instances use the backend connections of one that holds them.
//!
//! Nothing here knows the protocol of callers and backend servers, or the documents of the store that others write.
//! The traits [`CallerLink`], [`Connector`], [`Discovery`], [`Promoter`] and
//! [`wasabiyard_platform::Platform`] are the interfaces to everything outside the process.

mod answer;
mod backend_server;
pub mod budget;
mod caller_error;
pub mod clock;
mod cluster_snapshot;
mod configuration;
mod connection;
mod connection_state;
pub mod control;
mod discovery;
pub mod event_log;
mod gateway;
pub mod metrics;
pub mod peer;
mod primary_record;
pub mod rate;
mod regions;
pub mod sharing;
mod statement;
pub mod traffic;
pub mod usage;
pub mod view;

pub use answer::{Answer, Outcome, TransactionStatus};
pub use backend_server::{BackendServer, Role};
pub use caller_error::CallerError;
pub use cluster_snapshot::{ClusterSnapshot, NEW_WORK_MARGIN, PrimaryView, VIEW_LEASE};
pub use configuration::{Configuration, Freshness, OrganisationRule, OverloadOrder, RouteRule, ServiceRule};
pub use connection::{
    CallerLink, Command, ConnectOutcome, ConnectionError, Connector, IdleState, Login, ServerConnection,
    ServerStatus, ShedCause, Target,
};
pub use connection_state::{Adjustment, ConnectionState, SessionValues};
pub use discovery::{
    AtRevision, Discovery, Entries, Promoter, PromotionOrder, PromotionResponse, ReadConsistency,
    UsageReport, UsageResponse,
};
pub use gateway::{Gateway, GatewaySettings, OpenError, Readiness, RuntimeSettings};
pub use peer::PeerMessage;
pub use primary_record::{Leadership, PrimaryRecord};
pub use regions::Regions;
pub use sharing::SharingRule;
pub use statement::{PreparedStatement, Request, Statement};

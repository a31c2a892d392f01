//! The core of wasabiyard for callers and backend servers that speak in single statements.
//!
//! - `traffic` holds sessions, connection pools and the choice of a backend server.
//! - `control` reads the store, registers the instance and replaces primaries.
//! - `rate` shares the rates of organisations among instances.
//! - `view` hands what was read from the store on to other instances.
//! - `peer` carries messages between instances.
//!
//! Nothing here knows a wire format: [`CallerLink`], [`Connector`], [`Discovery`], [`Promoter`] and
//! [`wasabiyard_platform::Platform`] are the edges of the process.

mod answer;
mod backend_server;
mod caller_error;
pub mod clock;
mod configuration;
pub mod control;
mod directory;
mod discovery;
mod edges;
pub mod event_log;
mod gateway;
pub mod metrics;
pub mod peer;
mod primary_record;
mod profile;
pub mod rate;
mod statement;
pub mod traffic;
pub mod view;

pub use answer::{Answer, Outcome, Phase};
pub use backend_server::{BackendServer, Role};
pub use caller_error::CallerError;
pub use configuration::{Configuration, Freshness, OrganisationRule, RouteRule, ServiceRule};
pub use directory::{Directory, LAST_WORK, PrimaryView, VIEW_LEASE};
pub use discovery::{Discovery, Promoter, PromotionAnswer, PromotionOrder};
pub use edges::{
    CallerLink, Command, Connected, ConnectionError, Connector, Login, ServerConnection, ServerStatus, Target,
};
pub use gateway::{Gateway, GatewaySettings, OpenError, Readiness, RuntimeSettings};
pub use peer::PeerMessage;
pub use primary_record::{Leadership, PrimaryRecord};
pub use profile::{Adjustment, Profile, SessionValues};
pub use statement::{Request, Shape, Statement};

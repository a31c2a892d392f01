//! The stand-in for the platform: an object store with versions, conditional updates and watches, and an eventually
//! consistent list of instances (docs/design.md, section 13).

mod calls;
mod faults;
mod listing;
mod rate_limiter;
mod service;
mod store;

pub use calls::{CallCounts, CallKind};
pub use faults::PlatformFaults;
pub use listing::Listing;
pub use rate_limiter::RateLimiter;
pub use service::PlatformService;
pub use store::{ObjectStore, VersionConflict};

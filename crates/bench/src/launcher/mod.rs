//! Runs a complete system as child processes: the platform stand-in, one group stand-in per database, and the daemons.
//!
//! Each process listens on free loopback ports and writes its log to a temporary directory, which also holds the
//! generated INI files of the daemons. Dropping the [`Fleet`] terminates all processes by their process ids.

mod build;
mod fleet;
mod instance;
mod launch_error;
mod manifest_writer;
mod ports;
mod process;
mod spec;

pub use build::build_binaries;
pub use fleet::{Fleet, GroupHandle};
pub use instance::{BACKEND_PASSWORD, BACKEND_USER, InstanceHandle};
pub use launch_error::LaunchError;
pub use ports::free_ports;
pub use process::{ChildProcess, ProcessUsage};
pub use spec::{FleetSpec, OrganisationSpec, RouteSpec, ServiceSpec};

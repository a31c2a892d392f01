//! The control thread: owns the cluster state, calls the platform, exchanges control messages with peers, and publishes
//! snapshots for the traffic threads.
//!
//! One thread runs everything here on a `LocalExecutor`. A tick every 100 ms drives the state machine of
//! `wasabiyard_cluster`. Platform calls run as tasks on the same thread and report their results to the loop through a
//! channel, so a slow platform never delays a tick.

mod control_loop;
mod dependencies;
mod groups;
mod handle;
mod platform_reader;
mod platform_update;
mod recorder;
mod status;

pub use dependencies::{ControlDependencies, ControlSettings, Inbound, Outbound, stamped};
pub use handle::{ControlHandle, ControlThread, SpawnError};
pub use recorder::Recorder;
pub use status::{DatabaseStatus, MemberStatus, Status};

//! Decisions of one instance about the fleet: which instances are members, where the home of each database is, which
//! version of the configuration is in force, and whether this instance may take new work.
//!
//! This crate does no input or output. Time, random numbers and events are passed in, and commands are returned, so
//! that the randomised tests drive the same code as the daemon.

mod cluster;
mod command;
mod configuration_gossip;
mod manifest_store;
mod members;
mod membership;
mod out_of_service;
mod placement;
mod probes;
mod reachability;
mod weight;

pub use cluster::{Cluster, Identity};
pub use command::Command;
pub use manifest_store::{AdoptError, ManifestStore, section_digest};
pub use members::{Member, Members};
pub use out_of_service::OutOfServiceState;
pub use placement::{Candidates, Move, Place, Placement};

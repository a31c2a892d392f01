//! Stand-ins for the systems that wasabiyard depends on: the platform and the database groups.
//!
//! They serve tests and measurements only and keep all data in memory. Each implements the interface of the real system
//! (docs/design.md, sections 4.2, 13 and 16), and injects faults that are set at runtime.

pub mod condition;
pub mod control;
pub mod group;
pub mod http;
pub mod platform;
pub mod runtime;

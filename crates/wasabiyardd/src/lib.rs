//! The daemon as a library, so that tests can use its parts.
//!
//! - `entry` serves the connections of callers.
//! - `home` serves databases over pooled connections to their slots.
//! - `link` carries streams and control messages between instances over one WebSocket connection per pair.
//! - `control` owns the cluster state and publishes snapshots of it.
//! - `rates` holds the rate shares of organisations and limits the rate of their statements.
//! - `admin` serves health, metrics, status and the time line over HTTP.

pub mod admin;
pub mod channel;
pub mod clock;
pub mod control;
pub mod counters;
pub mod daemon;
pub mod entry;
pub mod home;
pub mod link;
pub mod rates;
pub mod runtime;
pub mod settings;
pub mod snapshot;
pub mod tls;

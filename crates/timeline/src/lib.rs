//! Records the events of a fleet and merges them into one causal order.
//!
//! Each process keeps its events in a bounded [`EventRing`] and assigns each a timestamp of its [`HybridClock`].
//! Control messages carry the sender's timestamp, so an event that was caused by an event of another process has a
//! higher timestamp, even when the wall clocks of the machines disagree. [`merge`] joins the events of many
//! processes by these timestamps.

mod clock;
mod event;
mod json_lines;
mod merge;
mod ring;

pub use clock::{HybridClock, Timestamp};
pub use event::{Event, InstanceState, Record, RefusalScope};
pub use json_lines::{JsonLineError, read_json_lines, write_json_lines};
pub use merge::merge;
pub use ring::{EventRing, RING_CAPACITY_EVENTS};

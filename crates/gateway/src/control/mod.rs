//! The control thread: it reads the store, registers this instance, and replaces primaries while it holds the duty.

mod control;
mod duty;
mod failover;
mod leadership_task;
mod records;

pub use control::{Control, ControlEvent, ControlHandle, ControlSettings, ControlWiring};
pub use duty::{DutyRecord, DutyView};
pub use failover::{CandidateStatus, MoveReason, choose_candidate, needs_move};

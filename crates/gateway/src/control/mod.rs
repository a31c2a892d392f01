//! The control thread: it reads the store, registers this instance, and replaces primaries while it holds the duty.

mod control_loop;
mod duty;
mod duty_loop;
mod failover;
mod follow;
mod leadership_task;
mod pace;
mod poll;
mod records;
mod register;
mod release_wait;
mod server_questions;
mod state;
mod store_gate;

pub use control_loop::{Control, ControlEvent, ControlHandle, ControlSettings, ControlWiring, Outgoing};
pub use duty::{DutyRecord, DutyView};
pub use failover::{CandidateStatus, MoveReason, Reports, choose_candidate, needs_move};
pub use register::{LEASE_MARGIN, Register};
pub use store_gate::StoreGate;

//! In-memory group and platform in virtual time, for tests of the promotion logic.

pub mod fake_slot;
pub mod simulation;

//! Budgets of memory and descriptors that callers outside our control cannot exceed.
//!
//! Addresses clients that send many messages of legal size at once, stop in the middle of a message or of an answer,
//! let session state grow, or open more connections than there are descriptors. What is held for callers beyond
//! [`UNCOUNTED_BYTES`] for each purpose is claimed from one budget of the process. [`MemoryBudget`] decides;
//! [`MemoryAccounts`], [`Account`] and [`Claim`] are its handles, whose `Drop` returns the bytes. [`ConnectionSlots`] bounds
//! the number of connections.

mod accounts;
mod connection_slots;
mod limits;
mod memory_budget;
mod process_limits;

pub use accounts::{Account, Claim, ClaimError, Closable, MemoryAccounts};
pub use connection_slots::{ConnectionSlot, ConnectionSlots};
pub use limits::ResourceLimits;
pub use memory_budget::{ClaimId, Decision, MemoryBudget, Purpose, UNCOUNTED_BYTES};
pub use process_limits::process_descriptor_limit;

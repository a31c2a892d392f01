//! `soak`: a mixed load under random, seeded fault injection, followed by a consistency check of the whole history.
//!
//! Callers record each request with its outcome. At the end of the run all faults are removed, and the records are
//! compared with the logs of the primaries. The checks are conservative: they report only what no correct run can show.

mod caller;
mod check;
mod faults;
mod history;
mod layout;
mod run;

pub use check::{FinalData, Violation, check_history};
pub use faults::{Fault, SlotFault};
pub use history::{Event, History, Outcome, Request};
pub use run::{FaultRecord, SoakOptions, SoakReport, soak};

//! Primary election of a database group: failure detection, promotion and acknowledgement of commits.
//!
//! The group of a database is its replication group: backend servers, called slots, of which one is the primary and the
//! others are replicas. This crate does no input or output. The home of the database, which is the instance that serves
//! it, passes in status reports, answers and the current time, and carries out the commands that are returned.
//!
//! - [`SlotReports`] keeps the latest status of each slot and tells which slot is the primary in effect.
//! - [`FailureDetector`] decides when the primary has to be replaced.
//! - [`Promotion`] replaces it: claim the promotion, fence a majority, choose a slot, promote it, publish it.
//! - [`Handover`] prepares a planned replacement that interrupts no transaction.
//! - [`CommitTracker`] decides when a majority holds a commit.
//!
//! Safety rests on two majorities, which always share a slot. A commit of term t counts as acknowledged when a
//! majority of the slots held it while none of them was fenced above t. A promotion to a term above t fences a
//! majority first and takes the most advanced log among it, which therefore contains the commit. This holds whichever
//! home acts, whatever the platform stores and however wrong the clocks are.

mod command;
mod commit_tracker;
mod failure_detector;
mod handover;
mod promotion;
mod slot_reports;

pub use command::{Command, Event, ObjectView, PromotionOutcome, ReadFailure, WriteFailure};
pub use commit_tracker::{CommitTracker, majority};
pub use failure_detector::{FailureDetector, Suspicion};
pub use handover::{Handover, HandoverStep};
pub use promotion::Promotion;
pub use slot_reports::{SlotReport, SlotReports};

//! Rates of organisations, shared by the instances in proportion to their demand.

mod rate_book;
mod share;

pub use rate_book::{RateBook, RateDecision};
pub use share::{Demand, PeerDemand, ShareInputs, share_of};

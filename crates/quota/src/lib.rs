//! Enforces the rates of organisations over the whole fleet without a central counter.
//!
//! The rate and burst of each organisation are divided into 1,000,000 share units. A holder of units runs a token
//! bucket with its part of the rate and burst. Units move between two holders by numbered transfers. When a holder is
//! proved to have ended, the quota coordinator of the organisation's bucket reissues the units that no live holder
//! reports. A bucket is a group of organisations that are reissued together. The sum of the units never exceeds the
//! total, so the fleet never exceeds the rate, whatever a holder believes about the others.
//!
//! [`Quota`] is the state machine of one instance. It does no input or output: its inputs are messages, responses of
//! the platform and ticks, and its outputs are [`Command`]s.

mod account;
mod command;
mod coordinator;
mod demand;
mod holder;
mod organisation;
mod peers;
mod quota;
mod registered_holders;
mod registration;
mod reissue;
mod rounds;
mod shares;
mod transfers;

pub use account::{Account, MICROTOKENS_PER_TOKEN, UNITS_PER_ORGANISATION};
pub use command::{Command, Event, PlatformRequest, PlatformResponse, RoundDocument};
pub use holder::Holder;
pub use quota::{BUCKET_COUNT, Quota, bucket_of};
pub use shares::Settlement;

//! What was read from the store, handed on between instances.
//!
//! The store counts every call, so in a larger fleet a few instances read it and the others ask them. An answer carries
//! the changes since the asker's last question and the age of what it rests on. The age is counted from the time at which
//! the asker sent its question, so a proof that came this way is never younger than the truth.

mod follower;
mod relays;
mod view_entry;
mod view_table;

pub use follower::{Followed, Follower};
pub use relays::{is_relay, ranking, relays_of};
pub use view_entry::{ViewAges, ViewEntry, ViewKey, ViewMark, ViewPage, ViewValue};
pub use view_table::ViewTable;

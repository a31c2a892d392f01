//! Replication of the store's contents from relays to followers.
//!
//! The store counts every call, so in a larger fleet a few instances, the relays, read it and the others, the
//! followers, request the changes from them. A response carries the changes since the follower's last request and the
//! age of the data. The follower counts that age from the time at which it sent the request, so it never takes data for
//! newer than it is.

mod follower;
mod relays;
mod view_entry;
mod view_table;

pub use follower::{Follower, ViewProgress};
pub use relays::{is_relay, rank_instances, select_relays};
pub use view_entry::{ViewAges, ViewCursor, ViewEntry, ViewKey, ViewPage, ViewValue};
pub use view_table::ViewTable;

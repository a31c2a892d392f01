//! Replication of the store's contents from relays to followers.
//!
//! The store counts every call, so in a larger fleet a few instances, the relays, read it and the others, the
//! followers, request the changes from them. A response carries the changes since the follower's last request and the
//! age of the data. The follower counts that age from the time at which it sent the request, so it never takes data for
//! newer than it is.
//!
//! When the relays have nothing new, because the store fails them or they are cut off, instances of each failure domain
//! turn to the store one after the other, and serve the rest of their failure domain as soon as one succeeds.

mod relays;
mod scope_table;
mod view_entry;
mod view_table;

pub use relays::{
    domain_rank, fallback_age, instances_to_query, is_relay, max_store_backoff, rank_instances, select_relays,
};
pub use view_entry::{
    ViewAges, ViewCursor, ViewEntry, ViewKey, ViewPage, ViewPosition, ViewScope, ViewValue,
};
pub use view_table::{ViewProgress, ViewTable};

//! A caller's transaction.

use super::lease::Lease;
use crate::{Connector, RouteRule};
use std::fmt;
use std::sync::Arc;
use wasabiyard_model::Time;

/// A transaction between its start and its end.
pub(super) enum Transaction<C>
where
    C: Connector + 'static,
{
    /// Acknowledged to the caller; no backend server knows of it yet.
    Pending {
        /// Whether the caller promised not to write.
        read_only: bool,
        /// When the caller started it.
        began: Time,
        /// The route in force at its start.
        route: Arc<RouteRule>,
    },
    /// Runs on a connection.
    Open {
        /// The connection.
        lease: Lease<C>,
        /// Whether a statement wrote.
        wrote: bool,
        /// The route in force at its start.
        route: Arc<RouteRule>,
    },
    /// Failed; it waits for the caller to end it and holds nothing.
    Failed,
}

impl<C> fmt::Debug for Transaction<C>
where
    C: Connector + 'static,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Pending { .. } => "Pending",
            Self::Open { .. } => "Open",
            Self::Failed => "Failed",
        })
    }
}

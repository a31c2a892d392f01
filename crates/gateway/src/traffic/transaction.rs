//! A caller's transaction.

use super::connection_lease::ConnectionLease;
use crate::usage::OperationCount;
use crate::{Connector, RouteRule};
use std::fmt;
use std::sync::Arc;
use wasabiyard_model::Time;

/// A transaction between its start and its end.
pub(super) enum Transaction<C>
where
    C: Connector + 'static,
{
    /// The start was acknowledged to the caller, but was not sent to a backend server yet.
    Pending {
        /// Whether the caller started it as read-only, so that a replica may run it.
        read_only: bool,
        /// When the caller started it; the freshness of its reads is counted back from here.
        started_at: Time,
        /// The route in force at its start.
        route: Arc<RouteRule>,
    },
    /// Started on a backend connection.
    Open {
        /// The connection, leased until the transaction ends.
        lease: ConnectionLease<C>,
        /// Whether a write was sent.
        wrote: bool,
        /// Counts the transaction with its first statement.
        operation: Box<OperationCount>,
        /// Whether a statement of the transaction has run.
        has_run: bool,
        /// The route in force at its start.
        route: Arc<RouteRule>,
    },
    /// Failed, and holds no connection. The caller still has to end it.
    Failed,
}

impl<C> Transaction<C>
where
    C: Connector + 'static,
{
    /// The route in force at its start; `None` once it has failed.
    pub(super) const fn route(&self) -> Option<&Arc<RouteRule>> {
        match self {
            Self::Pending { route, .. } | Self::Open { route, .. } => Some(route),
            Self::Failed => None,
        }
    }
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

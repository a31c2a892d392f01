//! The parts of a view, and the pages in which a relay sends them.

use crate::control::FailoverLeaseRecord;
use crate::{BackendServer, PrimaryRecord};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Version;
use wasabiyard_platform::ListedInstance;

/// Key of one part of a view.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ViewKey {
    /// A registered instance, by id.
    Member(Arc<str>),
    /// The primary record of a service, by name of the service.
    Primary(Arc<str>),
    /// The record of the failover lease.
    #[serde(rename = "Duty")]
    FailoverLease,
    /// A backend server, by id.
    Server(Arc<str>),
    /// A failure domain that operators have taken out of service, by name.
    DomainOut(Arc<str>),
}

/// Content of one part; its variant matches that of the key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewValue {
    /// Registration of the instance.
    Member(ListedInstance),
    /// The primary record as read from the store.
    Primary(PrimaryRecord),
    /// The record of the failover lease.
    #[serde(rename = "Duty")]
    FailoverLease(FailoverLeaseRecord),
    /// The server as service discovery lists it.
    Server(BackendServer),
    /// The key alone carries the name of the failure domain.
    DomainOut,
}

/// A kind of data that is read from the store by calls of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewScope {
    /// The instance registry, the primary records and the failover lease.
    Records,
    /// Service discovery.
    Servers,
    /// Failure domains out of service.
    Domains,
}

impl ViewScope {
    /// All scopes, in the order of their indices.
    pub const ALL: [Self; 3] = [Self::Records, Self::Servers, Self::Domains];

    /// Index in arrays with one element a scope.
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl ViewKey {
    /// The scope that the part belongs to.
    pub const fn scope(&self) -> ViewScope {
        match self {
            Self::Member(_) | Self::Primary(_) | Self::FailoverLease => ViewScope::Records,
            Self::Server(_) => ViewScope::Servers,
            Self::DomainOut(_) => ViewScope::Domains,
        }
    }
}

/// A changed part of a view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewEntry {
    /// Key of the part.
    pub key: ViewKey,
    /// Revision of the store at the part's last change; for a tombstone, at which the part was first seen to be missing.
    pub revision: u64,
    /// Its current value; `None` is a tombstone for a removed part.
    pub value: Option<ViewValue>,
}

/// How far an instance has received one scope, in the order of revisions and, for equal ones, keys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewPosition {
    /// Revision of the last change that was received. Between transfers, the revision that the scope reflects.
    pub revision: u64,
    /// Key of the last part that was received at `revision`; `None` when all changes at that revision were.
    pub key: Option<ViewKey>,
    /// Whether the transfer sends the whole scope, which replaces what the receiver has.
    pub whole_scope: bool,
}

impl ViewPosition {
    /// Start of the transfer of a whole scope.
    pub const WHOLE_SCOPE: Self = Self {
        revision: 0,
        key: None,
        whole_scope: true,
    };

    /// The position of a scope that reflects `revision`.
    pub const fn at(revision: u64) -> Self {
        Self {
            revision,
            key: None,
            whole_scope: false,
        }
    }
}

/// How far an instance has received the view, by [`ViewScope::index`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewCursor {
    /// One position a scope.
    pub positions: [ViewPosition; ViewScope::ALL.len()],
}

/// Time since the relay sent the store requests whose results it has, by kind of data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewAges {
    /// Age of the operators' configuration.
    pub configuration: Duration,
    /// Age of the primary records, the registered instances and the failover lease record.
    pub records: Duration,
    /// Age of the list of backend servers.
    pub servers: Duration,
    /// Age of the list of failure domains out of service.
    pub domains: Duration,
}

/// Response of a relay to a view request, small enough for one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewPage {
    /// Incarnation of the relay's process. The pages of one transfer come from one process.
    pub incarnation: u64,
    /// Cursor of the follower after this page.
    #[serde(rename = "mark")]
    pub cursor: ViewCursor,
    /// Whether the transfer is complete after this page; otherwise the follower has to request the next one.
    pub complete: bool,
    /// Digest of each scope at the relay, by [`ViewScope::index`], with which the follower checks its result. `None` when
    /// the follower knows more of the scope than the relay.
    pub digests: [Option<u64>; ViewScope::ALL.len()],
    /// Ages of the data when the relay sent the page.
    pub ages: ViewAges,
    /// Version of the relay's newest configuration. The page does not carry the configuration itself.
    pub configuration: Version,
    /// Changes in the order of scopes, revisions and keys, with only the last change of each part.
    pub entries: Vec<ViewEntry>,
}

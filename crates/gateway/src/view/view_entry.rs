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
    /// The record of the failover lease, with the version of its object in the store.
    #[serde(rename = "Duty")]
    FailoverLease(Version, FailoverLeaseRecord),
    /// The server as service discovery lists it.
    Server(BackendServer),
    /// The key alone carries the name of the failure domain.
    DomainOut,
}

/// A changed part of a view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewEntry {
    /// Key of the part.
    pub key: ViewKey,
    /// Its current value; `None` is a tombstone for a removed part.
    pub value: Option<ViewValue>,
}

/// Position in the sequence of changes of one relay process. The default position is before all changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewCursor {
    /// Incarnation of the relay's process.
    pub incarnation: u64,
    /// Generation of the sequence. The relay starts a new one, which begins with the whole view, when it discards its
    /// tombstones.
    pub generation: u64,
    /// Number of the last change that was applied.
    pub change: u64,
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
    /// Cursor of the follower after this page.
    #[serde(rename = "mark")]
    pub cursor: ViewCursor,
    /// Whether the follower has to clear its view first, because its cursor is not of this sequence.
    pub restart: bool,
    /// Whether the view is complete after this page; otherwise the follower has to request the next one.
    pub complete: bool,
    /// Ages of the data when the relay sent the page.
    pub ages: ViewAges,
    /// Version of the relay's newest configuration. The page does not carry the configuration itself.
    pub configuration: Version,
    /// Changes in the order of their numbers, with only the last change of each part.
    pub entries: Vec<ViewEntry>,
}

//! The parts of a view, and how they travel.

use crate::control::FailoverLeaseRecord;
use crate::{BackendServer, PrimaryRecord};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Version;
use wasabiyard_platform::ListedInstance;

/// Names one part of a view.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ViewKey {
    /// A registered instance.
    Member(Arc<str>),
    /// The primary of a service.
    Primary(Arc<str>),
    /// The failover duty.
    Duty,
    /// A backend server.
    Server(Arc<str>),
    /// A failure domain out of service.
    DomainOut(Arc<str>),
}

/// The content of one part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewValue {
    /// A registered instance.
    Member(ListedInstance),
    /// The primary of a service.
    Primary(PrimaryRecord),
    /// The failover duty, with the version of its object.
    Duty(Version, FailoverLeaseRecord),
    /// A backend server.
    Server(BackendServer),
    /// A failure domain out of service.
    DomainOut,
}

/// A part that has changed. Without a value it is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewEntry {
    /// Which part.
    pub key: ViewKey,
    /// What it is now.
    pub value: Option<ViewValue>,
}

/// A place in the changes of one relay's process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewMark {
    /// The process.
    pub incarnation: u64,
    /// Which of the sequences of changes of this process, each of which begins with the whole view.
    pub generation: u64,
    /// Number of the last change.
    pub change: u64,
}

/// How long ago the relay asked the store for what it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewAges {
    /// The configuration.
    pub configuration: Duration,
    /// Primaries, members and the duty.
    pub records: Duration,
    /// Backend servers.
    pub servers: Duration,
    /// Failure domains out of service.
    pub domains: Duration,
}

/// One answer of a relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewPage {
    /// Up to which change the asker knows the view after this page.
    pub mark: ViewMark,
    /// Whether the asker has to forget what it had before.
    pub restart: bool,
    /// Whether nothing is missing after this page.
    pub complete: bool,
    /// Ages at the time of the answer.
    pub ages: ViewAges,
    /// Version of the newest configuration.
    pub configuration: Version,
    /// Changes, oldest first.
    pub entries: Vec<ViewEntry>,
}

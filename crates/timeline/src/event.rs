//! Events of the time line and the record that orders them.

use crate::Timestamp;
use serde::{Deserialize, Serialize};
use wasabiyard_model::{Incarnation, InstanceId};

/// State of an instance as the process that recorded the event saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Answers health probes.
    Alive,
    /// Missed a health probe and has not refuted the suspicion yet.
    Suspect,
    /// Shuts down gracefully.
    Leaving,
    /// Considered failed or stopped.
    Dead,
}

/// Identifies refusals that are counted together: those of one scope within a second share one event.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RefusalScope {
    /// SQLSTATE that the caller received, such as `WN001`.
    pub sqlstate: String,
    /// Organisation of the caller; empty on a route that is open to all callers.
    pub organisation: String,
    /// Name of the route.
    pub route: String,
}

/// A change or refusal that operators need in order to explain the behaviour of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// Requests were refused.
    RequestRefused {
        /// Organisation, route and SQLSTATE of the refused requests.
        #[serde(flatten)]
        scope: RefusalScope,
        /// Number of refused requests.
        count: u64,
    },
    /// The term or the primary of a database changed.
    TermChanged {
        /// Name of the database.
        database: String,
        /// The new term.
        term: u64,
        /// Primary of this term; empty while a promotion is in progress.
        primary: String,
    },
    /// An instance transferred units of its share of an organisation's rate to another instance.
    ShareTransferred {
        /// Organisation whose rate is shared.
        organisation: String,
        /// Instance that gave the units.
        from: InstanceId,
        /// Instance that received the units.
        to: InstanceId,
        /// Number of share units.
        units: u32,
    },
    /// A version of the manifest came into force on the recording instance.
    ConfigurationInForce {
        /// Version of the manifest.
        version: u64,
    },
    /// Operators took a failure domain out of service.
    DomainOut {
        /// Name of the failure domain.
        domain: String,
    },
    /// Operators returned a failure domain to service.
    DomainIn {
        /// Name of the failure domain.
        domain: String,
    },
    /// Operators took an instance out of service.
    InstanceOut {
        /// The instance taken out; [`Record::instance`] is the one that recorded it.
        subject: InstanceId,
    },
    /// Operators returned an instance to service.
    InstanceIn {
        /// The instance returned; [`Record::instance`] is the one that recorded it.
        subject: InstanceId,
    },
    /// The recording instance sees another state of an instance.
    InstanceChanged {
        /// The observed instance.
        subject: InstanceId,
        /// Incarnation that the state belongs to.
        incarnation: Incarnation,
        /// The new state.
        state: InstanceState,
    },
    /// The home instance of a database changed.
    HomeMoved {
        /// Name of the database.
        database: String,
        /// Previous home; `None` when there was none.
        from: Option<InstanceId>,
        /// New home; `None` when no instance is in service.
        to: Option<InstanceId>,
    },
    /// The recording instance started or stopped admitting new work.
    AdmissionChanged {
        /// Name of the new admission state, such as `open` or `cut-off`.
        admission: String,
    },
    /// The recording instance closed the connection of a caller.
    CallerEnded {
        /// Organisation of the caller.
        organisation: String,
        /// SQLSTATE that states the reason.
        sqlstate: String,
    },
}

/// An event with the key that orders it among the events of all processes: timestamp, instance, number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Timestamp by the hybrid logical clock of the recording process.
    pub stamp: Timestamp,
    /// The instance that recorded the event.
    pub instance: InstanceId,
    /// Sequence number among the events of the recording process, from 0.
    pub number: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

//! Events that the state machine consumes and commands that it returns.

use crate::Holder;
use std::sync::Arc;
use wasabiyard_model::{InstanceId, Time, Version};
use wasabiyard_wire::ControlMessage;

/// The platform's document of the reissue round of one bucket of organisations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoundDocument {
    /// Number of the round, starting at 1 for the initial issue.
    pub round: u64,
    /// The process that coordinates this round and issues its units.
    pub coordinator: Holder,
    /// Whether the round is complete and the coordinator holds all units that nobody reported.
    pub closed: bool,
    /// Names of the organisations whose units were issued in this or an earlier round.
    pub issued_organisations: Vec<String>,
    /// Holders that are proved to have ended and whose units this round reissues.
    pub ended: Vec<Holder>,
}

/// A request to the platform. Each is answered by one [`PlatformResponse`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformRequest {
    /// Creates the registration of this process. Succeeds when the object exists already.
    Register,
    /// Deletes the registration of a process that holds no units, or whose units were reissued.
    Unregister(Holder),
    /// Reads all round documents.
    ReadRounds,
    /// Reads the round document of one bucket.
    ReadRound(u16),
    /// Writes a round document if it has the expected version.
    WriteRound {
        /// Bucket of the document.
        bucket: u16,
        /// Version that the document must have; `None` when it must not exist.
        expected_version: Option<Version>,
        /// New content of the document.
        document: RoundDocument,
    },
    /// Reads all registrations and then the platform's list of instances; the number is returned in the response. The
    /// order matters: a process registers after it was listed, so each process that is found registered was listed
    /// before the list is read.
    ReadHolders(u64),
}

/// The response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformResponse {
    /// The registration of this process exists.
    Registered,
    /// The registration of this holder does not exist any more.
    Unregistered(Holder),
    /// All round documents, each with its bucket and version.
    Rounds(Vec<(u16, Version, RoundDocument)>),
    /// The round document of a bucket, `None` when it does not exist.
    Round(u16, Option<(Version, RoundDocument)>),
    /// The round document of this bucket was written and now has this version.
    RoundWritten(u16, Version),
    /// The registrations, and the platform's list read after them.
    Holders {
        /// Number of the request.
        number: u64,
        /// All registered holders.
        registered: Vec<Holder>,
        /// Instances on the platform's list, live and leaving.
        listed: Vec<Holder>,
    },
    /// The request failed or its outcome is unknown. A write may have taken effect, or may still do so.
    Failed(PlatformRequest),
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A message from a peer.
    Message(InstanceId, ControlMessage),
    /// A response of the platform.
    PlatformResponse(PlatformResponse),
}

/// An action that the caller has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send a message. It may be lost, duplicated, delayed or reordered.
    Send(InstanceId, ControlMessage),
    /// Send a request to the platform.
    CallPlatform(PlatformRequest),
    /// Let callers spend borrowed tokens until they expire.
    Loan {
        /// Name of the organisation.
        organisation: Arc<str>,
        /// Borrowed microtokens, in addition to earlier loans.
        micro_tokens: u64,
        /// Time on the local clock from which the tokens must no longer be spent.
        expires: Time,
    },
}

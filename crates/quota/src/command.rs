//! What goes into the state machine and what comes out of it.

use crate::Holder;
use std::sync::Arc;
use wasabiyard_model::{InstanceId, Time, Version};
use wasabiyard_wire::ControlMessage;

/// The platform's document of the reissue round of one bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoundDoc {
    /// Number of the round; 1 is the first issue.
    pub round: u64,
    /// The process that issues the units of this round.
    pub steward: Holder,
    /// Whether the steward has finished and taken the missing units.
    pub closed: bool,
    /// Organisations whose units were issued in this or an earlier round.
    pub issued: Vec<String>,
    /// Holders that were proved to have ended and whose units this round issues again.
    pub gone: Vec<Holder>,
}

/// A call to the platform. Each is followed by one [`Answer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Creates the registration of this process. An object that exists already counts as success.
    Register,
    /// Deletes the registration of a process that holds nothing.
    Unregister(Holder),
    /// Reads all round documents.
    ReadRounds,
    /// Reads one round document.
    ReadRound(u16),
    /// Writes a round document if it has this version; `None` if it does not exist.
    WriteRound {
        /// Bucket.
        bucket: u16,
        /// Version that the document must have.
        expect: Option<Version>,
        /// The document.
        doc: RoundDoc,
    },
    /// Reads all registrations and after them the platform's list of instances. The order matters: a process registers
    /// after it was listed, so each process that is found registered was listed before the list is read.
    ReadHolders(u64),
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The registration exists.
    Registered,
    /// The registration does not exist any more.
    Unregistered(Holder),
    /// All round documents.
    Rounds(Vec<(u16, Version, RoundDoc)>),
    /// One round document, `None` when it does not exist.
    Round(u16, Option<(Version, RoundDoc)>),
    /// The document was written and has this version.
    Written(u16, Version),
    /// The registrations and the platform's list.
    Holders {
        /// Number of the call.
        number: u64,
        /// Registrations.
        registered: Vec<Holder>,
        /// The platform's list, live and leaving.
        listed: Vec<Holder>,
    },
    /// The call failed or its outcome is unknown. A write may have taken effect, now or later.
    Failed(Call),
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A message of a peer arrived.
    Message(InstanceId, ControlMessage),
    /// The platform answered.
    Answer(Answer),
}

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send a message. It may be lost, doubled, delayed or reordered.
    Send(InstanceId, ControlMessage),
    /// Call the platform.
    Call(Call),
    /// Let callers spend borrowed tokens until they expire.
    Loan {
        /// Name of the organisation.
        organisation: Arc<str>,
        /// Millionths of tokens.
        micro_tokens: u64,
        /// When they must no longer be spent.
        expires: Time,
    },
}

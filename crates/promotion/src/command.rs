//! Input events and output commands of the promotion state machine.

use wasabiyard_model::{LogPoint, Slot, Term, Version};

/// The fields of a group object that a promotion reads. The object is stored on the platform, one for each group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectView {
    /// Version of the object, for conditional writes.
    pub version: Version,
    /// Term of the last promotion, finished or not.
    pub term: Term,
    /// Unique name of the promotion that made the last change, see [`Promotion::start`](crate::Promotion::start).
    pub owner: String,
    /// Whether the group has a primary. Otherwise the promotion named by `owner` is in progress.
    pub stable: bool,
}

/// Why a read of the group object failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadFailure {
    /// The object does not exist.
    Missing,
    /// The object could not be read from the platform.
    Unavailable,
}

/// Why a write of the group object failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFailure {
    /// The object has another version than the expected one and is unchanged.
    Conflict,
    /// The write was refused or not sent, and did not take effect.
    Unavailable,
    /// The answer was lost; the write may have taken effect.
    Unknown,
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Periodic event that drives timeouts and retries.
    Tick,
    /// Answer to [`Command::ReadObject`].
    ObjectRead {
        /// Number of the command.
        number: u64,
        /// The object, or why it could not be read.
        result: Result<ObjectView, ReadFailure>,
    },
    /// Answer to [`Command::WriteObject`].
    ObjectWritten {
        /// Number of the command.
        number: u64,
        /// The new version, or why the write failed.
        result: Result<Version, WriteFailure>,
    },
    /// Answer to [`Command::Fence`].
    Fenced {
        /// The slot.
        slot: Slot,
        /// Term of the command.
        term: Term,
        /// Whether the slot is now fenced at this term for this owner.
        granted: bool,
        /// Highest term that the slot is fenced at.
        fenced_term: Term,
        /// End of the log of the slot.
        last: LogPoint,
    },
    /// Answer to [`Command::Promote`].
    PromoteAnswered {
        /// The slot.
        slot: Slot,
        /// Term of the command.
        term: Term,
        /// Whether the slot is the primary of this term.
        granted: bool,
    },
    /// A command could not be sent to a slot or was not answered. It may have taken effect.
    SlotFailed {
        /// The slot.
        slot: Slot,
        /// Term of the command.
        term: Term,
    },
    /// The slot reports show a primary in effect, made by this promotion or by another.
    PrimarySeen {
        /// Term of that primary.
        term: Term,
    },
}

/// An action that the caller carries out. It passes the answer back as an [`Event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Read the group object.
    ReadObject {
        /// Number of the command.
        number: u64,
    },
    /// Write the group object if it still has the expected version.
    WriteObject {
        /// Number of the command.
        number: u64,
        /// Version that the object must have.
        expected_version: Version,
        /// New term.
        term: Term,
        /// The new primary to publish, or `None` to claim the promotion.
        primary: Option<Slot>,
    },
    /// Fence a slot, so that it refuses writes and replication of lower terms.
    Fence {
        /// The slot.
        slot: Slot,
        /// The term.
        term: Term,
    },
    /// Make a slot the primary of the term it is fenced at.
    Promote {
        /// The slot.
        slot: Slot,
        /// The term.
        term: Term,
    },
}

/// How a promotion ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The slot is the primary of the term. The group object names it unless a later promotion has begun.
    Promoted {
        /// The slot.
        slot: Slot,
        /// The term.
        term: Term,
    },
    /// Another promotion has already replaced the primary at a higher term.
    Superseded,
}

//! Errors of requests that were rejected without effect.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The request did not run, so the caller can retry it safely: either none of it was sent to a slot, or the slot itself
/// reported that it did nothing.
///
/// In the messages and below, the home of a database is the instance that holds the connections to its slots and runs
/// the requests that other instances forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Error, Serialize, Deserialize)]
pub enum NotRun {
    /// The rate limit of the organisation, burst included, is exhausted.
    #[error("the organisation's rate is used up")]
    Rate,
    /// Admission control rejected the request: the queue is full, or the request would miss its deadline while queued.
    #[error("the database is overloaded")]
    Overload,
    /// The deadline passed while the request was queued.
    #[error("the deadline passed before the request could start")]
    Deadline,
    /// The database has no primary at present.
    #[error("the database has no primary at present")]
    NoPrimary,
    /// The instance is shutting down or out of service.
    #[error("the instance is draining; connect again")]
    Draining,
    /// No home of the database is reachable.
    #[error("no instance that serves the database can be reached")]
    NoHome,
    /// The manifest has no such route, or the service does not offer it.
    #[error("unknown route")]
    UnknownRoute,
    /// The session token is malformed, not authentic, or issued to another organisation.
    #[error("the session token is not valid")]
    BadToken,
    /// The instance cannot determine the age of its configuration.
    #[error("the instance is cut off from the platform and its peers")]
    StaleConfiguration,
    /// The API key with which the session logged in was revoked.
    #[error("the organisation's key was withdrawn")]
    KeyWithdrawn,
    /// No slot proved in time that it holds the log position that the session must see.
    #[error("no backend server reached the session's position in time")]
    PositionNotReached,
    /// No slot could prove that its data is within the staleness bound of the route.
    #[error("the age of the data cannot be proved")]
    AgeNotProved,
    /// The request is malformed or too large.
    #[error("the request is malformed or too large")]
    BadMessage,
    /// No connection to a slot of the database could be established.
    #[error("the database cannot be connected")]
    CannotConnect,
    /// The organisation is not allowed to use the service or route.
    #[error("the organisation may not use this service")]
    NotAllowed,
}

impl NotRun {
    /// All variants, for the error table of the operator documentation and for tests.
    pub const ALL: [Self; 15] = [
        Self::Rate,
        Self::Overload,
        Self::Deadline,
        Self::NoPrimary,
        Self::Draining,
        Self::NoHome,
        Self::UnknownRoute,
        Self::BadToken,
        Self::StaleConfiguration,
        Self::KeyWithdrawn,
        Self::PositionNotReached,
        Self::AgeNotProved,
        Self::BadMessage,
        Self::CannotConnect,
        Self::NotAllowed,
    ];

    /// The SQLSTATE of this error, in class `WN`.
    pub const fn sqlstate(self) -> &'static str {
        match self {
            Self::Rate => "WN001",
            Self::Overload => "WN002",
            Self::Deadline => "WN003",
            Self::NoPrimary => "WN004",
            Self::Draining => "WN005",
            Self::NoHome => "WN006",
            Self::UnknownRoute => "WN007",
            Self::BadToken => "WN008",
            Self::StaleConfiguration => "WN009",
            Self::KeyWithdrawn => "WN010",
            Self::PositionNotReached => "WN011",
            Self::AgeNotProved => "WN012",
            Self::BadMessage => "WN013",
            Self::CannotConnect => "WN014",
            Self::NotAllowed => "WN015",
        }
    }
}

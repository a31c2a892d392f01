//! The history of a run: the requests of all callers with their outcomes.

use crate::sql::ClientError;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// A payment: inserts a row with this id into the ledger.
    Pay(String),
    /// A booking: inserts a row for a slot into the table of bookings, in a transaction.
    Book {
        /// Key of the booked slot, `ORGANISATION/slot-N`.
        slot: String,
        /// Artist that the slot is booked for; each caller has its own.
        artist: String,
    },
    /// Writes the next number of a session to its key.
    Write {
        /// Key of the session.
        key: String,
        /// The number written; it increases with each write.
        number: u64,
    },
    /// Reads the number of a session with read-your-writes consistency, by its session token.
    Read {
        /// Key of the session.
        key: String,
        /// Highest number whose write was acknowledged to the session; 0 for none.
        at_least: u64,
    },
    /// Reads the number of a session with bounded staleness.
    ReadBoundedStaleness {
        /// Key of the session.
        key: String,
    },
    /// Reads a generated series of the numbers from 1 to `count`, one a row, to test long results.
    Series {
        /// Number of rows.
        count: usize,
    },
}

/// The outcome of a request as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Succeeded, with the first column of each row.
    Done(Vec<String>),
    /// Guaranteed not to have run, with the SQLSTATE (class `WN`).
    NotRun(String),
    /// Failed in the database, with its SQLSTATE.
    Failed(String),
    /// May or may not have run, with the SQLSTATE; empty when the connection was lost or the request timed out.
    Unknown(String),
}

/// A completed request with its outcome.
#[derive(Debug, Clone)]
pub struct Event {
    /// Index of the caller's organisation.
    pub organisation: usize,
    /// Index of the service.
    pub service: usize,
    /// Index of the instance that the caller was connected to.
    pub instance: usize,
    /// The request.
    pub request: Request,
    /// The outcome.
    pub outcome: Outcome,
    /// Time at which the request was sent, since the start of the history.
    pub sent: Duration,
    /// Time at which the caller received the outcome, since the start of the history.
    pub ended: Duration,
}

/// The completed requests of all callers.
#[derive(Debug)]
pub struct History {
    started: Instant,
    events: Mutex<Vec<Event>>,
}

impl Outcome {
    /// Classifies the error of a failed request by its SQLSTATE.
    pub fn from_error(e: &ClientError) -> Self {
        let code = e.code().to_owned();
        match code.get(..2) {
            // Class 57 includes 57P01, with which a server closes a connection between transactions. After these codes, and
            // after a lost connection, the request may or may not have run.
            Some("WN") => Self::NotRun(code),
            Some("WU" | "57" | "08") | None => Self::Unknown(code),
            Some(_) => Self::Failed(code),
        }
    }

    /// Whether the request was certainly executed, with or without an error.
    pub const fn certainly_ran(&self) -> bool {
        matches!(self, Self::Done(_) | Self::Failed(_))
    }
}

impl History {
    /// Creates an empty history that starts now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            events: Mutex::new(Vec::new()),
        }
    }

    /// Time since the start of the history.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records a completed request.
    pub fn add(&self, event: Event) {
        self.lock().push(event);
    }

    /// A copy of all completed requests, in the order of their completion.
    pub fn events(&self) -> Vec<Event> {
        self.lock().clone()
    }

    /// Number of requests per outcome: `done`, `connection lost` or an SQLSTATE.
    pub fn outcome_counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for event in self.lock().iter() {
            let name = match &event.outcome {
                Outcome::Done(_) => "done".to_owned(),
                Outcome::Unknown(code) if code.is_empty() => "connection lost".to_owned(),
                Outcome::NotRun(code) | Outcome::Failed(code) | Outcome::Unknown(code) => code.clone(),
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Event>> {
        self.events.lock().expect("no panic under this lock")
    }
}

//! Decides which claims on the memory of the process are granted, and which connection is closed for them.

use std::collections::BTreeMap;
use std::time::Duration;
use wasabiyard_model::Time;

/// Bytes for each purpose of a connection that are not counted, so that messages of the usual size touch no budget.
pub const UNCOUNTED_BYTES: usize = 4 * 1_024;
/// A connection that has held its claim for less is not closed for others. Messages of well-behaved callers that arrive at
/// the same time should wait for each other instead.
const MIN_HOLD_TIME: Duration = Duration::from_millis(100);
/// Time without progress beyond which a claim weighs no more, as long as a message may take. Otherwise the few bytes of a
/// session that is idle for an hour would outweigh a large message that has stopped.
const MAX_WEIGHTED_AGE: Duration = Duration::from_secs(20);

/// What memory is claimed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A login that has not arrived completely.
    Login,
    /// A message that has not arrived completely.
    Message,
    /// A statement that waits or runs.
    Statement,
    /// An answer that its caller has not read.
    Answer,
    /// An answer that is being read from a backend server.
    ServerAnswer,
    /// Prepared names and values of a session.
    SessionState,
}

impl Purpose {
    /// All purposes, in the order of their declaration.
    pub const ALL: [Self; 6] = [
        Self::Login,
        Self::Message,
        Self::Statement,
        Self::Answer,
        Self::ServerAnswer,
        Self::SessionState,
    ];

    /// Value of the label `purpose` of metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Login => "login",
            Self::Message => "message",
            Self::Statement => "statement",
            Self::Answer => "answer",
            Self::ServerAnswer => "server_answer",
            Self::SessionState => "session_state",
        }
    }

    /// Largest part of the budget, so that no purpose takes what the others need to go on.
    const fn share(self, total: usize) -> usize {
        match self {
            Self::Login => total / 8,
            Self::Message | Self::Statement | Self::Answer | Self::ServerAnswer => total / 2,
            Self::SessionState => total / 4,
        }
    }

    /// Whether the caller decides how long the bytes are held. The others end with the statement.
    const fn depends_on_caller(self) -> bool {
        matches!(
            self,
            Self::Login | Self::Message | Self::Answer | Self::SessionState
        )
    }
}

/// Key of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimId(u64);

/// Result of an attempt to claim memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The bytes are claimed.
    Granted,
    /// The connection of this claim must be closed. Its bytes, with those of further ones, are enough for the attempt.
    Close(ClaimId),
    /// Bytes of connections that are being closed are enough for the attempt once they are returned.
    Wait,
    /// No connection can be closed for the attempt.
    Exhausted,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    purpose: Purpose,
    bytes: usize,
    /// Since when the bytes have been held without the message or answer being complete.
    since: Time,
    /// The connection runs a statement, so that closing it would lose an answer.
    busy: bool,
    closing: bool,
}

impl Entry {
    /// Bytes held, weighted with the time without progress, up to [`MAX_WEIGHTED_AGE`].
    fn cost(&self, now: Time) -> u128 {
        let age = now.saturating_since(self.since).min(MAX_WEIGHTED_AGE);
        self.bytes as u128 * age.as_micros()
    }

    fn may_be_closed(&self, now: Time) -> bool {
        self.purpose.depends_on_caller()
            && !self.closing
            && !self.busy
            && now.saturating_since(self.since) >= MIN_HOLD_TIME
    }
}

/// The budget of the process. Tracks only claims above [`UNCOUNTED_BYTES`].
#[derive(Debug)]
pub struct MemoryBudget {
    total: usize,
    used: [usize; Purpose::ALL.len()],
    claims: BTreeMap<ClaimId, Entry>,
    next_id: u64,
}

impl MemoryBudget {
    /// A budget of `total` bytes with no claims.
    pub const fn new(total: usize) -> Self {
        Self {
            total,
            used: [0; Purpose::ALL.len()],
            claims: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Bytes claimed for a purpose.
    pub const fn used(&self, purpose: Purpose) -> usize {
        self.used[purpose as usize]
    }

    /// Registers a claim of no bytes that begins at `now`.
    pub fn open(&mut self, purpose: Purpose, now: Time) -> ClaimId {
        let id = ClaimId(self.next_id);
        self.next_id += 1;
        let entry = Entry {
            purpose,
            bytes: 0,
            since: now,
            busy: false,
            closing: false,
        };
        self.claims.insert(id, entry);
        id
    }

    /// Removes a claim and returns its bytes.
    pub fn close(&mut self, id: ClaimId) {
        let entry = self.claims.remove(&id).expect("a claim is closed once");
        self.used[entry.purpose as usize] -= entry.bytes;
    }

    /// Marks whether the connection of a claim runs a statement. The time without progress is counted from the end of the
    /// last one.
    pub fn set_busy(&mut self, id: ClaimId, busy: bool, now: Time) {
        let entry = self.claims.get_mut(&id).expect("an open claim");
        entry.busy = busy;
        entry.since = now;
    }

    /// Changes a claim to `bytes`. Less is always granted.
    pub fn resize(&mut self, id: ClaimId, bytes: usize, now: Time) -> Decision {
        let entry = self.claims[&id];
        let additional = bytes.saturating_sub(entry.bytes);
        let missing = self.missing(entry.purpose, additional);
        if missing == 0 {
            self.force(id, bytes);
            return Decision::Granted;
        }
        let share_is_full = self.used(entry.purpose) + additional > entry.purpose.share(self.total);
        let competes = |e: &Entry| !share_is_full || e.purpose == entry.purpose;
        let sum = |may_count: &dyn Fn(&Entry) -> bool| -> usize {
            let entries = self.claims.values().filter(|e| may_count(e) && competes(e));
            entries.map(|e| e.bytes).sum()
        };
        let closing = sum(&|e| e.closing);
        if closing >= missing {
            return Decision::Wait;
        }
        if closing + sum(&|e| e.may_be_closed(now)) < missing {
            // Closing them would not help.
            return Decision::Exhausted;
        }
        let candidates = self.claims.iter().filter(|(_, e)| competes(e));
        let costliest = candidates
            .filter(|(other, e)| **other == id || e.may_be_closed(now))
            .max_by_key(|(_, e)| e.cost(now));
        match costliest {
            Some((other, _)) if *other != id => {
                let other = *other;
                let entry = self.claims.get_mut(&other).expect("an open claim");
                entry.closing = true;
                Decision::Close(other)
            }
            _ => Decision::Exhausted,
        }
    }

    /// Changes a claim to `bytes` although the budget is used up, because other connections are being closed for it.
    pub fn force(&mut self, id: ClaimId, bytes: usize) {
        let entry = self.claims.get_mut(&id).expect("an open claim");
        let used = &mut self.used[entry.purpose as usize];
        *used = *used - entry.bytes + bytes;
        entry.bytes = bytes;
    }

    /// Bytes that would have to be returned first.
    fn missing(&self, purpose: Purpose, additional: usize) -> usize {
        if additional == 0 {
            return 0;
        }
        let share = (self.used(purpose) + additional).saturating_sub(purpose.share(self.total));
        let total = (self.used.iter().sum::<usize>() + additional).saturating_sub(self.total);
        share.max(total)
    }
}

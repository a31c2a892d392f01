//! Units on their way between two holders.
//!
//! A giver numbers its transfers for each name of a receiver and repeats one until it is answered. Numbers are not used
//! again for a later process of the same name, so that a late answer cannot settle another transfer. A receiver remembers its
//! answers for the newest numbers, so that a transfer that arrives twice is added once and gets the same answer again.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, Time};
use wasabiyard_wire::{ControlMessage, ShareTransfer};

/// Numbers that a receiver remembers for one giver, and the most by which a giver runs ahead of its oldest unanswered
/// transfer.
const WINDOW: u64 = 256;
const REPEAT_AFTER: Duration = Duration::from_millis(500);

/// Transfers that this process gave and that are not answered.
#[derive(Debug, Default)]
pub(crate) struct Outgoing {
    next: HashMap<InstanceId, u64>,
    pending: BTreeMap<(InstanceId, u64), (ShareTransfer, Time)>,
}

impl Outgoing {
    /// The number of the next transfer to a receiver, `None` while too many are unanswered.
    pub(crate) fn next_number(&self, receiver: &InstanceId) -> Option<u64> {
        let next = self.next.get(receiver).copied().unwrap_or(0);
        let mut pending = self
            .pending
            .range((receiver.clone(), 0)..=(receiver.clone(), u64::MAX));
        let oldest = pending.next().map_or(next, |((_, number), _)| *number);
        (next - oldest < WINDOW).then_some(next)
    }

    /// Keeps a transfer until it is answered.
    pub(crate) fn insert(&mut self, receiver: InstanceId, transfer: ShareTransfer, now: Time) {
        self.next.insert(receiver.clone(), transfer.number + 1);
        let old = self.pending.insert((receiver, transfer.number), (transfer, now));
        assert!(old.is_none(), "a number is used once");
    }

    /// Removes an answered transfer. `None` for a second answer, or when the transfer is void.
    pub(crate) fn answered(&mut self, receiver: &InstanceId, number: u64) -> Option<ShareTransfer> {
        self.pending
            .remove(&(receiver.clone(), number))
            .map(|(transfer, _)| transfer)
    }

    /// Forgets the transfers of a bucket. They count only if the receiver reports them.
    pub(crate) fn void(&mut self, bucket: u16) {
        self.pending.retain(|_, (transfer, _)| transfer.bucket != bucket);
    }

    /// Transfers whose answer is overdue, to send again.
    pub(crate) fn overdue(&mut self, now: Time) -> Vec<(InstanceId, ShareTransfer)> {
        let mut out = Vec::new();
        for ((receiver, _), (transfer, sent)) in &mut self.pending {
            if now.saturating_since(*sent) >= REPEAT_AFTER {
                *sent = now;
                out.push((receiver.clone(), transfer.clone()));
            }
        }
        out
    }

    /// Whether nothing is on its way.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// All transfers that are on their way, with their receivers.
    pub(crate) fn transfers(&self) -> impl Iterator<Item = (&InstanceId, &ShareTransfer)> {
        self.pending
            .iter()
            .map(|((receiver, _), (transfer, _))| (receiver, transfer))
    }
}

/// How a transfer that arrived was answered before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Earlier {
    /// It was not seen.
    New,
    /// It was added.
    Accepted,
    /// It was returned.
    Returned,
    /// It is too old to tell, or of an ended process.
    Stale,
}

/// Answers to transfers that this process received.
#[derive(Debug, Default)]
pub(crate) struct Incoming {
    givers: HashMap<InstanceId, (Incarnation, BTreeMap<u64, bool>)>,
}

impl Incoming {
    /// How this transfer was answered before.
    pub(crate) fn earlier(&self, transfer: &ShareTransfer) -> Earlier {
        let Some((incarnation, answers)) = self.givers.get(&transfer.giver) else {
            return Earlier::New;
        };
        if transfer.incarnation != *incarnation {
            return if transfer.incarnation > *incarnation {
                Earlier::New
            } else {
                Earlier::Stale
            };
        }
        match answers.get(&transfer.number) {
            Some(true) => Earlier::Accepted,
            Some(false) => Earlier::Returned,
            None if answers
                .keys()
                .next_back()
                .is_some_and(|last| transfer.number + WINDOW <= *last) =>
            {
                Earlier::Stale
            }
            None => Earlier::New,
        }
    }

    /// Remembers an answer and returns it as a message.
    pub(crate) fn record(&mut self, transfer: &ShareTransfer, accepted: bool) -> ControlMessage {
        let entry = self.givers.entry(transfer.giver.clone()).or_default();
        if entry.0 != transfer.incarnation {
            *entry = (transfer.incarnation, BTreeMap::new());
        }
        entry.1.insert(transfer.number, accepted);
        while entry.1.len() as u64 > WINDOW {
            entry.1.pop_first();
        }
        answer(transfer, accepted)
    }
}

/// The answer to a transfer.
pub(crate) fn answer(transfer: &ShareTransfer, accepted: bool) -> ControlMessage {
    let (giver, incarnation, number) = (transfer.giver.clone(), transfer.incarnation, transfer.number);
    if accepted {
        ControlMessage::ShareAck {
            giver,
            incarnation,
            number,
        }
    } else {
        ControlMessage::ShareReturn {
            giver,
            incarnation,
            number,
        }
    }
}

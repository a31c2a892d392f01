//! Transfers of units between two holders.
//!
//! A giver numbers its transfers for each receiver name and retransmits one until it is acknowledged or returned. The
//! numbers continue for a later process of the same name, so that a late response cannot settle another transfer. A
//! receiver keeps its responses to the latest numbers, so that a transfer that arrives twice is added once and gets
//! the same response again.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, Time};
use wasabiyard_wire::{ControlMessage, ShareTransfer};

/// Number of responses that a receiver keeps for one giver. A giver's numbers are less than this ahead of its oldest
/// unanswered transfer.
const TRANSFER_WINDOW: u64 = 256;
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(500);

/// Transfers made by this process that are not yet answered.
#[derive(Debug, Default)]
pub(crate) struct OutgoingTransfers {
    /// Number of the next transfer by receiver name.
    next_numbers: HashMap<InstanceId, u64>,
    /// Unanswered transfers by receiver and number, with the time of the last transmission.
    pending: BTreeMap<(InstanceId, u64), (ShareTransfer, Time)>,
}

impl OutgoingTransfers {
    /// The number of the next transfer to a receiver; `None` while the window of unanswered transfers is full.
    pub(crate) fn next_number(&self, receiver: &InstanceId) -> Option<u64> {
        let next = self.next_numbers.get(receiver).copied().unwrap_or(0);
        let mut pending = self
            .pending
            .range((receiver.clone(), 0)..=(receiver.clone(), u64::MAX));
        let oldest = pending.next().map_or(next, |((_, number), _)| *number);
        (next - oldest < TRANSFER_WINDOW).then_some(next)
    }

    /// Stores a transfer until it is answered.
    pub(crate) fn insert(&mut self, receiver: InstanceId, transfer: ShareTransfer, now: Time) {
        self.next_numbers.insert(receiver.clone(), transfer.number + 1);
        let previous = self.pending.insert((receiver, transfer.number), (transfer, now));
        assert!(previous.is_none(), "a transfer number was used twice");
    }

    /// Removes an answered transfer. Returns `None` for a repeated response, and for a cancelled transfer.
    pub(crate) fn remove_answered(&mut self, receiver: &InstanceId, number: u64) -> Option<ShareTransfer> {
        self.pending
            .remove(&(receiver.clone(), number))
            .map(|(transfer, _)| transfer)
    }

    /// Cancels the transfers of a bucket for a reissue. Their units count only if the receivers report them.
    pub(crate) fn cancel_bucket(&mut self, bucket: u16) {
        self.pending.retain(|_, (transfer, _)| transfer.bucket != bucket);
    }

    /// Returns the transfers to retransmit, each with its receiver.
    pub(crate) fn due_retransmissions(&mut self, now: Time) -> Vec<(InstanceId, ShareTransfer)> {
        let mut retransmissions = Vec::new();
        for ((receiver, _), (transfer, last_sent)) in &mut self.pending {
            if now.saturating_since(*last_sent) >= RETRANSMIT_INTERVAL {
                *last_sent = now;
                retransmissions.push((receiver.clone(), transfer.clone()));
            }
        }
        retransmissions
    }

    /// Whether every transfer is answered or cancelled.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// All unanswered transfers, each with its receiver.
    pub(crate) fn transfers(&self) -> impl Iterator<Item = (&InstanceId, &ShareTransfer)> {
        self.pending
            .iter()
            .map(|((receiver, _), (transfer, _))| (receiver, transfer))
    }
}

/// The earlier response to a transfer that has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EarlierResponse {
    /// The transfer is new.
    Unseen,
    /// The units were added.
    Accepted,
    /// The units were returned.
    Returned,
    /// The transfer is older than the kept responses, or its giver is a process that was replaced.
    Stale,
}

/// Responses to transfers that this process received.
#[derive(Debug, Default)]
pub(crate) struct IncomingTransfers {
    /// Latest incarnation of each giver, and by transfer number whether the units were accepted.
    givers: HashMap<InstanceId, (Incarnation, BTreeMap<u64, bool>)>,
}

impl IncomingTransfers {
    /// Returns the earlier response to a transfer.
    pub(crate) fn earlier_response(&self, transfer: &ShareTransfer) -> EarlierResponse {
        let Some((incarnation, responses)) = self.givers.get(&transfer.giver) else {
            return EarlierResponse::Unseen;
        };
        if transfer.incarnation != *incarnation {
            return if transfer.incarnation > *incarnation {
                EarlierResponse::Unseen
            } else {
                EarlierResponse::Stale
            };
        }
        match responses.get(&transfer.number) {
            Some(true) => EarlierResponse::Accepted,
            Some(false) => EarlierResponse::Returned,
            None if responses
                .keys()
                .next_back()
                .is_some_and(|last| transfer.number + TRANSFER_WINDOW <= *last) =>
            {
                EarlierResponse::Stale
            }
            None => EarlierResponse::Unseen,
        }
    }

    /// Stores a response and returns it as a message.
    pub(crate) fn record(&mut self, transfer: &ShareTransfer, accepted: bool) -> ControlMessage {
        let entry = self.givers.entry(transfer.giver.clone()).or_default();
        if entry.0 != transfer.incarnation {
            *entry = (transfer.incarnation, BTreeMap::new());
        }
        entry.1.insert(transfer.number, accepted);
        while entry.1.len() as u64 > TRANSFER_WINDOW {
            entry.1.pop_first();
        }
        response(transfer, accepted)
    }
}

/// The message that acknowledges or returns a transfer.
pub(crate) fn response(transfer: &ShareTransfer, accepted: bool) -> ControlMessage {
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

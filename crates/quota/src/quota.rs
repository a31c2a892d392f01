//! The state machine of one instance.

use crate::registration::Registration;
use crate::shares::{Ask, Settlement, Shares};
use crate::steward::Steward;
use crate::{Answer, Call, Command, Event, Holder};
use rand::Rng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};
use wasabiyard_wire::{ControlMessage, ShareTransfer};
use xxhash_rust::xxh3::xxh3_64;

/// Buckets into which the organisations are grouped, so that a reissue costs a fixed number of platform calls.
pub const BUCKETS: u16 = 64;

/// The bucket of an organisation.
pub fn bucket_of(organisation: &str) -> u16 {
    (xxh3_64(organisation.as_bytes()) % u64::from(BUCKETS)) as u16
}

/// Rates of all organisations at one instance.
///
/// Between two calls the traffic threads may spend published tokens. Before an event or a tick the caller settles the
/// organisations concerned: it takes back what exceeds [`Quota::reserve`] and reports what is left. Afterwards it
/// publishes again.
#[derive(Debug)]
pub struct Quota {
    shares: Shares,
    steward: Steward,
    registration: Registration,
}

impl Quota {
    /// The state machine of a process that just started and holds nothing.
    pub fn new(me: Holder) -> Self {
        Self {
            shares: Shares::new(me),
            steward: Steward::default(),
            registration: Registration::new(),
        }
    }

    /// Sets the organisations of the manifest with their rates (statements a second) and bursts (statements).
    pub fn set_organisations<'a, I>(&mut self, organisations: I, now: Time)
    where
        I: IntoIterator<Item = (&'a str, u32, u32)>,
    {
        let declared: HashMap<&str, (u32, u32)> =
            organisations.into_iter().map(|(n, r, b)| (n, (r, b))).collect();
        let mut added = false;
        for name in declared.keys() {
            added |= !self.shares.organisations.contains_key(*name);
            self.shares.organisation(name, now);
        }
        for (name, organisation) in &mut self.shares.organisations {
            let (rate, burst) = declared.get(&**name).copied().unwrap_or_default();
            organisation.account.refill(now);
            organisation.account.set_limits(rate, burst);
        }
        if added {
            self.steward.hurry(now);
        }
    }

    /// Sets the live members of the fleet.
    pub fn set_peers(&mut self, peers: Vec<Holder>, now: Time) {
        let me = self.shares.me.clone();
        if self.shares.peers.replace(&me, peers) {
            self.steward.hurry(now);
        }
    }

    /// Names of all organisations.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<str>> {
        self.shares.organisations.keys()
    }

    /// Millionths of tokens that the traffic threads keep while an event is handled.
    pub fn reserve(&self, organisation: &str) -> u64 {
        let known = self
            .shares
            .organisations
            .get(organisation)
            .filter(|_| !self.shares.leaving);
        known.map_or(0, crate::organisation::Organisation::reserve)
    }

    /// Counts what the traffic threads did with one organisation. `elapsed` is the time since the last tick, zero when
    /// no attempts are reported.
    ///
    /// The bucket is filled before the spent tokens are subtracted. When they were spent is not known; filled
    /// afterwards, a bucket that was full until just now would get tokens for a time in which it had no room.
    pub fn settle(&mut self, organisation: &str, settlement: Settlement, elapsed: Duration, now: Time) {
        let Some(organisation) = self.shares.organisations.get_mut(organisation) else {
            assert!(
                settlement.left + settlement.withdrawn == 0,
                "nothing was published"
            );
            return;
        };
        organisation.account.refill(now);
        organisation.account.settle(settlement.left, settlement.withdrawn);
        organisation.loan.0 = organisation.loan.0.min(settlement.loan_left);
        if !elapsed.is_zero() {
            organisation.demand.on_tick(settlement.attempts, elapsed);
        }
    }

    /// Millionths of tokens to add to what the traffic threads may spend.
    pub fn publish(&mut self, organisation: &str) -> u64 {
        let known = self.shares.organisations.get_mut(organisation);
        known.map_or(0, |o| o.account.publish())
    }

    /// Handles a message or an answer of the platform.
    pub fn on_event(&mut self, event: Event, now: Time) -> Vec<Command> {
        match event {
            Event::Message(from, message) => self.on_message(&from, message, now),
            Event::Answer(answer) => self.on_answer(answer, now),
        }
    }

    /// Does what is due. Called every 100 ms.
    pub fn tick<R>(&mut self, now: Time, rng: &mut R) -> Vec<Command>
    where
        R: Rng + ?Sized,
    {
        let mut out = self.shares.tick(now, rng);
        if self.shares.leaving {
            if self.holds_nothing() {
                out.extend(self.registration.leave(&self.shares.me, now).map(Command::Call));
            }
        } else {
            out.extend(self.registration.tick(now).map(Command::Call));
        }
        if self.registration.wants_list(now) {
            self.steward.want_list();
        }
        out.extend(self.steward.tick(&self.shares, now));
        out
    }

    /// Starts to give all units away. The caller settles with a reserve of zero from now on.
    pub fn leave(&mut self) {
        self.shares.leaving = true;
    }

    /// Whether a process that leaves holds nothing and is not registered any more, or knows nobody to give units to.
    pub fn is_drained(&self) -> bool {
        let done = self.holds_nothing() && self.registration.is_left();
        self.shares.leaving && (done || self.shares.peers.fleet_size() == 1)
    }

    /// Whether units may be received.
    pub fn is_ready(&self) -> bool {
        self.shares.ready
    }

    /// Whether every declared organisation has units here, so that its first statements are served.
    pub fn is_stocked(&self) -> bool {
        let mut declared = self
            .shares
            .organisations
            .values()
            .filter(|o| o.account.is_declared());
        self.shares.ready && declared.all(|o| o.account.units() > 0)
    }

    /// Units held of an organisation.
    pub fn units(&self, organisation: &str) -> u32 {
        self.shares
            .organisations
            .get(organisation)
            .map_or(0, |o| o.account.units())
    }

    /// Transfers that are not answered, each with its receiver.
    pub fn on_the_way(&self) -> impl Iterator<Item = (&InstanceId, &ShareTransfer)> {
        self.shares.outgoing.transfers()
    }

    fn holds_nothing(&self) -> bool {
        let shares = &self.shares;
        self.steward.is_idle()
            && shares.outgoing.is_empty()
            && shares.organisations.values().all(|o| o.account.units() == 0)
    }

    fn on_message(&mut self, from: &InstanceId, message: ControlMessage, now: Time) -> Vec<Command> {
        let shares = &mut self.shares;
        let reply = match message {
            ControlMessage::ShareAsk {
                incarnation,
                number,
                organisation,
                units,
                milli_tokens,
                round,
            } => {
                let ask = Ask {
                    asker: from,
                    incarnation,
                    number,
                    units,
                    milli_tokens,
                    round,
                };
                return shares.on_ask(&organisation, ask, now);
            }
            ControlMessage::TokenLoan {
                giver,
                borrower,
                ask,
                milli_tokens,
                ..
            } => {
                if borrower != shares.me.incarnation {
                    return Vec::new();
                }
                return shares
                    .on_loan(&giver, ask, milli_tokens, now)
                    .into_iter()
                    .collect();
            }
            ControlMessage::RoundReport(report) => {
                return self.steward.on_report(&report, shares).into_iter().collect();
            }
            ControlMessage::ShareTransfer(transfer) => shares.on_transfer(&transfer, now),
            ControlMessage::ShareAck {
                incarnation, number, ..
            } => {
                shares.on_ack(from, incarnation, number);
                None
            }
            ControlMessage::ShareReturn {
                incarnation, number, ..
            } => {
                shares.on_return(from, incarnation, number, now);
                None
            }
            ControlMessage::RoundFreeze { bucket, round } => shares.on_freeze(bucket, round, from, now),
            ControlMessage::RoundDone { bucket, round } => {
                shares.on_closed(bucket, round);
                None
            }
            _ => None,
        };
        reply
            .into_iter()
            .map(|reply| Command::Send(from.clone(), reply))
            .collect()
    }

    fn on_answer(&mut self, answer: Answer, now: Time) -> Vec<Command> {
        let shares = &mut self.shares;
        match answer {
            Answer::Registered => self
                .registration
                .on_registered(now)
                .into_iter()
                .map(Command::Call)
                .collect(),
            Answer::Unregistered(holder) => {
                if holder == shares.me {
                    self.registration.on_unregistered();
                }
                Vec::new()
            }
            Answer::Rounds(docs) => {
                let out = self.steward.on_rounds(docs, shares, now);
                if self.registration.on_rounds() {
                    shares.ready = true;
                    self.steward.hurry(now);
                }
                out
            }
            Answer::Round(bucket, found) => self.steward.on_round(bucket, found, shares, now),
            Answer::Written(bucket, version) => self.steward.on_written(bucket, version, shares, now),
            Answer::Holders {
                number,
                registered,
                listed,
            } => {
                let register = self.registration.on_list(&shares.me, &listed, now);
                let mut out = self.steward.on_list(number, registered, &listed, shares, now);
                out.extend(register.map(Command::Call));
                out
            }
            Answer::Failed(Call::WriteRound { bucket, .. }) => vec![Command::Call(Call::ReadRound(bucket))],
            Answer::Failed(_) => Vec::new(),
        }
    }
}

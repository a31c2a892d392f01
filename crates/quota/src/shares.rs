//! The units of this holder: what it has, gives, receives, lends and reports.

use crate::account::{LENT_HOLD, LOAN_LIFE};
use crate::organisation::Organisation;
use crate::peers::Peers;
use crate::rounds::{Rounds, Step};
use crate::transfers::{Earlier, Incoming, Outgoing, answer};
use crate::{Command, Holder, RoundDoc, WHOLE_UNITS, bucket_of};
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, Time};
use wasabiyard_wire::{ControlMessage, ShareReport, ShareTransfer};

const MICRO_PER_MILLI: u64 = 1_000;
const SURPLUS_PAUSE_MILLIS: std::ops::Range<u64> = 400..700;
/// Part of the held units, and of an equal share, that a surplus must exceed to be worth a message.
const SURPLUS_PART: u32 = 5;
/// From this many failed asks in a row, two peers are asked at once.
const FAILURES_FOR_TWO: u32 = 2;

/// What the traffic threads did with the published tokens of one organisation since the last settlement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Settlement {
    /// Millionths of tokens that remain published.
    pub left: u64,
    /// Millionths of tokens that were taken back from the traffic threads.
    pub withdrawn: u64,
    /// Millionths of borrowed tokens that remain.
    pub loan_left: u64,
    /// Statements that asked for a token, refused ones included.
    pub attempts: u64,
}

/// An ask of a peer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ask<'a> {
    pub(crate) asker: &'a InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) number: u64,
    pub(crate) units: u32,
    pub(crate) milli_tokens: u64,
    pub(crate) round: Option<u64>,
}

/// The holdings of this process.
#[derive(Debug)]
pub(crate) struct Shares {
    pub(crate) me: Holder,
    pub(crate) organisations: BTreeMap<Arc<str>, Organisation>,
    pub(crate) rounds: Rounds,
    pub(crate) peers: Peers,
    pub(crate) outgoing: Outgoing,
    incoming: Incoming,
    /// Registered, and the rounds were read after that. Before, no units may be received.
    pub(crate) ready: bool,
    pub(crate) leaving: bool,
    asks: BTreeMap<u64, (Arc<str>, Time)>,
    next_ask: u64,
}

impl Shares {
    pub(crate) fn new(me: Holder) -> Self {
        Self {
            me,
            organisations: BTreeMap::new(),
            rounds: Rounds::default(),
            peers: Peers::default(),
            outgoing: Outgoing::default(),
            incoming: Incoming::default(),
            ready: false,
            leaving: false,
            asks: BTreeMap::new(),
            next_ask: 0,
        }
    }

    /// The organisation of that name, added when it is not known yet.
    pub(crate) fn organisation(&mut self, name: &str, now: Time) -> &mut Organisation {
        if !self.organisations.contains_key(name) {
            let mut organisation = Organisation::default();
            organisation.account.refill(now);
            self.organisations.insert(Arc::from(name), organisation);
        }
        self.organisations.get_mut(name).expect("just added")
    }

    /// A transfer arrived. Returns the answer; without one the giver repeats it.
    pub(crate) fn on_transfer(&mut self, transfer: &ShareTransfer, now: Time) -> Option<ControlMessage> {
        if !self.ready || transfer.receiver != self.me.incarnation {
            return None;
        }
        match self.incoming.earlier(transfer) {
            Earlier::Accepted => return Some(answer(transfer, true)),
            Earlier::Returned => return Some(answer(transfer, false)),
            Earlier::Stale => return None,
            Earlier::New => {}
        }
        let known = self.rounds.round(transfer.bucket);
        if transfer.round > known && !self.rounds.adopt_first(transfer.bucket, transfer.round) {
            return None;
        }
        let accepted = transfer.round >= known && !self.leaving;
        if accepted {
            let organisation = self.organisation(&transfer.organisation, now);
            organisation.account.refill(now);
            organisation.account.add(transfer.units, transfer.milli_tokens);
            organisation.helped(&transfer.giver, transfer.units, 0, now);
        }
        Some(self.incoming.record(transfer, accepted))
    }

    /// The receiver has the units.
    pub(crate) fn on_ack(&mut self, from: &InstanceId, incarnation: Incarnation, number: u64) {
        if incarnation == self.me.incarnation {
            self.outgoing.answered(from, number);
        }
    }

    /// The receiver refused the units.
    pub(crate) fn on_return(&mut self, from: &InstanceId, incarnation: Incarnation, number: u64, now: Time) {
        if incarnation != self.me.incarnation {
            return;
        }
        if let Some(transfer) = self.outgoing.answered(from, number) {
            let account = &mut self.organisation(&transfer.organisation, now).account;
            account.refill(now);
            account.add(transfer.units, transfer.milli_tokens);
        }
    }

    /// A peer asks for units, tokens or both.
    pub(crate) fn on_ask(&mut self, name: &str, ask: Ask<'_>, now: Time) -> Vec<Command> {
        let fleet = self.peers.fleet_size();
        let Some(organisation) = self.organisations.get_mut(name) else {
            return Vec::new();
        };
        organisation.account.refill(now);
        let mut wish = ask
            .milli_tokens
            .saturating_mul(MICRO_PER_MILLI)
            .min(organisation.spare_tokens());
        let units = ask
            .units
            .min(organisation.spare_units(fleet, ask.milli_tokens > 0));
        let mut out = Vec::new();
        let round = self.rounds.round(bucket_of(name));
        // An asker that registered before the first issue knows of no round; see `Rounds::adopt_first`.
        if ask.round == Some(round) || (round == 1 && ask.round == Some(0)) {
            let receiver = Holder::new(ask.asker.clone(), ask.incarnation);
            if let Some((command, moved)) = self.give(&receiver, name, units, wish, now) {
                wish = wish.saturating_sub(moved);
                out.push(command);
            }
        }
        let account = &mut self.organisations.get_mut(name).expect("found above").account;
        let milli_tokens = account.lend(wish, now + LENT_HOLD);
        if milli_tokens > 0 {
            let loan = ControlMessage::TokenLoan {
                giver: self.me.instance.clone(),
                incarnation: self.me.incarnation,
                borrower: ask.incarnation,
                ask: ask.number,
                organisation: name.to_owned(),
                milli_tokens,
            };
            out.push(Command::Send(ask.asker.clone(), loan));
        }
        out
    }

    /// Borrowed tokens arrived. They can be spent for a fixed time after the ask was sent.
    pub(crate) fn on_loan(&mut self, giver: &InstanceId, ask: u64, milli: u64, now: Time) -> Option<Command> {
        let (name, sent) = self.asks.remove(&ask)?;
        let mut expires = sent + LOAN_LIFE;
        if expires <= now {
            return None;
        }
        let organisation = self.organisations.get_mut(&name)?;
        let mut micro_tokens = milli.saturating_mul(MICRO_PER_MILLI);
        if organisation.loan.0 > 0 && organisation.loan.1 > now {
            expires = expires.min(organisation.loan.1);
            micro_tokens += organisation.loan.0;
        }
        organisation.loan = (micro_tokens, expires);
        organisation.helped(giver, 0, milli.saturating_mul(MICRO_PER_MILLI), now);
        Some(Command::Loan {
            organisation: name,
            micro_tokens: milli.saturating_mul(MICRO_PER_MILLI),
            expires,
        })
    }

    /// Stops transfers of a bucket for a round, and returns the report.
    pub(crate) fn on_freeze(
        &mut self,
        bucket: u16,
        round: u64,
        steward: &InstanceId,
        now: Time,
    ) -> Option<ControlMessage> {
        let step = self.rounds.on_freeze(bucket, round, steward, now);
        (step == Step::Report).then(|| {
            self.outgoing.void(bucket);
            ControlMessage::RoundReport(self.report(bucket))
        })
    }

    /// A round is closed.
    pub(crate) fn on_closed(&mut self, bucket: u16, round: u64) {
        if self.rounds.on_closed(bucket, round) == Step::Excluded {
            self.outgoing.void(bucket);
            for (_, organisation) in self
                .organisations
                .iter_mut()
                .filter(|(name, _)| bucket_of(name) == bucket)
            {
                organisation.account.drop_all();
            }
        }
    }

    /// Takes note of a round document.
    pub(crate) fn on_doc(&mut self, bucket: u16, doc: &RoundDoc, now: Time) -> Option<Command> {
        if doc.closed {
            self.on_closed(bucket, doc.round);
            return None;
        }
        let steward = &doc.steward.instance;
        let report = self.on_freeze(bucket, doc.round, steward, now)?;
        Some(Command::Send(steward.clone(), report))
    }

    /// The units held in a bucket.
    pub(crate) fn report(&self, bucket: u16) -> ShareReport {
        let held = self
            .organisations
            .iter()
            .filter(|(name, o)| bucket_of(name) == bucket && o.account.units() > 0);
        ShareReport {
            bucket,
            round: self.rounds.round(bucket),
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            units: held
                .map(|(name, o)| (name.to_string(), o.account.units()))
                .collect(),
        }
    }

    /// Fills the buckets, repeats what is overdue, and asks for or gives away units.
    pub(crate) fn tick<R>(&mut self, now: Time, rng: &mut R) -> Vec<Command>
    where
        R: Rng + ?Sized,
    {
        let overdue = self.outgoing.overdue(now).into_iter();
        let mut out: Vec<Command> = overdue
            .map(|(to, t)| Command::Send(to, ControlMessage::ShareTransfer(t)))
            .collect();
        let (reports, reads) = self.rounds.due(now);
        for (bucket, steward) in reports {
            out.push(Command::Send(
                steward,
                ControlMessage::RoundReport(self.report(bucket)),
            ));
        }
        out.extend(reads.into_iter().map(Command::Call));
        self.asks.retain(|_, (_, sent)| *sent + LOAN_LIFE > now);
        let names: Vec<Arc<str>> = self.organisations.keys().cloned().collect();
        for name in names {
            let organisation = self.organisations.get_mut(&name).expect("a name of the table");
            organisation.account.refill(now);
            if self.leaving {
                out.extend(self.give_away(&name, now, rng));
            } else {
                self.ask(&name, now, rng, &mut out);
                out.extend(self.give_surplus(&name, now, rng));
            }
        }
        out
    }

    fn ask<R>(&mut self, name: &Arc<str>, now: Time, rng: &mut R, out: &mut Vec<Command>)
    where
        R: Rng + ?Sized,
    {
        let fleet = self.peers.fleet_size();
        let pool = self.peers.pool(&self.me, name);
        let organisation = self.organisations.get_mut(name).expect("a name of the table");
        let Some(shortage) = organisation.shortage(fleet, now) else {
            return;
        };
        let Some(failures) = organisation.may_ask(shortage, now) else {
            return;
        };
        let first = match failures {
            1 => organisation.last_giver.clone(),
            n if n % 2 == 0 => pool,
            _ => None,
        };
        let random = |rng: &mut R| self.peers.random(rng).map(|p| p.instance.clone());
        let mut targets: Vec<InstanceId> = first.or_else(|| random(rng)).into_iter().collect();
        if failures >= FAILURES_FOR_TWO {
            targets.extend(random(rng).filter(|t| !targets.contains(t)));
        }
        organisation.asked(shortage, now);
        let round = self.ready.then(|| self.rounds.round(bucket_of(name)));
        for target in targets {
            self.next_ask += 1;
            self.asks.insert(self.next_ask, (Arc::clone(name), now));
            let ask = ControlMessage::ShareAsk {
                incarnation: self.me.incarnation,
                number: self.next_ask,
                organisation: name.to_string(),
                units: shortage.units,
                milli_tokens: shortage.micro_tokens / MICRO_PER_MILLI,
                round,
            };
            out.push(Command::Send(target, ask));
        }
    }

    /// Gives what is not needed to the pool, where others find it with one ask.
    fn give_surplus<R>(&mut self, name: &Arc<str>, now: Time, rng: &mut R) -> Option<Command>
    where
        R: Rng + ?Sized,
    {
        let fleet = self.peers.fleet_size();
        let pool = self.peers.pool(&self.me, name)?;
        let organisation = self.organisations.get_mut(name).expect("a name of the table");
        if organisation.next_surplus > now {
            return None;
        }
        organisation.next_surplus = now + Duration::from_millis(rng.random_range(SURPLUS_PAUSE_MILLIS));
        let spare = organisation.spare_units(fleet, false);
        let equal = WHOLE_UNITS / fleet as u32;
        if spare <= (organisation.account.units() / SURPLUS_PART).max(equal / SURPLUS_PART) {
            return None;
        }
        let receiver = Holder::new(pool.clone(), self.peers.incarnation(&pool)?);
        self.give(&receiver, name, spare, 0, now)
            .map(|(command, _)| command)
    }

    /// Gives everything away before this process stops.
    fn give_away<R>(&mut self, name: &Arc<str>, now: Time, rng: &mut R) -> Option<Command>
    where
        R: Rng + ?Sized,
    {
        let receiver = self.peers.random(rng)?.clone();
        let units = self.organisations[name].account.givable();
        self.give(&receiver, name, units, u64::MAX, now)
            .map(|(command, _)| command)
    }

    /// Gives units with tokens. Returns the message and the millionths of tokens that move.
    fn give(
        &mut self,
        receiver: &Holder,
        name: &str,
        units: u32,
        wish: u64,
        now: Time,
    ) -> Option<(Command, u64)> {
        let bucket = bucket_of(name);
        if units == 0 || !self.rounds.may_give(bucket) {
            return None;
        }
        let number = self.outgoing.next_number(&receiver.instance)?;
        let account = &mut self.organisations.get_mut(name)?.account;
        let milli_tokens = account.give(units, wish);
        let transfer = ShareTransfer {
            giver: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            receiver: receiver.incarnation,
            number,
            bucket,
            round: self.rounds.round(bucket),
            organisation: name.to_owned(),
            units,
            milli_tokens,
        };
        self.outgoing
            .insert(receiver.instance.clone(), transfer.clone(), now);
        let command = Command::Send(receiver.instance.clone(), ControlMessage::ShareTransfer(transfer));
        Some((command, milli_tokens * MICRO_PER_MILLI))
    }
}

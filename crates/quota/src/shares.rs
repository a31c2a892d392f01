//! The share units of this holder, and how they are requested, transferred, received, lent and reported.

use crate::account::{LOAN_CAPACITY_RESERVATION, LOAN_LIFETIME};
use crate::organisation::OrganisationState;
use crate::peers::Peers;
use crate::rounds::{RoundAction, Rounds};
use crate::transfers::{EarlierResponse, IncomingTransfers, OutgoingTransfers, response};
use crate::{Command, Holder, RoundDocument, UNITS_PER_ORGANISATION, bucket_of};
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId, Time};
use wasabiyard_wire::{ControlMessage, ShareReport, ShareTransfer};

const MICROTOKENS_PER_MILLITOKEN: u64 = 1_000;
const SURPLUS_INTERVAL_MILLIS: std::ops::Range<u64> = 400..700;
/// A surplus is transferred only when it exceeds the held units and an equal share, each divided by this; a smaller one
/// is not worth a message.
const MIN_SURPLUS_DIVISOR: u32 = 5;
/// Number of consecutive failed requests from which two peers are asked at the same time.
const FAILURES_BEFORE_SECOND_PEER: u32 = 2;

/// The traffic threads' use of the published tokens of one organisation since the last settlement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Settlement {
    /// Microtokens that remain published.
    pub still_published: u64,
    /// Microtokens that were taken back from the traffic threads.
    pub withdrawn: u64,
    /// Borrowed microtokens that are not spent.
    pub loan_remaining: u64,
    /// Statements that requested a token, refused ones included.
    pub attempts: u64,
}

/// A peer's request for units, tokens or both.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareRequest<'a> {
    pub(crate) sender: &'a InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) number: u64,
    pub(crate) units: u32,
    pub(crate) milli_tokens: u64,
    /// Latest round of the bucket that the sender knows; `None` when it may only borrow tokens.
    pub(crate) round: Option<u64>,
}

/// The share units of this process, with the state that transfers, loans and reports need.
#[derive(Debug)]
pub(crate) struct Shares {
    pub(crate) me: Holder,
    pub(crate) organisations: BTreeMap<Arc<str>, OrganisationState>,
    pub(crate) rounds: Rounds,
    pub(crate) peers: Peers,
    pub(crate) outgoing: OutgoingTransfers,
    incoming: IncomingTransfers,
    /// Whether this process has registered and has read the rounds after that. Before, no units may be received.
    pub(crate) ready: bool,
    /// Whether all units are to be transferred away, for a graceful stop.
    pub(crate) draining: bool,
    /// Organisation and send time of each request that may still be answered by a loan, by request number.
    pending_requests: BTreeMap<u64, (Arc<str>, Time)>,
    last_request_number: u64,
}

impl Shares {
    pub(crate) fn new(me: Holder) -> Self {
        Self {
            me,
            organisations: BTreeMap::new(),
            rounds: Rounds::default(),
            peers: Peers::default(),
            outgoing: OutgoingTransfers::default(),
            incoming: IncomingTransfers::default(),
            ready: false,
            draining: false,
            pending_requests: BTreeMap::new(),
            last_request_number: 0,
        }
    }

    /// Returns the state of an organisation, adding it when it is not known yet.
    pub(crate) fn organisation(&mut self, name: &str, now: Time) -> &mut OrganisationState {
        if !self.organisations.contains_key(name) {
            let mut organisation = OrganisationState::default();
            organisation.account.refill(now);
            self.organisations.insert(Arc::from(name), organisation);
        }
        self.organisations.get_mut(name).expect("just added")
    }

    /// Handles a transfer and returns the response. Without a response the giver retransmits the transfer.
    pub(crate) fn on_transfer(&mut self, transfer: &ShareTransfer, now: Time) -> Option<ControlMessage> {
        if !self.ready || transfer.receiver != self.me.incarnation {
            return None;
        }
        match self.incoming.earlier_response(transfer) {
            EarlierResponse::Accepted => return Some(response(transfer, true)),
            EarlierResponse::Returned => return Some(response(transfer, false)),
            EarlierResponse::Stale => return None,
            EarlierResponse::Unseen => {}
        }
        let known = self.rounds.round(transfer.bucket);
        if transfer.round > known && !self.rounds.adopt_initial_round(transfer.bucket, transfer.round) {
            return None;
        }
        let accepted = transfer.round >= known && !self.draining;
        if accepted {
            let organisation = self.organisation(&transfer.organisation, now);
            organisation.account.refill(now);
            organisation.account.add(transfer.units, transfer.milli_tokens);
            organisation.on_received(&transfer.giver, transfer.units, 0, now);
        }
        Some(self.incoming.record(transfer, accepted))
    }

    /// Handles the acknowledgement of a transfer.
    pub(crate) fn on_ack(&mut self, from: &InstanceId, incarnation: Incarnation, number: u64) {
        if incarnation == self.me.incarnation {
            self.outgoing.remove_answered(from, number);
        }
    }

    /// Handles the return of a transfer, whose units are added again.
    pub(crate) fn on_return(&mut self, from: &InstanceId, incarnation: Incarnation, number: u64, now: Time) {
        if incarnation != self.me.incarnation {
            return;
        }
        if let Some(transfer) = self.outgoing.remove_answered(from, number) {
            let account = &mut self.organisation(&transfer.organisation, now).account;
            account.refill(now);
            account.add(transfer.units, transfer.milli_tokens);
        }
    }

    /// Handles a peer's request for units, tokens or both.
    pub(crate) fn on_share_request(
        &mut self,
        name: &str,
        request: ShareRequest<'_>,
        now: Time,
    ) -> Vec<Command> {
        let member_count = self.peers.fleet_size();
        let Some(organisation) = self.organisations.get_mut(name) else {
            return Vec::new();
        };
        organisation.account.refill(now);
        let mut lendable = request
            .milli_tokens
            .saturating_mul(MICROTOKENS_PER_MILLITOKEN)
            .min(organisation.spare_microtokens());
        let units = request
            .units
            .min(organisation.spare_units(member_count, request.milli_tokens > 0));
        let mut commands = Vec::new();
        let round = self.rounds.round(bucket_of(name));
        // A peer that registered before the initial issue knows of no round; see `Rounds::adopt_initial_round`.
        if request.round == Some(round) || (round == 1 && request.round == Some(0)) {
            let receiver = Holder::new(request.sender.clone(), request.incarnation);
            if let Some((command, transferred)) = self.transfer_units(&receiver, name, units, lendable, now) {
                lendable = lendable.saturating_sub(transferred);
                commands.push(command);
            }
        }
        let account = &mut self.organisations.get_mut(name).expect("found above").account;
        let milli_tokens = account.lend(lendable, now + LOAN_CAPACITY_RESERVATION);
        if milli_tokens > 0 {
            let loan = ControlMessage::TokenLoan {
                giver: self.me.instance.clone(),
                incarnation: self.me.incarnation,
                borrower: request.incarnation,
                ask: request.number,
                organisation: name.to_owned(),
                milli_tokens,
            };
            commands.push(Command::Send(request.sender.clone(), loan));
        }
        commands
    }

    /// Handles a loan. The tokens can be spent for a fixed time after the request was sent.
    pub(crate) fn on_loan(
        &mut self,
        giver: &InstanceId,
        request_number: u64,
        loan_milli_tokens: u64,
        now: Time,
    ) -> Option<Command> {
        let (name, sent) = self.pending_requests.remove(&request_number)?;
        let mut expires = sent + LOAN_LIFETIME;
        if expires <= now {
            return None;
        }
        let organisation = self.organisations.get_mut(&name)?;
        let mut micro_tokens = loan_milli_tokens.saturating_mul(MICROTOKENS_PER_MILLITOKEN);
        if organisation.loan.0 > 0 && organisation.loan.1 > now {
            expires = expires.min(organisation.loan.1);
            micro_tokens += organisation.loan.0;
        }
        organisation.loan = (micro_tokens, expires);
        organisation.on_received(
            giver,
            0,
            loan_milli_tokens.saturating_mul(MICROTOKENS_PER_MILLITOKEN),
            now,
        );
        Some(Command::Loan {
            organisation: name,
            micro_tokens: loan_milli_tokens.saturating_mul(MICROTOKENS_PER_MILLITOKEN),
            expires,
        })
    }

    /// Suspends transfers of a bucket for a reissue and returns the report; `None` when the round is not new.
    pub(crate) fn on_freeze(
        &mut self,
        bucket: u16,
        round: u64,
        coordinator: &InstanceId,
        now: Time,
    ) -> Option<ControlMessage> {
        let action = self.rounds.on_freeze(bucket, round, coordinator, now);
        (action == RoundAction::Report).then(|| {
            self.outgoing.cancel_bucket(bucket);
            ControlMessage::RoundReport(self.report(bucket))
        })
    }

    /// Handles the end of a round. The units of the bucket are discarded when they were reissued without this
    /// holder's report.
    pub(crate) fn on_closed(&mut self, bucket: u16, round: u64) {
        if self.rounds.on_closed(bucket, round) == RoundAction::Excluded {
            self.outgoing.cancel_bucket(bucket);
            for (_, organisation) in self
                .organisations
                .iter_mut()
                .filter(|(name, _)| bucket_of(name) == bucket)
            {
                organisation.account.clear();
            }
        }
    }

    /// Handles a round document that was read, and returns the report when the round requests one.
    pub(crate) fn on_round_document(
        &mut self,
        bucket: u16,
        document: &RoundDocument,
        now: Time,
    ) -> Option<Command> {
        if document.closed {
            self.on_closed(bucket, document.round);
            return None;
        }
        let coordinator = &document.coordinator.instance;
        let report = self.on_freeze(bucket, document.round, coordinator, now)?;
        Some(Command::Send(coordinator.clone(), report))
    }

    /// Returns the report of the units held in a bucket.
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

    /// Refills the token buckets, retransmits what is overdue, and requests units or transfers surplus ones.
    pub(crate) fn tick<R>(&mut self, now: Time, rng: &mut R) -> Vec<Command>
    where
        R: Rng + ?Sized,
    {
        let retransmissions = self.outgoing.due_retransmissions(now).into_iter();
        let mut commands: Vec<Command> = retransmissions
            .map(|(to, t)| Command::Send(to, ControlMessage::ShareTransfer(t)))
            .collect();
        let (reports, reads) = self.rounds.due_reports_and_reads(now);
        for (bucket, coordinator) in reports {
            commands.push(Command::Send(
                coordinator,
                ControlMessage::RoundReport(self.report(bucket)),
            ));
        }
        commands.extend(reads.into_iter().map(Command::CallPlatform));
        self.pending_requests
            .retain(|_, (_, sent)| *sent + LOAN_LIFETIME > now);
        let names: Vec<Arc<str>> = self.organisations.keys().cloned().collect();
        for name in names {
            let organisation = self.organisations.get_mut(&name).expect("a name of the table");
            organisation.account.refill(now);
            if self.draining {
                commands.extend(self.transfer_all(&name, now, rng));
            } else {
                self.send_requests(&name, now, rng, &mut commands);
                commands.extend(self.transfer_surplus(&name, now, rng));
            }
        }
        commands
    }

    fn send_requests<R>(&mut self, name: &Arc<str>, now: Time, rng: &mut R, commands: &mut Vec<Command>)
    where
        R: Rng + ?Sized,
    {
        let member_count = self.peers.fleet_size();
        let pool_holder = self.peers.pool_holder(&self.me, name);
        let organisation = self.organisations.get_mut(name).expect("a name of the table");
        let Some(shortage) = organisation.shortage(member_count, now) else {
            return;
        };
        let Some(failures) = organisation.failures_if_request_due(shortage, now) else {
            return;
        };
        let preferred = match failures {
            1 => organisation.last_giver.clone(),
            n if n % 2 == 0 => pool_holder,
            _ => None,
        };
        let random = |rng: &mut R| self.peers.random(rng).map(|p| p.instance.clone());
        let mut targets: Vec<InstanceId> = preferred.or_else(|| random(rng)).into_iter().collect();
        if failures >= FAILURES_BEFORE_SECOND_PEER {
            targets.extend(random(rng).filter(|t| !targets.contains(t)));
        }
        organisation.on_request_sent(shortage, now);
        let round = self.ready.then(|| self.rounds.round(bucket_of(name)));
        for target in targets {
            self.last_request_number += 1;
            self.pending_requests
                .insert(self.last_request_number, (Arc::clone(name), now));
            let request = ControlMessage::ShareAsk {
                incarnation: self.me.incarnation,
                number: self.last_request_number,
                organisation: name.to_string(),
                units: shortage.units,
                milli_tokens: shortage.micro_tokens / MICROTOKENS_PER_MILLITOKEN,
                round,
            };
            commands.push(Command::Send(target, request));
        }
    }

    /// Transfers surplus units to the pool holder, where others obtain them with one request.
    fn transfer_surplus<R>(&mut self, name: &Arc<str>, now: Time, rng: &mut R) -> Option<Command>
    where
        R: Rng + ?Sized,
    {
        let member_count = self.peers.fleet_size();
        let pool_holder = self.peers.pool_holder(&self.me, name)?;
        let organisation = self.organisations.get_mut(name).expect("a name of the table");
        if organisation.next_surplus_transfer > now {
            return None;
        }
        organisation.next_surplus_transfer =
            now + Duration::from_millis(rng.random_range(SURPLUS_INTERVAL_MILLIS));
        let spare = organisation.spare_units(member_count, false);
        let equal_share = UNITS_PER_ORGANISATION / member_count as u32;
        if spare
            <= (organisation.account.units() / MIN_SURPLUS_DIVISOR).max(equal_share / MIN_SURPLUS_DIVISOR)
        {
            return None;
        }
        let receiver = Holder::new(pool_holder.clone(), self.peers.incarnation(&pool_holder)?);
        self.transfer_units(&receiver, name, spare, 0, now)
            .map(|(command, _)| command)
    }

    /// Transfers units away before this process stops, as many as possible.
    fn transfer_all<R>(&mut self, name: &Arc<str>, now: Time, rng: &mut R) -> Option<Command>
    where
        R: Rng + ?Sized,
    {
        let receiver = self.peers.random(rng)?.clone();
        let units = self.organisations[name].account.transferable_units();
        self.transfer_units(&receiver, name, units, u64::MAX, now)
            .map(|(command, _)| command)
    }

    /// Transfers units with tokens. Returns the message and the microtokens transferred.
    fn transfer_units(
        &mut self,
        receiver: &Holder,
        name: &str,
        units: u32,
        requested: u64,
        now: Time,
    ) -> Option<(Command, u64)> {
        let bucket = bucket_of(name);
        if units == 0 || !self.rounds.allows_transfers(bucket) {
            return None;
        }
        let number = self.outgoing.next_number(&receiver.instance)?;
        let account = &mut self.organisations.get_mut(name)?.account;
        let milli_tokens = account.take_for_transfer(units, requested);
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
        Some((command, milli_tokens * MICROTOKENS_PER_MILLITOKEN))
    }
}

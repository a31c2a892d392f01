//! The state machine of one instance.

use crate::coordinator::Coordinator;
use crate::registration::Registration;
use crate::shares::{Settlement, ShareRequest, Shares};
use crate::{Command, Event, Holder, PlatformRequest, PlatformResponse};
use rand::Rng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};
use wasabiyard_wire::{ControlMessage, ShareTransfer};
use xxhash_rust::xxh3::xxh3_64;

/// Buckets into which the organisations are grouped, so that a reissue costs a bounded number of platform requests.
pub const BUCKET_COUNT: u16 = 64;

/// The bucket of organisations that an organisation is reissued with, from a hash of its name.
pub fn bucket_of(organisation: &str) -> u16 {
    (xxh3_64(organisation.as_bytes()) % u64::from(BUCKET_COUNT)) as u16
}

/// Rates of all organisations at one instance.
///
/// Between two calls the traffic threads may spend published tokens. Before an event or a tick the caller settles the
/// organisations concerned: it takes back the tokens above [`Quota::reserve`] and reports how many remain published.
/// Afterwards it publishes again.
#[derive(Debug)]
pub struct Quota {
    shares: Shares,
    coordinator: Coordinator,
    registration: Registration,
}

impl Quota {
    /// Creates the state machine of a process that has just started and holds no units.
    pub fn new(me: Holder) -> Self {
        Self {
            shares: Shares::new(me),
            coordinator: Coordinator::default(),
            registration: Registration::new(),
        }
    }

    /// Sets the organisations of the manifest as name, rate (statements a second) and burst (statements). An
    /// organisation that is missing from a later call is no longer declared, but its units are kept.
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
            self.coordinator.schedule_frequent_checks(now);
        }
    }

    /// Sets the live members of the fleet. This process may be included or not.
    pub fn set_peers(&mut self, peers: Vec<Holder>, now: Time) {
        let me = self.shares.me.clone();
        if self.shares.peers.replace(&me, peers) {
            self.coordinator.schedule_frequent_checks(now);
        }
    }

    /// Names of all known organisations, including those that are no longer declared.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<str>> {
        self.shares.organisations.keys()
    }

    /// Microtokens that may stay published while an event is handled; 0 while draining.
    pub fn reserve(&self, organisation: &str) -> u64 {
        let known = self
            .shares
            .organisations
            .get(organisation)
            .filter(|_| !self.shares.draining);
        known.map_or(0, crate::organisation::OrganisationState::reserve)
    }

    /// Accounts for the tokens of one organisation that the traffic threads have spent since the last settlement.
    /// `elapsed` is the time since the last tick, zero when no attempts are reported.
    ///
    /// The bucket is refilled before the spent tokens are subtracted. The time at which they were spent is unknown.
    /// If the refill came afterwards, a bucket that was full until just now would receive tokens for a period in
    /// which it had no room for them.
    pub fn settle(&mut self, organisation: &str, settlement: Settlement, elapsed: Duration, now: Time) {
        let Some(organisation) = self.shares.organisations.get_mut(organisation) else {
            assert!(
                settlement.still_published + settlement.withdrawn == 0,
                "tokens are settled that were never published"
            );
            return;
        };
        organisation.account.refill(now);
        organisation
            .account
            .settle(settlement.still_published, settlement.withdrawn);
        organisation.loan.0 = organisation.loan.0.min(settlement.loan_remaining);
        if !elapsed.is_zero() {
            organisation.demand.on_tick(settlement.attempts, elapsed);
        }
    }

    /// Publishes the settled tokens, and returns the microtokens to add to what the traffic threads may spend.
    pub fn publish(&mut self, organisation: &str) -> u64 {
        let known = self.shares.organisations.get_mut(organisation);
        known.map_or(0, |o| o.account.publish())
    }

    /// Handles a message or a response of the platform, and returns the resulting commands.
    pub fn on_event(&mut self, event: Event, now: Time) -> Vec<Command> {
        match event {
            Event::Message(from, message) => self.on_message(&from, message, now),
            Event::PlatformResponse(response) => self.on_response(response, now),
        }
    }

    /// Runs the periodic work and returns the resulting commands. To be called every 100 ms.
    pub fn tick<R>(&mut self, now: Time, rng: &mut R) -> Vec<Command>
    where
        R: Rng + ?Sized,
    {
        let mut commands = self.shares.tick(now, rng);
        if self.shares.draining {
            if self.has_no_holdings() {
                commands.extend(
                    self.registration
                        .unregister_if_due(&self.shares.me, now)
                        .map(Command::CallPlatform),
                );
            }
        } else {
            commands.extend(self.registration.tick(now).map(Command::CallPlatform));
        }
        if self.registration.list_is_due(now) {
            self.coordinator.request_list();
        }
        commands.extend(self.coordinator.tick(&self.shares, now));
        commands
    }

    /// Starts to transfer all units away for a graceful stop. From now on [`Quota::reserve`] is zero.
    pub fn start_draining(&mut self) {
        self.shares.draining = true;
    }

    /// Whether draining is complete: this process holds no units and is not registered any more, or there is no peer
    /// to transfer units to.
    pub fn is_drained(&self) -> bool {
        let done = self.has_no_holdings() && self.registration.is_unregistered();
        self.shares.draining && (done || self.shares.peers.fleet_size() == 1)
    }

    /// Whether units may be received: this process is registered and has read the rounds since.
    pub fn is_ready(&self) -> bool {
        self.shares.ready
    }

    /// Whether this process is ready and has units of every declared organisation, so that first statements are served.
    pub fn has_units_of_every_organisation(&self) -> bool {
        let mut declared = self
            .shares
            .organisations
            .values()
            .filter(|o| o.account.is_declared());
        self.shares.ready && declared.all(|o| o.account.units() > 0)
    }

    /// Share units of an organisation held here; units in unacknowledged transfers are not included.
    pub fn units(&self, organisation: &str) -> u32 {
        self.shares
            .organisations
            .get(organisation)
            .map_or(0, |o| o.account.units())
    }

    /// Unacknowledged transfers, each with its receiver.
    pub fn pending_transfers(&self) -> impl Iterator<Item = (&InstanceId, &ShareTransfer)> {
        self.shares.outgoing.transfers()
    }

    fn has_no_holdings(&self) -> bool {
        let shares = &self.shares;
        self.coordinator.is_idle()
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
                let request = ShareRequest {
                    sender: from,
                    incarnation,
                    number,
                    units,
                    milli_tokens,
                    round,
                };
                return shares.on_share_request(&organisation, request, now);
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
                return self.coordinator.on_report(&report, shares).into_iter().collect();
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

    fn on_response(&mut self, response: PlatformResponse, now: Time) -> Vec<Command> {
        let shares = &mut self.shares;
        match response {
            PlatformResponse::Registered => self
                .registration
                .on_registered(now)
                .into_iter()
                .map(Command::CallPlatform)
                .collect(),
            PlatformResponse::Unregistered(holder) => {
                if holder == shares.me {
                    self.registration.on_unregistered();
                }
                Vec::new()
            }
            PlatformResponse::Rounds(documents) => {
                let commands = self.coordinator.on_rounds_read(documents, shares, now);
                if self.registration.on_rounds_read() {
                    shares.ready = true;
                    self.coordinator.schedule_frequent_checks(now);
                }
                commands
            }
            PlatformResponse::Round(bucket, found) => {
                self.coordinator.on_round_read(bucket, found, shares, now)
            }
            PlatformResponse::RoundWritten(bucket, version) => {
                self.coordinator.on_round_written(bucket, version, shares, now)
            }
            PlatformResponse::Holders {
                number,
                registered,
                listed,
            } => {
                let register = self.registration.on_holders_read(&shares.me, &listed, now);
                let mut commands = self
                    .coordinator
                    .on_holders_read(number, registered, &listed, shares, now);
                commands.extend(register.map(Command::CallPlatform));
                commands
            }
            PlatformResponse::Failed(PlatformRequest::WriteRound { bucket, .. }) => {
                vec![Command::CallPlatform(PlatformRequest::ReadRound(bucket))]
            }
            PlatformResponse::Failed(_) => Vec::new(),
        }
    }
}

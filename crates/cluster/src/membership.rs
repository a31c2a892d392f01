//! Membership after the SWIM protocol: one probe a second to one member, indirect probes through three others,
//! suspicion, refutation, and changes that are piggybacked on probes and answers.

use crate::command::Command;
use crate::members::{Applied, Member, Members};
use crate::probes::{LateProbe, PendingProbe, Probes, Purpose};
use crate::reachability::ReachabilityEstimator;
use rand::Rng;
use rand::seq::IteratorRandom as _;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use wasabiyard_model::{Instance, InstanceId, Time};
use wasabiyard_wire::{ControlMessage, Gossip, MemberDigest, MemberState};

/// Interval of the regular probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Interval of extra probes while the confirmation of the configuration is overdue. With the regular ones these are
/// three probes a second, which cost about 2 KB/s.
const SAMPLE_PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Interval of extra probes after recent ones failed. They exceed the traffic budget, but only for the few seconds
/// until the dead members are known.
const FAILURE_PROBE_PERIOD: Duration = Duration::from_millis(100);
/// Interval of probes of dead members, by which the two sides of a healed partition find each other.
const DEAD_PROBE_PERIOD: Duration = Duration::from_secs(2);
/// Interval of probes of seeds that are not known members.
const SEED_PROBE_PERIOD: Duration = Duration::from_secs(10);
/// The same while this instance knows no other live member.
const ISOLATED_SEED_PROBE_PERIOD: Duration = Duration::from_secs(1);
/// A suspect that does not refute the suspicion within this time is declared dead.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of members through which an unanswered probe is repeated.
const INDIRECT_PROBES: usize = 3;
/// Maximum number of changed members in one message, besides the sender and the receiver.
const MAX_CHANGES: usize = 6;
/// Number of members in one message of the answer to a pull, which makes it about 5 KB.
const MEMBERS_PER_MESSAGE: usize = 64;
/// Number of consecutive messages with a different table digest before the members are pulled. A change that is still
/// being disseminated needs no pull.
const MISMATCHES_BEFORE_PULL: u32 = 8;
/// Minimum interval between pulls.
const MIN_PULL_INTERVAL: Duration = Duration::from_secs(30);
/// Minimum interval between pulls until the first one is answered.
const MIN_FIRST_PULL_INTERVAL: Duration = Duration::from_secs(1);
/// A longer gap between two ticks means that the process was paused. Answers that it missed prove nothing about others.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Failure detection and dissemination of membership changes, as seen by one instance.
#[derive(Debug)]
pub struct Membership {
    members: Members,
    seeds: Vec<SocketAddr>,
    probes: Probes,
    reachability: ReachabilityEstimator,
    /// Members still to be probed in the current round of regular probes.
    probe_round: Vec<Instance>,
    /// Instances in the last list of the platform.
    listed: BTreeSet<InstanceId>,
    last_tick: Time,
    next_probe: Time,
    next_sample_probe: Time,
    next_dead_probe: Time,
    next_seed_probe: Time,
    next_pull: Time,
    /// Number of consecutive messages with a different table digest.
    mismatches: u32,
    /// Whether a pull was ever answered. Until then one mismatch of the digests is enough for a pull, and the interval
    /// between pulls is shorter.
    pulled: bool,
}

impl Membership {
    /// Creates a membership that knows only this instance.
    pub fn new(own: &MemberDigest, seeds: Vec<SocketAddr>, now: Time) -> Self {
        Self {
            members: Members::new(own, now).expect("the own address is an address"),
            seeds,
            probes: Probes::default(),
            reachability: ReachabilityEstimator::default(),
            probe_round: Vec::new(),
            listed: BTreeSet::new(),
            last_tick: now,
            next_probe: now,
            next_sample_probe: now,
            next_dead_probe: now,
            next_seed_probe: now,
            next_pull: now,
            mismatches: 0,
            pulled: false,
        }
    }

    /// The table of members.
    pub const fn members(&self) -> &Members {
        &self.members
    }

    /// Address of the peer listener of a member.
    pub fn address_of(&self, id: &InstanceId) -> Option<SocketAddr> {
        Some(self.members.get(self.members.find(id)?).address)
    }

    /// Whether more than half of the members are reachable, as estimated from recent probes.
    pub fn reaches_majority(&self, now: Time) -> bool {
        self.reachability.is_majority_reachable(
            self.members.live_count() - 1,
            self.members.unconfirmed_dead(),
            now,
        )
    }

    /// Up to `n` random members that are not dead.
    pub fn random_peers<R>(&self, n: usize, rng: &mut R) -> Vec<SocketAddr>
    where
        R: Rng,
    {
        self.members
            .others()
            .map(|(_, m)| m.address)
            .choose_multiple(rng, n)
    }

    /// Runs the periodic work. `extra_probes` requests additional probes; `gossip` is the part about the configuration
    /// that each probe carries.
    pub fn tick<R>(
        &mut self,
        now: Time,
        rng: &mut R,
        extra_probes: bool,
        gossip: &Gossip,
        out: &mut Vec<Command>,
    ) where
        R: Rng,
    {
        if now.saturating_since(self.last_tick) > PAUSE_THRESHOLD {
            self.recover_from_pause(now);
        }
        self.last_tick = now;
        self.check_probes(now, rng, gossip, out);
        self.expire_suspects(now, out);
        self.reachability.trim(now);
        if due(&mut self.next_probe, PROBE_PERIOD, now) {
            self.probe_next(now, rng, gossip, out);
            self.members.expire_tombstones(now);
        }
        let needs_extra_probes = self.reachability.needs_extra_probes(now);
        let period = if needs_extra_probes {
            FAILURE_PROBE_PERIOD
        } else {
            SAMPLE_PROBE_PERIOD
        };
        if needs_extra_probes {
            self.next_sample_probe = self.next_sample_probe.min(now + FAILURE_PROBE_PERIOD);
        }
        if (extra_probes || needs_extra_probes) && due(&mut self.next_sample_probe, period, now) {
            // The members with the fewest samples come first, so that a small fleet is covered completely.
            let counts = self.reachability.counts();
            let order = |i: &Instance| (counts.get(i).copied().unwrap_or(0), rng.random::<u32>());
            let target = self.members.others().map(|(i, _)| i).min_by_key(order);
            self.probe(target, Purpose::Sample, now, gossip, out);
        }
        if due(&mut self.next_dead_probe, DEAD_PROBE_PERIOD, now) {
            let dead = self
                .members
                .iter()
                .filter(|(_, m)| m.state == MemberState::Dead && !m.ended);
            let target = dead.map(|(i, _)| i).choose(rng);
            self.probe(target, Purpose::Contact, now, gossip, out);
        }
        self.probe_seed(now, rng, gossip, out);
    }

    /// Sends the answer to a probe of the member `from`.
    pub fn send_ack(
        &mut self,
        number: u64,
        gossip: &Gossip,
        from: &InstanceId,
        to: SocketAddr,
        out: &mut Vec<Command>,
    ) {
        let receiver = self.members.find(from);
        let gossip = self.add_members(gossip, receiver);
        out.push(Command::Send {
            to,
            control: ControlMessage::ProbeAck { number, gossip },
        });
    }

    /// Handles the answer of `by` to a probe, which came directly or through another member. Returns when the probe was
    /// sent, or `None` if it is not pending.
    pub fn on_ack(&mut self, number: u64, by: &InstanceId, out: &mut Vec<Command>) -> Option<Time> {
        let pending = self.probes.take(number, by)?;
        match pending.purpose {
            Purpose::Indirect { requester, number } => {
                let control = ControlMessage::IndirectAck {
                    number,
                    target: by.clone(),
                };
                out.push(Command::Send {
                    to: requester,
                    control,
                });
            }
            Purpose::Regular | Purpose::Sample => {
                let sampled = pending.target.filter(|_| !pending.late);
                self.reachability.record_answer(pending.sent, sampled);
            }
            Purpose::Contact => self.reachability.record_answer(pending.sent, None),
        }
        Some(pending.sent)
    }

    /// Probes `target` on behalf of another member.
    pub fn on_indirect_probe(
        &mut self,
        number: u64,
        target: &InstanceId,
        requester: SocketAddr,
        now: Time,
        gossip: &Gossip,
        out: &mut Vec<Command>,
    ) {
        let target = self.members.find(target);
        self.probe(target, Purpose::Indirect { requester, number }, now, gossip, out);
    }

    /// Applies the changes in a message from the address `from`, and pulls the members of the sender if its table
    /// differs.
    pub fn on_gossip<R>(
        &mut self,
        gossip: &Gossip,
        from: SocketAddr,
        now: Time,
        rng: &mut R,
        out: &mut Vec<Command>,
    ) where
        R: Rng,
    {
        for digest in &gossip.members {
            self.apply(digest, now, out);
        }
        let same = gossip.table == self.members.table_digest();
        self.mismatches = if same { 0 } else { self.mismatches + 1 };
        if (!self.pulled || self.mismatches >= MISMATCHES_BEFORE_PULL) && !same && now >= self.next_pull {
            let period = if self.pulled {
                MIN_PULL_INTERVAL
            } else {
                MIN_FIRST_PULL_INTERVAL
            };
            self.next_pull = now + period.mul_f64(rng.random_range(1.0..1.5));
            self.mismatches = 0;
            out.push(Command::Send {
                to: from,
                control: ControlMessage::PullMembers,
            });
        }
    }

    /// Answers a pull with all members that are not dead.
    pub fn on_pull(&self, to: SocketAddr, out: &mut Vec<Command>) {
        let living = self.members.iter().filter(|(_, m)| m.state != MemberState::Dead);
        let digests: Vec<_> = living.map(|(i, _)| self.members.digest(i)).collect();
        for part in digests.chunks(MEMBERS_PER_MESSAGE) {
            out.push(Command::Send {
                to,
                control: ControlMessage::Members(part.to_vec()),
            });
        }
    }

    /// Applies the answer to a pull.
    pub fn on_members(&mut self, digests: &[MemberDigest], now: Time, out: &mut Vec<Command>) {
        self.pulled = true;
        for digest in digests {
            self.apply(digest, now, out);
        }
    }

    /// Applies the platform's list of instances. A member that is missing from it after it was listed has ended.
    pub fn on_listed(&mut self, listed: &[MemberDigest], now: Time, out: &mut Vec<Command>) {
        for digest in listed {
            let known = self.members.find(&digest.instance);
            let leaving = digest.state == MemberState::Leaving
                && known.is_some_and(|i| {
                    let member = self.members.get(i);
                    member.state < MemberState::Leaving && member.incarnation <= digest.incarnation
                });
            match known {
                Some(instance) if leaving => self.change_state(instance, MemberState::Leaving, now, out),
                Some(instance) if instance == self.members.own() => {}
                _ => self.apply(digest, now, out),
            }
        }
        let present: BTreeSet<_> = listed.iter().map(|d| d.instance.clone()).collect();
        let unlisted: Vec<_> = self.listed.difference(&present).cloned().collect();
        for unlisted in &unlisted {
            let Some(instance) = self.members.find(unlisted).filter(|i| *i != self.members.own()) else {
                continue;
            };
            if self.members.get(instance).state != MemberState::Dead {
                self.change_state(instance, MemberState::Dead, now, out);
            }
            self.members.get_mut(instance).ended = true;
        }
        self.listed = present;
    }

    /// Announces that this instance is about to stop.
    pub fn leave(&mut self, now: Time) {
        let seen = self.members.get(self.members.own()).refutation;
        self.members.refute(seen, MemberState::Leaving, now);
    }

    /// Drops pending probes and restarts the suspicion timeouts, since a process that was paused cannot tell whether
    /// others failed to answer.
    fn recover_from_pause(&mut self, now: Time) {
        self.probes.clear();
        let live: Vec<_> = self.members.others().map(|(i, _)| i).collect();
        for instance in live {
            self.members.get_mut(instance).since = now;
        }
    }

    fn apply(&mut self, digest: &MemberDigest, now: Time, out: &mut Vec<Command>) {
        let own = self.members.own();
        if digest.instance == self.members.get(own).id {
            self.apply_own(digest, now, out);
            return;
        }
        let view = |m: &Member| (m.incarnation, m.state, m.address);
        let before = self
            .members
            .find(&digest.instance)
            .map(|i| view(self.members.get(i)));
        if let Applied::Changed(instance) = self.members.apply(digest, now)
            && before != Some(view(self.members.get(instance)))
        {
            self.report_change(instance, out);
        }
    }

    /// Handles another member's view of this instance. A wrong one is refuted; a request of the platform to leave takes
    /// effect.
    fn apply_own(&mut self, digest: &MemberDigest, now: Time, out: &mut Vec<Command>) {
        let own = self.members.own();
        let row = self.members.get(own);
        if digest.incarnation != row.incarnation || digest.refutation < row.refutation {
            return;
        }
        match digest.state {
            MemberState::Suspect | MemberState::Dead => {
                let state = row.state;
                self.members.refute(digest.refutation, state, now);
            }
            MemberState::Leaving if row.state != MemberState::Leaving => {
                self.change_state(own, MemberState::Leaving, now, out);
            }
            MemberState::Alive | MemberState::Leaving => {}
        }
    }

    /// Repeats late probes through other members, and suspects the targets of probes that timed out.
    fn check_probes<R>(&mut self, now: Time, rng: &mut R, gossip: &Gossip, out: &mut Vec<Command>)
    where
        R: Rng,
    {
        for LateProbe {
            number,
            target,
            sent,
            purpose,
        } in self.probes.late(now)
        {
            // A member that has been declared dead in the meantime already counts as unreachable.
            if self.members.get(target).state != MemberState::Dead {
                self.reachability.record_failure(sent, target);
            }
            if purpose != Purpose::Regular {
                continue;
            }
            let id = self.members.get(target).id.clone();
            let others = self.members.others().filter(|(i, _)| *i != target);
            for to in others
                .map(|(_, m)| m.address)
                .choose_multiple(rng, INDIRECT_PROBES)
            {
                let control = ControlMessage::IndirectProbe {
                    number,
                    target: id.clone(),
                };
                out.push(Command::Send { to, control });
            }
        }
        for PendingProbe { target, purpose, .. } in self.probes.expired(now) {
            if let (Some(target), Purpose::Regular) = (target, purpose) {
                self.suspect(target, now, gossip, out);
            }
        }
    }

    /// Suspects a member, and probes it at once with the suspicion, so that it can refute it.
    fn suspect(&mut self, target: Instance, now: Time, gossip: &Gossip, out: &mut Vec<Command>) {
        match self.members.get(target).state {
            MemberState::Alive => self.change_state(target, MemberState::Suspect, now, out),
            MemberState::Leaving => self.change_state(target, MemberState::Dead, now, out),
            MemberState::Suspect | MemberState::Dead => {}
        }
        self.probe(Some(target), Purpose::Contact, now, gossip, out);
    }

    /// Declares suspects dead that have not refuted the suspicion in time.
    fn expire_suspects(&mut self, now: Time, out: &mut Vec<Command>) {
        let overdue =
            |m: &Member| m.state == MemberState::Suspect && now.saturating_since(m.since) >= SUSPECT_TIMEOUT;
        let overdue: Vec<_> = self
            .members
            .others()
            .filter(|(_, m)| overdue(m))
            .map(|(i, _)| i)
            .collect();
        for instance in overdue {
            self.change_state(instance, MemberState::Dead, now, out);
        }
    }

    /// Probes the next member of the round, and a random suspect, which can then refute the suspicion.
    fn probe_next<R>(&mut self, now: Time, rng: &mut R, gossip: &Gossip, out: &mut Vec<Command>)
    where
        R: Rng,
    {
        let living = |members: &Members, i: Instance| members.get(i).state != MemberState::Dead;
        while self
            .probe_round
            .last()
            .is_some_and(|i| !living(&self.members, *i))
        {
            self.probe_round.pop();
        }
        if self.probe_round.is_empty() {
            let members = self.members.others().map(|(i, _)| i);
            self.probe_round = members.choose_multiple(rng, self.members.live_count());
            rand::seq::SliceRandom::shuffle(self.probe_round.as_mut_slice(), rng);
        }
        let target = self.probe_round.pop();
        self.probe(target, Purpose::Regular, now, gossip, out);
        let suspects = self
            .members
            .others()
            .filter(|(_, m)| m.state == MemberState::Suspect);
        let suspect = suspects.map(|(i, _)| i).choose(rng);
        self.probe(suspect, Purpose::Contact, now, gossip, out);
    }

    /// Probes a random seed that is not a known member.
    fn probe_seed<R>(&mut self, now: Time, rng: &mut R, gossip: &Gossip, out: &mut Vec<Command>)
    where
        R: Rng,
    {
        let is_alone = self.members.live_count() == 1;
        let period = if is_alone {
            ISOLATED_SEED_PROBE_PERIOD
        } else {
            SEED_PROBE_PERIOD
        };
        if !due(&mut self.next_seed_probe, period, now) {
            return;
        }
        let known: BTreeSet<_> = self.members.others().map(|(_, m)| m.address).collect();
        let own = self.members.get(self.members.own()).address;
        let unknown = self.seeds.iter().filter(|s| **s != own && !known.contains(s));
        let Some(&to) = unknown.choose(rng) else { return };
        let number = self.probes.start(None, None, Purpose::Contact, now);
        let gossip = self.add_members(gossip, None);
        out.push(Command::Send {
            to,
            control: ControlMessage::Probe { number, gossip },
        });
    }

    /// Sends a probe to a member, if there is one.
    fn probe(
        &mut self,
        target: Option<Instance>,
        purpose: Purpose,
        now: Time,
        gossip: &Gossip,
        out: &mut Vec<Command>,
    ) {
        let Some(target) = target else { return };
        let (id, to) = (
            self.members.get(target).id.clone(),
            self.members.get(target).address,
        );
        let number = self.probes.start(Some(target), Some(id), purpose, now);
        let gossip = self.add_members(gossip, Some(target));
        out.push(Command::Send {
            to,
            control: ControlMessage::Probe { number, gossip },
        });
    }

    /// Adds members to the part about the configuration: this instance, the receiver if it is not alive in the table,
    /// so that it can refute that, and the changes that were sent least often.
    fn add_members(&mut self, gossip: &Gossip, receiver: Option<Instance>) -> Gossip {
        let own = self.members.own();
        let mut chosen = vec![own];
        chosen.extend(receiver.filter(|i| self.members.get(*i).state != MemberState::Alive));
        let changes = self.members.take_changes(MAX_CHANGES, &chosen);
        chosen.extend(changes);
        Gossip {
            table: self.members.table_digest(),
            members: chosen.into_iter().map(|i| self.members.digest(i)).collect(),
            ..gossip.clone()
        }
    }

    /// Changes the state of a member by an observation of this instance, and reports the change.
    fn change_state(&mut self, instance: Instance, state: MemberState, now: Time, out: &mut Vec<Command>) {
        self.members.set_state(instance, state, now);
        self.report_change(instance, out);
    }

    /// Reports a change of a member to the caller.
    fn report_change(&mut self, instance: Instance, out: &mut Vec<Command>) {
        let member = self.members.get(instance);
        if member.state == MemberState::Dead {
            self.reachability.forget(instance);
        }
        out.push(Command::MemberChanged {
            instance: member.id.clone(),
            incarnation: member.incarnation,
            state: member.state,
        });
    }
}

/// Whether periodic work is due at `next`. If it is, `next` is set to one period from now.
fn due(next: &mut Time, period: Duration, now: Time) -> bool {
    let due = now >= *next;
    if due {
        *next = now + period;
    }
    due
}

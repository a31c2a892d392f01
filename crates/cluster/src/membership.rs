//! Membership by probing, after the SWIM protocol: one probe a second to one member, indirect probes through three
//! others, suspicion, refutation, and changes that travel with probes and answers.

use crate::command::Command;
use crate::members::{Applied, Member, Members};
use crate::probes::{Late, Pending, Probes, Purpose};
use crate::reach::Reach;
use rand::Rng;
use rand::seq::IteratorRandom as _;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use wasabiyard_model::{Instance, InstanceId, Time};
use wasabiyard_wire::{ControlMessage, Gossip, MemberDigest, MemberState};

const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Extra probes while the configuration was not confirmed for long. With the regular ones these are three a second, which
/// costs about 2 KB/s.
const ROLL_CALL_PERIOD: Duration = Duration::from_millis(500);
/// Extra probes while recent ones failed. This lasts until the dead are known, for seconds, and is above the budget.
const ALARM_PERIOD: Duration = Duration::from_millis(100);
/// Dead members are probed now and then, so that the two sides of a healed partition find each other.
const DEAD_PROBE_PERIOD: Duration = Duration::from_secs(2);
const SEED_PROBE_PERIOD: Duration = Duration::from_secs(10);
const LONELY_SEED_PROBE_PERIOD: Duration = Duration::from_secs(1);
const SUSPICION: Duration = Duration::from_secs(3);
const INDIRECT_PROBES: usize = 3;
/// Changes of members in one message, beside the sender itself.
const MAX_CHANGES: usize = 6;
/// Members in one answer to a pull: about 5 KB.
const MEMBERS_PER_MESSAGE: usize = 64;
/// Messages in a row with another table before the members are pulled; a change that is still spreading needs none.
const MISMATCHES_BEFORE_PULL: u32 = 8;
const PULL_PERIOD: Duration = Duration::from_secs(30);
const FIRST_PULL_PERIOD: Duration = Duration::from_secs(1);
/// A longer gap between two ticks means that the process was paused; what it missed proves nothing about others.
const PAUSE: Duration = Duration::from_secs(1);

/// The membership system.
#[derive(Debug)]
pub struct Membership {
    members: Members,
    seeds: Vec<SocketAddr>,
    probes: Probes,
    reach: Reach,
    /// Members still to be probed in this round.
    round: Vec<Instance>,
    listed: BTreeSet<InstanceId>,
    last_tick: Time,
    next_probe: Time,
    next_roll_call: Time,
    next_dead_probe: Time,
    next_seed_probe: Time,
    next_pull: Time,
    mismatches: u32,
    pulled: bool,
}

impl Membership {
    /// Knows only this instance.
    pub fn new(own: &MemberDigest, seeds: Vec<SocketAddr>, now: Time) -> Self {
        Self {
            members: Members::new(own, now).expect("the own address is an address"),
            seeds,
            probes: Probes::default(),
            reach: Reach::default(),
            round: Vec::new(),
            listed: BTreeSet::new(),
            last_tick: now,
            next_probe: now,
            next_roll_call: now,
            next_dead_probe: now,
            next_seed_probe: now,
            next_pull: now,
            mismatches: 0,
            pulled: false,
        }
    }

    /// The table.
    pub const fn members(&self) -> &Members {
        &self.members
    }

    /// Peer listener of a member.
    pub fn address_of(&self, id: &InstanceId) -> Option<SocketAddr> {
        Some(self.members.get(self.members.find(id)?).address)
    }

    /// Whether more than half of the members are reached.
    pub fn reaches_majority(&self, now: Time) -> bool {
        self.reach
            .majority(self.members.living() - 1, self.members.missed(), now)
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

    /// Periodic work. `urgent` asks for more probes; `gossip` is what the configuration adds to each probe.
    pub fn tick<R>(&mut self, now: Time, rng: &mut R, urgent: bool, gossip: &Gossip, out: &mut Vec<Command>)
    where
        R: Rng,
    {
        if now.saturating_since(self.last_tick) > PAUSE {
            self.wake(now);
        }
        self.last_tick = now;
        self.judge_probes(now, rng, gossip, out);
        self.judge_suspects(now, out);
        self.reach.trim(now);
        if due(&mut self.next_probe, PROBE_PERIOD, now) {
            self.probe_next(now, rng, gossip, out);
            self.members.forget_dead(now);
        }
        let alarmed = self.reach.alarmed(now);
        let period = if alarmed { ALARM_PERIOD } else { ROLL_CALL_PERIOD };
        if alarmed {
            self.next_roll_call = self.next_roll_call.min(now + ALARM_PERIOD);
        }
        if (urgent || alarmed) && due(&mut self.next_roll_call, period, now) {
            // Members that were probed least come first, so that a small fleet is covered as a whole.
            let counts = self.reach.counts();
            let order = |i: &Instance| (counts.get(i).copied().unwrap_or(0), rng.random::<u32>());
            let target = self.members.others().map(|(i, _)| i).min_by_key(order);
            self.probe(target, Purpose::RollCall, now, gossip, out);
        }
        if due(&mut self.next_dead_probe, DEAD_PROBE_PERIOD, now) {
            let dead = self
                .members
                .iter()
                .filter(|(_, m)| m.state == MemberState::Dead && !m.gone);
            let target = dead.map(|(i, _)| i).choose(rng);
            self.probe(target, Purpose::Find, now, gossip, out);
        }
        self.probe_seed(now, rng, gossip, out);
    }

    /// Answers a probe.
    pub fn answer(
        &mut self,
        number: u64,
        gossip: &Gossip,
        from: &InstanceId,
        to: SocketAddr,
        out: &mut Vec<Command>,
    ) {
        let about = self.members.find(from);
        let gossip = self.fill(gossip, about);
        out.push(Command::Send {
            to,
            control: ControlMessage::ProbeAck { number, gossip },
        });
    }

    /// A probe was answered by `by`, directly or through another member. Returns when it was sent.
    pub fn on_ack(&mut self, number: u64, by: &InstanceId, out: &mut Vec<Command>) -> Option<Time> {
        let pending = self.probes.take(number, by)?;
        match pending.purpose {
            Purpose::Forward { asker, number } => {
                let control = ControlMessage::IndirectAck {
                    number,
                    target: by.clone(),
                };
                out.push(Command::Send { to: asker, control });
            }
            Purpose::Regular | Purpose::RollCall => {
                let sampled = pending.target.filter(|_| !pending.late);
                self.reach.answered(pending.sent, sampled);
            }
            Purpose::Find => self.reach.answered(pending.sent, None),
        }
        Some(pending.sent)
    }

    /// Probes `target` for another member.
    pub fn on_indirect_probe(
        &mut self,
        number: u64,
        target: &InstanceId,
        asker: SocketAddr,
        now: Time,
        gossip: &Gossip,
        out: &mut Vec<Command>,
    ) {
        let target = self.members.find(target);
        self.probe(target, Purpose::Forward { asker, number }, now, gossip, out);
    }

    /// Takes over the changes that came with a message of the member at `from`.
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
                PULL_PERIOD
            } else {
                FIRST_PULL_PERIOD
            };
            self.next_pull = now + period.mul_f64(rng.random_range(1.0..1.5));
            self.mismatches = 0;
            out.push(Command::Send {
                to: from,
                control: ControlMessage::PullMembers,
            });
        }
    }

    /// Sends all members that are not dead.
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

    /// Takes over pulled members.
    pub fn on_members(&mut self, digests: &[MemberDigest], now: Time, out: &mut Vec<Command>) {
        self.pulled = true;
        for digest in digests {
            self.apply(digest, now, out);
        }
    }

    /// Takes over the platform's list. A member that was listed and is no longer has ended.
    pub fn on_listed(&mut self, listed: &[MemberDigest], now: Time, out: &mut Vec<Command>) {
        for digest in listed {
            let known = self.members.find(&digest.instance);
            let leaving = digest.state == MemberState::Leaving
                && known.is_some_and(|i| {
                    let member = self.members.get(i);
                    member.state < MemberState::Leaving && member.incarnation <= digest.incarnation
                });
            match known {
                Some(instance) if leaving => self.change(instance, MemberState::Leaving, now, out),
                Some(instance) if instance == self.members.own() => {}
                _ => self.apply(digest, now, out),
            }
        }
        let present: BTreeSet<_> = listed.iter().map(|d| d.instance.clone()).collect();
        let ended: Vec<_> = self.listed.difference(&present).cloned().collect();
        for ended in &ended {
            let Some(instance) = self.members.find(ended).filter(|i| *i != self.members.own()) else {
                continue;
            };
            if self.members.get(instance).state != MemberState::Dead {
                self.change(instance, MemberState::Dead, now, out);
            }
            self.members.get_mut(instance).gone = true;
        }
        self.listed = present;
    }

    /// Announces that this instance stops.
    pub fn leave(&mut self, now: Time) {
        let seen = self.members.get(self.members.own()).refutation;
        self.members.refute(seen, MemberState::Leaving, now);
    }

    /// Forgets what a paused process cannot judge.
    fn wake(&mut self, now: Time) {
        self.probes.clear();
        let suspects: Vec<_> = self.members.others().map(|(i, _)| i).collect();
        for instance in suspects {
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
            self.report(instance, out);
        }
    }

    /// Another member's view of this instance: a wrong one is refuted, and a request of the platform to leave is obeyed.
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
                self.change(own, MemberState::Leaving, now, out);
            }
            MemberState::Alive | MemberState::Leaving => {}
        }
    }

    fn judge_probes<R>(&mut self, now: Time, rng: &mut R, gossip: &Gossip, out: &mut Vec<Command>)
    where
        R: Rng,
    {
        for Late {
            number,
            target,
            sent,
            purpose,
        } in self.probes.late(now)
        {
            // A member that died meanwhile counts as missed already.
            if self.members.get(target).state != MemberState::Dead {
                self.reach.failed(sent, target);
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
        for Pending { target, purpose, .. } in self.probes.expired(now) {
            if let (Some(target), Purpose::Regular) = (target, purpose) {
                self.suspect(target, now, gossip, out);
            }
        }
    }

    /// Suspects a member and tells it at once, so that it can refute.
    fn suspect(&mut self, target: Instance, now: Time, gossip: &Gossip, out: &mut Vec<Command>) {
        match self.members.get(target).state {
            MemberState::Alive => self.change(target, MemberState::Suspect, now, out),
            MemberState::Leaving => self.change(target, MemberState::Dead, now, out),
            MemberState::Suspect | MemberState::Dead => {}
        }
        self.probe(Some(target), Purpose::Find, now, gossip, out);
    }

    fn judge_suspects(&mut self, now: Time, out: &mut Vec<Command>) {
        let overdue =
            |m: &Member| m.state == MemberState::Suspect && now.saturating_since(m.since) >= SUSPICION;
        let overdue: Vec<_> = self
            .members
            .others()
            .filter(|(_, m)| overdue(m))
            .map(|(i, _)| i)
            .collect();
        for instance in overdue {
            self.change(instance, MemberState::Dead, now, out);
        }
    }

    /// Probes the next member of the round, and a suspect, which then can refute.
    fn probe_next<R>(&mut self, now: Time, rng: &mut R, gossip: &Gossip, out: &mut Vec<Command>)
    where
        R: Rng,
    {
        let living = |members: &Members, i: Instance| members.get(i).state != MemberState::Dead;
        while self.round.last().is_some_and(|i| !living(&self.members, *i)) {
            self.round.pop();
        }
        if self.round.is_empty() {
            let members = self.members.others().map(|(i, _)| i);
            self.round = members.choose_multiple(rng, self.members.living());
            rand::seq::SliceRandom::shuffle(self.round.as_mut_slice(), rng);
        }
        let target = self.round.pop();
        self.probe(target, Purpose::Regular, now, gossip, out);
        let suspects = self
            .members
            .others()
            .filter(|(_, m)| m.state == MemberState::Suspect);
        let suspect = suspects.map(|(i, _)| i).choose(rng);
        self.probe(suspect, Purpose::Find, now, gossip, out);
    }

    fn probe_seed<R>(&mut self, now: Time, rng: &mut R, gossip: &Gossip, out: &mut Vec<Command>)
    where
        R: Rng,
    {
        let lonely = self.members.living() == 1;
        let period = if lonely {
            LONELY_SEED_PROBE_PERIOD
        } else {
            SEED_PROBE_PERIOD
        };
        if !due(&mut self.next_seed_probe, period, now) {
            return;
        }
        let known: BTreeSet<_> = self.members.others().map(|(_, m)| m.address).collect();
        let own = self.members.get(self.members.own()).address;
        let strangers = self.seeds.iter().filter(|s| **s != own && !known.contains(s));
        let Some(&to) = strangers.choose(rng) else { return };
        let number = self.probes.start(None, None, Purpose::Find, now);
        let gossip = self.fill(gossip, None);
        out.push(Command::Send {
            to,
            control: ControlMessage::Probe { number, gossip },
        });
    }

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
        let gossip = self.fill(gossip, Some(target));
        out.push(Command::Send {
            to,
            control: ControlMessage::Probe { number, gossip },
        });
    }

    /// Adds members to what the configuration says: this instance, the receiver when it has something to refute, and
    /// the changes that have travelled least.
    fn fill(&mut self, gossip: &Gossip, about: Option<Instance>) -> Gossip {
        let own = self.members.own();
        let mut chosen = vec![own];
        chosen.extend(about.filter(|i| self.members.get(*i).state != MemberState::Alive));
        let changes = self.members.take_changes(MAX_CHANGES, &chosen);
        chosen.extend(changes);
        Gossip {
            table: self.members.table_digest(),
            members: chosen.into_iter().map(|i| self.members.digest(i)).collect(),
            ..gossip.clone()
        }
    }

    fn change(&mut self, instance: Instance, state: MemberState, now: Time, out: &mut Vec<Command>) {
        self.members.set_state(instance, state, now);
        self.report(instance, out);
    }

    /// Reports a member that is seen in another state.
    fn report(&mut self, instance: Instance, out: &mut Vec<Command>) {
        let member = self.members.get(instance);
        if member.state == MemberState::Dead {
            self.reach.forget(instance);
        }
        out.push(Command::MemberChanged {
            instance: member.id.clone(),
            incarnation: member.incarnation,
            state: member.state,
        });
    }
}

/// Whether work is due, and if so, when it is due next.
fn due(next: &mut Time, period: Duration, now: Time) -> bool {
    let due = now >= *next;
    if due {
        *next = now + period;
    }
    due
}

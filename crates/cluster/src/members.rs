//! The table of known members and the dissemination of its changes.

use crate::Candidates;
use crate::out_of_service::OutOfServiceState;
use cranelift_entity::PrimaryMap;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use wasabiyard_model::{FailureDomain, Incarnation, Instance, InstanceId, Time};
use wasabiyard_wire::{MemberDigest, MemberState};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A dead member stays in the table as a tombstone for this long, so that delayed messages cannot revive it.
const TOMBSTONE_RETENTION: Duration = Duration::from_hours(1);
/// Each member sends a change in this many messages, multiplied by the bit length of the number of members.
const RETRANSMIT_MULTIPLIER: u32 = 3;

/// A row of the table: what this instance knows about a member.
#[derive(Debug, Clone)]
pub struct Member {
    /// Name of the instance.
    pub id: InstanceId,
    /// Number of the run of the instance; the higher one is newer.
    pub incarnation: Incarnation,
    /// Counter that the member itself raises to refute a suspicion.
    pub refutation: u32,
    /// State as this instance sees it.
    pub state: MemberState,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Failure domain; [`Members::domain_name`] gives its name.
    pub failure_domain: FailureDomain,
    /// When this instance last changed the row. The time after which a suspect is declared dead counts from it.
    pub since: Time,
    /// Number of messages that still have to carry the last change of the row.
    pub transmissions_left: u32,
    /// Whether the member is known to have ended: it stopped gracefully, or the platform proved it. Only dead members
    /// of which this is not known count as possibly partitioned.
    pub ended: bool,
    /// Whether the row may be reused for another member.
    vacant: bool,
}

/// Result of [`Members::apply`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The digest is not newer than the row, or not valid.
    Unchanged,
    /// The digest replaced or added this row.
    Changed(Instance),
}

/// All members that this instance knows. The first row is the instance itself.
#[derive(Debug)]
pub struct Members {
    rows: PrimaryMap<Instance, Member>,
    names: HashMap<InstanceId, Instance>,
    failure_domains: PrimaryMap<FailureDomain, String>,
    /// Members whose last change still has to be sent.
    disseminating: BTreeSet<Instance>,
    /// Updated incrementally with each change of a row, because every message carries it.
    table_digest: u64,
}

impl Members {
    /// Creates a table with only this instance. `None` if its address is not `IP:PORT`.
    pub fn new(own: &MemberDigest, now: Time) -> Option<Self> {
        let mut members = Self {
            rows: PrimaryMap::new(),
            names: HashMap::new(),
            failure_domains: PrimaryMap::new(),
            disseminating: BTreeSet::new(),
            table_digest: 0,
        };
        members.apply(own, now);
        (members.rows.len() == 1).then_some(members)
    }

    /// The row of this instance.
    pub fn own(&self) -> Instance {
        self.rows.keys().next().expect("the first row is this instance")
    }

    /// The row of a member.
    pub fn get(&self, instance: Instance) -> &Member {
        &self.rows[instance]
    }

    /// The row of a member, to change fields that are not part of the table digest.
    pub fn get_mut(&mut self, instance: Instance) -> &mut Member {
        &mut self.rows[instance]
    }

    /// The member with this name.
    pub fn find(&self, id: &InstanceId) -> Option<Instance> {
        self.names.get(id).copied()
    }

    /// The name of the failure domain of a member.
    pub fn domain_name(&self, member: &Member) -> &str {
        &self.failure_domains[member.failure_domain]
    }

    /// All members, including dead ones.
    pub fn iter(&self) -> impl Iterator<Item = (Instance, &Member)> {
        self.rows.iter().filter(|(_, m)| !m.vacant)
    }

    /// All members that are not dead, without this instance.
    pub fn others(&self) -> impl Iterator<Item = (Instance, &Member)> {
        let own = self.own();
        self.iter()
            .filter(move |(i, m)| *i != own && m.state != MemberState::Dead)
    }

    /// Number of members that are not dead, including this instance.
    pub fn live_count(&self) -> usize {
        1 + self.others().count()
    }

    /// Number of dead members that are not known to have ended. They may be on the other side of a partition.
    pub fn unconfirmed_dead(&self) -> usize {
        self.iter()
            .filter(|(_, m)| m.state == MemberState::Dead && !m.ended)
            .count()
    }

    /// The row of a member in the form that messages carry.
    pub fn digest(&self, instance: Instance) -> MemberDigest {
        let member = &self.rows[instance];
        MemberDigest {
            instance: member.id.clone(),
            incarnation: member.incarnation,
            refutation: member.refutation,
            state: member.state,
            address: member.address.to_string(),
            failure_domain: self.domain_name(member).to_owned(),
        }
    }

    /// Applies a digest if it is newer than the row: by incarnation, then refutation, then state.
    pub fn apply(&mut self, digest: &MemberDigest, now: Time) -> Applied {
        let Ok(address) = digest.address.parse() else {
            return Applied::Unchanged;
        };
        let known = self.find(&digest.instance);
        let precedence = (digest.incarnation, digest.refutation, digest.state);
        if known.is_some_and(|i| self.rows[i].precedence() >= precedence)
            || (known.is_none() && digest.state == MemberState::Dead)
        {
            return Applied::Unchanged;
        }
        let row = Member {
            id: digest.instance.clone(),
            incarnation: digest.incarnation,
            refutation: digest.refutation,
            state: digest.state,
            address,
            failure_domain: self.intern(&digest.failure_domain),
            since: now,
            transmissions_left: 0,
            ended: known.is_some_and(|i| self.rows[i].ended_after_leaving(digest)),
            vacant: false,
        };
        let instance = known.unwrap_or_else(|| self.allocate_row(&row));
        self.table_digest ^= known.map_or(0, |i| self.rows[i].row_digest()) ^ row.row_digest();
        self.rows[instance] = row;
        self.names.insert(digest.instance.clone(), instance);
        self.rows[instance].transmissions_left = self.transmission_limit();
        self.disseminating.insert(instance);
        Applied::Changed(instance)
    }

    /// Changes the state of a member by an observation of this instance.
    pub fn set_state(&mut self, instance: Instance, state: MemberState, now: Time) {
        let transmissions_left = self.transmission_limit();
        let row = &mut self.rows[instance];
        self.table_digest ^= row.row_digest();
        row.ended = state == MemberState::Dead && row.state == MemberState::Leaving;
        row.state = state;
        row.since = now;
        row.transmissions_left = transmissions_left;
        self.table_digest ^= row.row_digest();
        self.disseminating.insert(instance);
    }

    /// Raises the refutation counter of this instance above `seen` and announces `state`.
    pub fn refute(&mut self, seen: u32, state: MemberState, now: Time) {
        let own = self.own();
        self.table_digest ^= self.rows[own].row_digest();
        self.rows[own].refutation = self.rows[own].refutation.max(seen) + 1;
        self.table_digest ^= self.rows[own].row_digest();
        self.set_state(own, state, now);
    }

    /// Frees the rows of members that have been dead for `TOMBSTONE_RETENTION`.
    pub fn expire_tombstones(&mut self, now: Time) {
        for row in self.rows.values_mut() {
            if !row.vacant
                && row.state == MemberState::Dead
                && now.saturating_since(row.since) > TOMBSTONE_RETENTION
            {
                row.vacant = true;
                self.names.remove(&row.id);
            }
        }
    }

    /// A digest of the table, equal on two instances that know the same members. Suspicions and dead members are left
    /// out: they differ for a moment after every failure, and a new instance never learns of the dead ones.
    pub const fn table_digest(&self) -> u64 {
        self.table_digest
    }

    /// Selects up to `n` members whose last change was sent least often, without those in `skip`, and counts one
    /// transmission of each.
    pub fn take_changes(&mut self, n: usize, skip: &[Instance]) -> Vec<Instance> {
        let mut changes: Vec<_> = self
            .disseminating
            .iter()
            .copied()
            .filter(|i| !skip.contains(i))
            .collect();
        changes.sort_by_key(|i| std::cmp::Reverse(self.rows[*i].transmissions_left));
        changes.truncate(n);
        for &instance in &changes {
            let left = &mut self.rows[instance].transmissions_left;
            *left = left.saturating_sub(1);
            if *left == 0 {
                self.disseminating.remove(&instance);
            }
        }
        changes
    }

    /// The instances that may be homes: neither dead nor leaving, and in service. A suspect stays a candidate, so that
    /// a lost probe does not move homes.
    pub fn candidates(&self, out_of_service: &OutOfServiceState) -> Candidates {
        self.iter()
            .filter(|(_, m)| matches!(m.state, MemberState::Alive | MemberState::Suspect))
            .filter(|(_, m)| out_of_service.in_service(&m.id, self.domain_name(m)))
            .map(|(_, m)| (m.id.clone(), self.domain_name(m).to_owned()))
            .collect()
    }

    /// Number of messages that have to carry a change.
    fn transmission_limit(&self) -> u32 {
        RETRANSMIT_MULTIPLIER * (usize::BITS - self.rows.len().leading_zeros())
    }

    fn intern(&mut self, name: &str) -> FailureDomain {
        let known = self
            .failure_domains
            .iter()
            .find(|(_, n)| *n == name)
            .map(|(d, _)| d);
        known.unwrap_or_else(|| self.failure_domains.push(name.to_owned()))
    }

    /// Reuses a vacant row or adds one.
    fn allocate_row(&mut self, row: &Member) -> Instance {
        let vacant = self.rows.iter().find(|(_, m)| m.vacant).map(|(i, _)| i);
        vacant.unwrap_or_else(|| self.rows.push(row.clone()))
    }
}

impl Member {
    /// Orders the digests of one member; the highest is the newest.
    const fn precedence(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.refutation, self.state)
    }

    /// Hash of this row, which the table digest combines by XOR.
    fn row_digest(&self) -> u64 {
        if self.vacant || self.state == MemberState::Dead {
            return 0;
        }
        let leaving = u64::from(self.state == MemberState::Leaving);
        let seed = self.incarnation.0 ^ (u64::from(self.refutation) << 40) ^ (leaving << 63);
        xxh3_64_with_seed(self.id.as_str().as_bytes(), seed)
    }

    /// Whether `digest` says that this member is dead after it announced that it leaves.
    fn ended_after_leaving(&self, digest: &MemberDigest) -> bool {
        digest.state == MemberState::Dead
            && digest.incarnation == self.incarnation
            && self.state == MemberState::Leaving
    }
}

//! The live members of the fleet, and the choice of the pool holder of an organisation and the coordinator of a
//! bucket.

use crate::Holder;
use rand::Rng;
use std::collections::HashMap;
use std::sync::Arc;
use wasabiyard_model::{Incarnation, InstanceId};
use xxhash_rust::xxh3::xxh3_64;

/// The live members other than this process.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: Vec<Holder>,
    /// Cached pool holders by organisation, `None` for this process.
    pool_holders: HashMap<Arc<str>, Option<InstanceId>>,
}

impl Peers {
    /// Replaces the members. Returns whether a former member is missing.
    pub(crate) fn replace(&mut self, me: &Holder, peers: Vec<Holder>) -> bool {
        let peers: Vec<Holder> = peers.into_iter().filter(|p| p.instance != me.instance).collect();
        if peers == self.peers {
            return false;
        }
        let is_missing = self.peers.iter().any(|former| !peers.contains(former));
        self.peers = peers;
        self.pool_holders.clear();
        is_missing
    }

    /// Number of members, this process included.
    pub(crate) fn fleet_size(&self) -> usize {
        self.peers.len() + 1
    }

    /// The incarnation of a live peer; `None` when it is not a live member.
    pub(crate) fn incarnation(&self, instance: &InstanceId) -> Option<Incarnation> {
        self.peers
            .iter()
            .find(|p| p.instance == *instance)
            .map(|p| p.incarnation)
    }

    /// The peer that holds the units of an organisation which no member needs; `None` when that is this process. It
    /// is only the first peer to send a request to, so correctness does not depend on all members choosing the same
    /// one.
    pub(crate) fn pool_holder(&mut self, me: &Holder, organisation: &Arc<str>) -> Option<InstanceId> {
        if let Some(pool_holder) = self.pool_holders.get(organisation) {
            return pool_holder.clone();
        }
        let selected = self.rendezvous_choice(me, organisation);
        self.pool_holders
            .insert(Arc::clone(organisation), selected.clone());
        selected
    }

    /// Whether this process is the coordinator of a bucket, by its own view of the live members.
    pub(crate) fn is_coordinator(&self, me: &Holder, bucket: u16) -> bool {
        self.rendezvous_choice(me, &format!("bucket/{bucket}")).is_none()
    }

    /// A random peer; `None` when this process is the only member.
    pub(crate) fn random<R>(&self, rng: &mut R) -> Option<&Holder>
    where
        R: Rng + ?Sized,
    {
        (!self.peers.is_empty()).then(|| &self.peers[rng.random_range(0..self.peers.len())])
    }

    /// The member that rendezvous hashing selects for a name; `None` for this process.
    fn rendezvous_choice(&self, me: &Holder, name: &str) -> Option<InstanceId> {
        let weight = |instance: &InstanceId| xxh3_64(format!("{instance}\n{name}").as_bytes());
        let best = self
            .peers
            .iter()
            .map(|p| (weight(&p.instance), &p.instance))
            .max()?;
        (best > (weight(&me.instance), &me.instance)).then(|| best.1.clone())
    }
}

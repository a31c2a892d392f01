//! The connections and the waiting statements of one service.

use super::connection_caps::ConnectionCaps;
use super::placement::{Candidate, choose};
use super::requirement::Need;
use super::server_pool::{IdleConnection, ServerPool};
use crate::profile::{Profile, SessionValues};
use crate::{Directory, PrimaryView};
use async_channel::Sender;
use rand::Rng;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Time};
use wasabiyard_schedule::{AdmissionControl, FairQueue, QueuedRequest};
use wasabiyard_session::{PositionSample, PositionSamples};

/// Shortest distance between two samples of the primary's log point.
const SAMPLE_DISTANCE: Duration = Duration::from_millis(40);
/// How long a server that is no longer listed is kept, since entries lapse while the store is away.
const UNLISTED_GRACE: Duration = Duration::from_secs(3);

/// A statement or transaction that waits for a connection.
#[derive(Debug)]
pub(super) struct Waiter<R> {
    pub(super) organisation: Arc<str>,
    pub(super) need: Need,
    pub(super) values: Rc<SessionValues>,
    pub(super) reply: Sender<R>,
}

/// What a waiter gets.
#[derive(Debug)]
pub(super) enum Grant<C> {
    /// An open connection.
    Idle(IdleConnection<C>),
    /// The right to open one.
    Connect,
}

/// A waiter that is served now.
#[derive(Debug)]
pub(super) struct Granted<C, R> {
    pub(super) waiting: QueuedRequest,
    pub(super) waiter: Waiter<R>,
    pub(super) server: Arc<str>,
    pub(super) grant: Grant<C>,
}

/// Which queue a statement waits in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Lane {
    Primary,
    Reads,
}

#[derive(Debug)]
pub(super) struct ServicePool<C, R> {
    pub(super) servers: BTreeMap<Arc<str>, ServerPool<C>>,
    pub(super) primary: PrimaryView,
    /// When the primary stopped taking work.
    pub(super) moving_since: Option<Time>,
    pub(super) caps: ConnectionCaps,
    pub(super) samples: PositionSamples,
    primary_queue: FairQueue<Waiter<R>>,
    read_queue: FairQueue<Waiter<R>>,
    pub(super) primary_admission: AdmissionControl,
    pub(super) read_admission: AdmissionControl,
    unlisted: BTreeMap<Arc<str>, Time>,
    taking_work: Vec<Arc<str>>,
}

impl<C, R> ServicePool<C, R> {
    pub(super) fn new() -> Self {
        Self {
            servers: BTreeMap::new(),
            primary: PrimaryView::Unknown,
            moving_since: None,
            caps: ConnectionCaps::of(0, 1),
            samples: PositionSamples::default(),
            primary_queue: FairQueue::default(),
            read_queue: FairQueue::default(),
            primary_admission: AdmissionControl::default(),
            read_admission: AdmissionControl::default(),
            unlisted: BTreeMap::new(),
            taking_work: Vec::new(),
        }
    }

    /// Takes over what the directory says of the service.
    pub(super) fn update(&mut self, service: &str, directory: &Directory, now: Time) {
        let listed = directory.servers.values().filter(|s| *s.service == *service);
        for server in listed {
            self.unlisted.remove(&server.id);
            match self.servers.get_mut(&server.id) {
                Some(known)
                    if known.server.address == server.address
                        && known.server.started_ms == server.started_ms =>
                {
                    known.server = Arc::clone(server);
                }
                Some(known) => {
                    known.revoke();
                    let busy = known.busy;
                    *known = ServerPool::new(Arc::clone(server));
                    known.busy = busy;
                }
                None => {
                    let pool = ServerPool::new(Arc::clone(server));
                    self.servers.insert(Arc::clone(&server.id), pool);
                }
            }
        }
        self.forget_unlisted(directory, now);
        let rule = directory
            .configuration
            .as_ref()
            .and_then(|c| c.services.get(service));
        let accepted = rule.map_or(0, |rule| rule.max_connections);
        self.caps = ConnectionCaps::of(accepted, directory.fleet_size());
        self.taking_work = self
            .servers
            .values()
            .filter(|s| directory.takes_new_work(&s.server))
            .map(|s| Arc::clone(&s.server.id))
            .collect();
        for pool in self.servers.values_mut() {
            if !self.taking_work.contains(&pool.server.id) {
                pool.idle.clear();
            }
        }
    }

    fn forget_unlisted(&mut self, directory: &Directory, now: Time) {
        for id in self.servers.keys() {
            if !directory.servers.contains_key(id) {
                self.unlisted.entry(Arc::clone(id)).or_insert(now);
            }
        }
        let gone: Vec<_> = self
            .unlisted
            .iter()
            .filter(|(_, since)| now.saturating_since(**since) > UNLISTED_GRACE)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in gone {
            self.unlisted.remove(&id);
            if let Some(mut pool) = self.servers.remove(&id) {
                pool.revoke();
            }
        }
    }

    /// Takes over which server leads. Returns the server that may not be used as the primary any more.
    pub(super) fn set_primary(&mut self, primary: PrimaryView, now: Time) -> Option<Arc<str>> {
        if self.primary == primary {
            return None;
        }
        let old = std::mem::replace(&mut self.primary, primary);
        match &self.primary {
            PrimaryView::Moving => {
                self.moving_since.get_or_insert(now);
            }
            _ => self.moving_since = None,
        }
        let PrimaryView::Usable { server: old, .. } = old else {
            return None;
        };
        match &self.primary {
            PrimaryView::Usable { server, .. } if *server == old => None,
            _ => Some(old),
        }
    }

    /// Id and epoch of the primary that may be used.
    pub(super) const fn usable_primary(&self) -> Option<(&Arc<str>, u64)> {
        match &self.primary {
            PrimaryView::Usable { server, epoch } => Some((server, *epoch)),
            _ => None,
        }
    }

    pub(super) fn is_primary(&self, server: &str) -> bool {
        self.usable_primary().is_some_and(|(p, _)| **p == *server)
    }

    /// Whether the primary answers and takes new work.
    pub(super) fn primary_answers(&self, now: Time) -> bool {
        self.usable_primary()
            .and_then(|(id, _)| self.servers.get(id))
            .is_some_and(|p| !p.is_unreachable(now))
    }

    /// The queue for a statement: the primary's, unless some replica is expected to hold the point.
    pub(super) fn lane(&self, need: Need, now: Time) -> Lane {
        let Need::Holding(point) = need else {
            return Lane::Primary;
        };
        let reached = self.samples.first_reached_at(point);
        let replica = self.taking_work.iter().any(|id| {
            let pool = &self.servers[id];
            !self.is_primary(id)
                && !pool.is_unreachable(now)
                && pool.lag.expects(pool.applied, point, reached, now)
        });
        if replica { Lane::Reads } else { Lane::Primary }
    }

    pub(super) fn queue(&mut self, lane: Lane) -> &mut FairQueue<Waiter<R>> {
        match lane {
            Lane::Primary => &mut self.primary_queue,
            Lane::Reads => &mut self.read_queue,
        }
    }

    pub(super) const fn admission(&mut self, lane: Lane) -> &mut AdmissionControl {
        match lane {
            Lane::Primary => &mut self.primary_admission,
            Lane::Reads => &mut self.read_admission,
        }
    }

    /// Connections that serve a lane.
    pub(super) fn connections(&self, lane: Lane) -> usize {
        let servers = match lane {
            Lane::Primary => 1,
            Lane::Reads => self.taking_work.len().max(1),
        };
        servers * self.caps.open as usize
    }

    /// Serves the next waiter that can start now.
    pub(super) fn next_grant<G>(&mut self, domain: &str, now: Time, rng: &mut G) -> Option<Granted<C, R>>
    where
        G: Rng,
    {
        self.next_for_primary(now)
            .or_else(|| self.next_read(domain, now, rng))
    }

    fn next_for_primary(&mut self, now: Time) -> Option<Granted<C, R>> {
        let (id, _) = self.usable_primary()?;
        let id = Arc::clone(id);
        // Writes go to a primary that is leaving until another one leads, but not into a failure domain that is out.
        let pool = self.servers.get(&id)?;
        if !pool.available(self.caps.open, now) {
            return None;
        }
        let (waiting, waiter) = self.primary_queue.pop(now)?;
        Some(self.grant(waiting, waiter, id))
    }

    fn next_read<G>(&mut self, domain: &str, now: Time, rng: &mut G) -> Option<Granted<C, R>>
    where
        G: Rng,
    {
        if self.read_queue.is_empty() || !self.any_available(now) {
            return None;
        }
        let (waiting, waiter) = self.read_queue.pop(now)?;
        let ids: Vec<_> = self.read_servers().map(Arc::clone).collect();
        let candidates: Vec<_> = ids
            .iter()
            .map(|id| self.candidate(id, &waiter, domain, now))
            .collect();
        let chosen = choose(&candidates, rng).expect("an available server");
        Some(self.grant(waiting, waiter, Arc::clone(&ids[chosen])))
    }

    fn read_servers(&self) -> impl Iterator<Item = &Arc<str>> {
        let primary_wanted = !self.primary_queue.is_empty();
        self.taking_work
            .iter()
            .filter(move |id| !primary_wanted || !self.is_primary(id))
    }

    fn any_available(&self, now: Time) -> bool {
        self.read_servers()
            .any(|id| self.servers[id].available(self.caps.open, now))
    }

    fn candidate(&self, id: &Arc<str>, waiter: &Waiter<R>, domain: &str, now: Time) -> Candidate {
        let pool = &self.servers[id];
        let primary = self.is_primary(id);
        let holds_point = match waiter.need {
            Need::Primary => primary,
            Need::Holding(point) => {
                let reached = self.samples.first_reached_at(point);
                primary || pool.lag.expects(pool.applied, point, reached, now)
            }
        };
        Candidate {
            primary,
            local: *pool.server.domain == *domain,
            latency: pool.latency,
            running: pool.busy,
            connected: pool.idle.iter().any(|c| c.organisation == waiter.organisation),
            available: pool.available(self.caps.open, now),
            holds_point,
        }
    }

    fn grant(&mut self, waiting: QueuedRequest, waiter: Waiter<R>, server: Arc<str>) -> Granted<C, R> {
        let cap = self.caps.open;
        let pool = self.servers.get_mut(&server).expect("a known server");
        let values = &waiter.values;
        let fits = |p: &Profile| {
            let adjustment = p.adjustment(values);
            adjustment.set.len() + usize::from(adjustment.reset)
        };
        let grant = if let Some(idle) = pool.take_idle(&waiter.organisation, fits) {
            Grant::Idle(idle)
        } else {
            while pool.open() >= cap && pool.evict() {}
            Grant::Connect
        };
        pool.busy += 1;
        Granted {
            waiting,
            waiter,
            server,
            grant,
        }
    }

    /// Records the log point that the primary had when it answered a statement sent at `requested_at`.
    pub(super) fn on_primary_point(&mut self, requested_at: Time, point: LogPoint) {
        let due = self.samples.newest().is_none_or(|n| {
            requested_at.saturating_since(n.requested_at) >= SAMPLE_DISTANCE || n.point.term < point.term
        });
        if due {
            // The view lease proves that the server led when it was asked, so one answer is enough.
            self.samples
                .add_if_confirmed(PositionSample { requested_at, point }, 1, 1);
        }
    }
}

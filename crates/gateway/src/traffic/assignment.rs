//! Assignment of the requests that wait for a connection to the servers of their service.

use super::locality::Locality;
use super::placement::{Candidate, choose_server};
use super::primary_room::{primary_connection_limit, replica_wait_end};
use super::requirement::ServerRequirement;
use super::server_pool::IdleConnection;
use super::service_pool::{ServicePool, Waiter};
use crate::OverloadOrder;
use crate::connection_state::ConnectionState;
use rand::Rng;
use std::sync::Arc;
use wasabiyard_model::{InstanceId, PriorityClass, Time};
use wasabiyard_schedule::QueuedRequest;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Most reads that one assignment sets aside because all servers with room are in a region that they may not cross to.
const MAX_SET_ASIDE: usize = 8;

/// Where the connection of a waiter comes from.
#[derive(Debug)]
pub(super) enum ConnectionSource<C> {
    /// An idle connection of the pool.
    Idle(IdleConnection<C>),
    /// A new connection, which has to be opened.
    Connect,
    /// A connection that this holder has, which may be this instance.
    Relay(InstanceId),
}

/// A waiter with the server that was chosen for it.
#[derive(Debug)]
pub(super) struct Assignment<C, R> {
    pub(super) queued: QueuedRequest,
    pub(super) waiter: Waiter<R>,
    pub(super) server: Arc<str>,
    pub(super) source: ConnectionSource<C>,
}

impl<C, R> ServicePool<C, R> {
    /// Removes the next waiter for which a server is available from its queue. The primary's queue goes first.
    pub(super) fn next_assignment<G>(
        &mut self,
        locality: &Locality<'_>,
        now: Time,
        rng: &mut G,
    ) -> Option<Assignment<C, R>>
    where
        G: Rng,
    {
        self.next_primary_assignment(now)
            .or_else(|| self.next_read_assignment(locality, now, rng))
    }

    fn next_primary_assignment(&mut self, now: Time) -> Option<Assignment<C, R>> {
        let (id, _) = self.usable_primary()?;
        let id = Arc::clone(id);
        // The primary is not checked for draining or for a failure domain out of service: it gets writes until the
        // primary record says that it is being replaced.
        let pool = self.servers.get(&id)?;
        if !pool.available(self.limits.max_open, now) {
            return None;
        }
        let (queued, waiter) = match self.overload_order {
            OverloadOrder::Shared => self.primary_queue.pop(now)?,
            OverloadOrder::ByRank => self.primary_queue.pop_urgent(now, |class| {
                let limit = primary_connection_limit(class, self.limits.max_open);
                pool.available_to(class, limit, now)
            })?,
        };
        Some(self.assign(queued, waiter, id, now))
    }

    fn next_read_assignment<G>(
        &mut self,
        locality: &Locality<'_>,
        now: Time,
        rng: &mut G,
    ) -> Option<Assignment<C, R>>
    where
        G: Rng,
    {
        let mut set_aside = Vec::new();
        let mut assignment = None;
        while assignment.is_none()
            && set_aside.len() < MAX_SET_ASIDE
            && let Some((queued, waiter)) = self.pop_read(now)
        {
            let ids: Vec<_> = self.read_servers(queued.class, now).map(Arc::clone).collect();
            let preferred = self.preferred_replica(&waiter.organisation, locality);
            let candidates: Vec<_> = ids
                .iter()
                .map(|id| self.candidate(id, preferred.as_ref(), queued.class, &waiter, locality, now))
                .collect();
            match choose_server(&candidates, rng) {
                Some(chosen) => {
                    assignment = Some(self.assign(queued, waiter, Arc::clone(&ids[chosen]), now));
                }
                None => set_aside.push((queued, waiter)),
            }
        }
        for (queued, waiter) in set_aside {
            // A refused push means that the time of the request is over, which it learns from its closed channel.
            drop(self.read_queue.push(queued, waiter, now));
        }
        assignment
    }

    /// Removes the next read for whose class a server is available.
    fn pop_read(&mut self, now: Time) -> Option<(QueuedRequest, Waiter<R>)> {
        if self.read_queue.is_empty() {
            return None;
        }
        match self.overload_order {
            OverloadOrder::Shared if self.any_available(now) => self.read_queue.pop(now),
            OverloadOrder::Shared => None,
            OverloadOrder::ByRank => {
                let classes: Vec<_> = PriorityClass::all()
                    .filter(|class| self.any_available_to(*class, now))
                    .collect();
                self.read_queue.pop_urgent(now, |class| classes.contains(&class))
            }
        }
    }

    /// Servers for queued reads of a class. The primary is left out while requests wait in its own queue.
    pub(super) fn read_servers(&self, class: PriorityClass, now: Time) -> impl Iterator<Item = &Arc<str>> {
        let may_use_primary = self.primary_queue.is_empty()
            && match self.overload_order {
                OverloadOrder::Shared => true,
                OverloadOrder::ByRank => self.replicas_are_closed_to(class, now),
            };
        self.accepting_servers
            .iter()
            .filter(move |id| may_use_primary || !self.is_primary(id))
    }

    /// Whether a read of a class may go to the primary although a replica has its log point: none of them takes it soon,
    /// and the primary has nothing else to do for this instance.
    fn replicas_are_closed_to(&self, class: PriorityClass, now: Time) -> bool {
        let at = replica_wait_end(now);
        let mut replicas = self.accepting_servers.iter().filter(|id| !self.is_primary(id));
        let primary = self.usable_primary().and_then(|(id, _)| self.servers.get(id));
        primary.is_some_and(|p| p.in_use == 0 && !p.yielding.is_strained(now))
            && replicas.all(|id| self.servers[id].is_closed_to(class, at))
    }

    fn any_available(&self, now: Time) -> bool {
        self.read_servers(PriorityClass::CRITICAL, now)
            .any(|id| self.servers[id].available(self.limits.max_open, now))
    }

    fn any_available_to(&self, class: PriorityClass, now: Time) -> bool {
        self.read_servers(class, now)
            .any(|id| self.servers[id].available_to(class, self.limits.max_open, now))
    }

    /// The replica whose holder keeps most connections of an organisation, if the holders keep them: all instances prefer the
    /// same one of their region, so that an organisation needs connections at one replica.
    fn preferred_replica(&self, organisation: &str, locality: &Locality<'_>) -> Option<Arc<str>> {
        let replicas = self.accepting_servers.iter().filter(|id| !self.is_primary(id));
        let shared = replicas.filter(|id| self.servers[*id].relay.is_some());
        let preferred = shared.max_by_key(|id| {
            let is_near = locality.regions.is_own(&self.servers[*id].server.domain);
            let hash = xxh3_64_with_seed(id.as_bytes(), xxh3_64(organisation.as_bytes()));
            (is_near, hash)
        });
        preferred.map(Arc::clone)
    }

    fn candidate(
        &self,
        id: &Arc<str>,
        preferred: Option<&Arc<str>>,
        class: PriorityClass,
        waiter: &Waiter<R>,
        locality: &Locality<'_>,
        now: Time,
    ) -> Candidate {
        let pool = &self.servers[id];
        let primary = self.is_primary(id);
        let holds_point = match waiter.requirement {
            ServerRequirement::Primary => primary,
            ServerRequirement::AtLeast(point) => {
                let reached = self.samples.first_reached_at(point);
                primary || pool.lag.expects_point(pool.applied, point, reached, now)
            }
        };
        Candidate {
            primary,
            local: *pool.server.domain == *locality.domain,
            distance: locality.distance(&pool.server.domain, now),
            latency: pool.expected_latency(now),
            running: pool.running(),
            has_idle_connection: match preferred {
                Some(preferred) if pool.relay.is_some() => preferred == id,
                _ => pool.idle.iter().any(|c| c.organisation == waiter.organisation),
            },
            available: pool.available_to(class, self.limits.max_open, now)
                && locality.may_reach(&pool.server.domain, class, now),
            holds_point,
        }
    }

    fn assign(
        &mut self,
        queued: QueuedRequest,
        waiter: Waiter<R>,
        server: Arc<str>,
        now: Time,
    ) -> Assignment<C, R> {
        let limit = self.limits.max_open;
        let pool = self.servers.get_mut(&server).expect("a known server");
        if let Some(holder) = pool.relay_target(now).cloned() {
            return Assignment {
                queued,
                waiter,
                server,
                source: ConnectionSource::Relay(holder),
            };
        }
        let values = &waiter.values;
        let adjustment_cost = |connection_state: &ConnectionState| {
            let adjustment = connection_state.adjustment(values);
            adjustment.set.len() + usize::from(adjustment.reset)
        };
        let source = if let Some(idle) = pool.take_idle(&waiter.organisation, adjustment_cost) {
            ConnectionSource::Idle(idle)
        } else {
            while pool.open_connections() >= limit && pool.evict() {}
            ConnectionSource::Connect
        };
        pool.in_use += 1;
        pool.pace.on_sent(now);
        Assignment {
            queued,
            waiter,
            server,
            source,
        }
    }
}

//! Leases of connections that another instance, or this one for all, holds.

use super::connection_lease::ConnectionLease;
use super::leased_connection::LeasedConnection;
use super::overload_yield::OverloadYield;
use super::pool::{LeaseResult, Pool, PoolError, Requester};
use super::pool_queue::deliver_lease;
use super::server_pool::{HeldLimits, pace_share};
use super::service_pool::Waiter;
use crate::connection_state::ConnectionState;
use crate::sharing::{LeaseServer, LeaseSpec};
use crate::{ClusterSnapshot, Connector, clock};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, PriorityClass, Time};

/// Part of a server's connections that its holder opens; the rest is left to instances that cannot reach it.
const HOLDER_FRACTION: f64 = 0.9;
/// Part of a server's connections that its holder keeps idle. When all instances lose power at once, the server keeps their
/// connections for some seconds, and the restarted holder needs free ones.
const HOLDER_IDLE_FRACTION: f64 = 0.6;
/// Idle timeout of the holder's connections. They are closed earlier when another organisation needs one.
const HOLDER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle timeout while this instance is not the holder, but serves others that take it for one or suspect the holder.
const SUBSTITUTE_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

impl<C> Pool<C>
where
    C: Connector + 'static,
{
    /// Derives from a new cluster snapshot which servers are used through a holder.
    pub(super) fn update_relays(&self, snapshot: &ClusterSnapshot, now: Time) {
        let Some(sharing) = self.sharing.get() else {
            return;
        };
        sharing.update(snapshot);
        let holders = sharing.holders(snapshot);
        let mut services = self.services.borrow_mut();
        for server in services.values_mut().flat_map(|s| s.servers.values_mut()) {
            let held_before = server.is_holder();
            let id = Arc::clone(&server.server.id);
            if let Some((pair, limit)) = holders.get(&id) {
                let unchanged = server.relay.as_ref().is_some_and(|r| r.holders() == pair);
                if !unchanged {
                    server.yielding = OverloadYield::default();
                    server.relay = Some(sharing.route(&id, pair.clone()));
                }
                let is_holder = server.is_holder();
                server.held_limits = Some(HeldLimits {
                    max_open: ((f64::from(*limit) * HOLDER_FRACTION) as u32).max(1),
                    max_idle: ((f64::from(*limit) * HOLDER_IDLE_FRACTION) as u32).max(1),
                    idle_timeout: if is_holder {
                        HOLDER_IDLE_TIMEOUT
                    } else {
                        SUBSTITUTE_IDLE_TIMEOUT
                    },
                });
            } else {
                server.relay = None;
                server.held_limits = None;
            }
            let holds_now = server.is_holder();
            if holds_now != held_before {
                let share = pace_share(&server.server, snapshot.fleet_size(), holds_now);
                server.pace.set_share(share, now);
                log::info!(server:% = id, holder = holds_now; "connection holder of a backend server changed");
            }
        }
    }

    /// Delivers a lease of a connection at `holder`. Nothing is sent before its first command.
    pub(super) fn relay(
        self: &Rc<Self>,
        service: &Arc<str>,
        server: &Arc<str>,
        holder: &InstanceId,
        class: PriorityClass,
        waiter: &Waiter<LeaseResult<C>>,
        now: Time,
    ) {
        let lease = self.new_relayed_lease(service, server, holder, class, &waiter.organisation, now);
        match lease {
            Some(lease) => deliver_lease(waiter, Some(lease)),
            None => drop(waiter.reply.try_send(Err(PoolError::NoServer))),
        }
    }

    fn new_relayed_lease(
        self: &Rc<Self>,
        service: &Arc<str>,
        server: &Arc<str>,
        holder: &InstanceId,
        class: PriorityClass,
        organisation: &Arc<str>,
        now: Time,
    ) -> Option<ConnectionLease<C>> {
        let sharing = self.sharing.get()?;
        let epoch = {
            let services = self.services.borrow();
            let usable = services.get(service)?.usable_primary();
            usable.filter(|(p, _)| *p == server).map(|(_, epoch)| epoch)
        };
        let spec = LeaseSpec {
            service: Arc::clone(service),
            server: Arc::clone(server),
            organisation: Arc::clone(organisation),
            class,
            epoch,
            values: crate::SessionValues::default(),
        };
        let lease_server: Rc<dyn LeaseServer> = Rc::clone(self) as Rc<dyn LeaseServer>;
        let conn = sharing.connect(holder, spec, lease_server)?;
        let conn = LeasedConnection::Relayed(Box::new(conn));
        let requester = Requester { organisation, class };
        let lease = self.new_lease(service, server, requester, conn, ConnectionState::default(), now)?;
        self.with_server(service, server, |s| s.relayed += 1);
        Some(lease)
    }

    /// Takes back a relayed lease.
    pub(super) fn release_relayed(self: &Rc<Self>, lease: &ConnectionLease<C>) {
        self.with_server(&lease.service, &lease.server, |s| {
            s.relayed = s.relayed.saturating_sub(1);
        });
        let service = Arc::clone(&lease.service);
        self.dispatch(&service, clock::now());
    }
}

//! Release of a primary that must no longer be used. Its connections are closed before the release is reported to the
//! other instances, which may promote a successor once all instances have released it.

use super::connection_lease::ConnectionLease;
use super::pool::Pool;
use super::server_pool::ServerPool;
use crate::{ClusterSnapshot, Connector, NEW_WORK_MARGIN, PrimaryView};
use async_io::Timer;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;

/// Time that transactions on a primary that is being replaced have to finish before their connections are closed.
const RELEASE_GRACE: Duration = Duration::from_millis(120);

impl<C> Pool<C>
where
    C: Connector + 'static,
{
    /// Applies the primary that the snapshot shows at `now`. A former primary gets no new work from then on; its
    /// connections are closed after a grace time, and its release is recorded after that.
    pub(super) fn update_primary(self: &Rc<Self>, service: &Arc<str>, snapshot: &ClusterSnapshot, now: Time) {
        let view = snapshot.primary(service, now);
        let stale = view == PrimaryView::Stale;
        let epoch = snapshot.primaries.get(service).map_or(0, |r| r.epoch);
        let deposed = {
            let mut services = self.services.borrow_mut();
            let Some(pool) = services.get_mut(service) else {
                return;
            };
            pool.set_primary(view.clone(), now)
        };
        match deposed {
            Some(server) => {
                log::info!(service:% = service, server:% = server, epoch, unproved = stale; "primary no longer used");
                // When the view lease is about to expire, the connections have to be closed before it does. During a
                // failover they have to be closed before the release is reported: from then on, other instances
                // rely on it.
                let grace = if stale { NEW_WORK_MARGIN / 2 } else { RELEASE_GRACE };
                let pool = Rc::clone(self);
                let service = Arc::clone(service);
                let task = async move {
                    Timer::after(grace).await;
                    pool.revoke_primary(&service, &server, epoch);
                };
                self.executor.spawn(task).detach();
            }
            // An instance whose view lease has expired uses no primary either. It learns of the failover from its announcement,
            // and the holder of the failover lease would wait for it in vain.
            None if is_being_replaced(service, snapshot) => {
                let grace_elapsed = {
                    let services = self.services.borrow();
                    let unusable_since = services.get(service).and_then(|p| p.unusable_since);
                    unusable_since.is_some_and(|since| now.saturating_since(since) > RELEASE_GRACE * 2)
                };
                if grace_elapsed {
                    self.record_release(service, epoch);
                }
            }
            None => {}
        }
    }

    /// Closes all connections to a server that must no longer be used as the primary, then records the release.
    pub(super) fn revoke_primary(self: &Rc<Self>, service: &Arc<str>, server: &Arc<str>, epoch: u64) {
        self.with_server(service, server, ServerPool::revoke);
        let pool = Rc::clone(self);
        let service = Arc::clone(service);
        let task = async move {
            // Lets the tasks that use these connections observe the revocation before the release is recorded.
            futures_lite::future::yield_now().await;
            Timer::after(Duration::from_millis(5)).await;
            pool.record_release(&service, epoch);
        };
        self.executor.spawn(task).detach();
    }

    pub(super) fn record_release(&self, service: &Arc<str>, epoch: u64) {
        let mut released = self.released.borrow_mut();
        let known = released.entry(Arc::clone(service)).or_default();
        if *known < epoch {
            *known = epoch;
            self.newly_released
                .borrow_mut()
                .push((Arc::clone(service), epoch));
        }
    }

    /// Service and epoch of the releases since the last call.
    pub fn take_released(&self) -> Vec<(Arc<str>, u64)> {
        std::mem::take(&mut self.newly_released.borrow_mut())
    }

    /// Service and epoch of the releases for failovers in progress. They are reported repeatedly, since datagrams may
    /// be lost.
    pub fn released(&self) -> Vec<(Arc<str>, u64)> {
        let snapshot = self.snapshot();
        let released = self.released.borrow();
        let in_progress = released
            .iter()
            .filter(|(service, _)| is_being_replaced(service, &snapshot));
        in_progress.map(|(s, e)| (Arc::clone(s), *e)).collect()
    }

    /// Whether the lease is of a primary, and of the epoch that is in force at `now`.
    pub(super) fn is_lease_of_current_primary(&self, lease: &ConnectionLease<C>, now: Time) -> bool {
        let Some(epoch) = lease.epoch else {
            return false;
        };
        match self.snapshot.borrow().primary(&lease.service, now) {
            PrimaryView::Usable { epoch: current, .. } => current == epoch,
            PrimaryView::FailoverInProgress | PrimaryView::Stale | PrimaryView::Unknown => false,
        }
    }

    /// Whether a read that a replica refused because its log is behind goes to the primary next: there is one that may be
    /// used and is not unreachable, and the read does not wait for the replicas because the primary is under strain.
    pub(super) fn lagging_read_needs_primary(&self, service: &str, now: Time) -> bool {
        let services = self.services.borrow();
        let pool = services.get(service);
        pool.is_some_and(|p| p.primary_is_reachable(now) && !p.is_primary_strained(now))
    }
}

/// Whether the primary record of the service, as this instance knows it, names no serving primary.
fn is_being_replaced(service: &str, snapshot: &ClusterSnapshot) -> bool {
    let record = snapshot.primaries.get(service);
    record.is_some_and(|r| r.serving().is_none())
}

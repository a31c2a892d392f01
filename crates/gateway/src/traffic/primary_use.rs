//! The end of the use of a primary: its connections are closed before the release is told.

use super::lease::Lease;
use super::pool::Pool;
use super::server_pool::ServerPool;
use crate::{Connector, Directory, NEW_WORK_MARGIN, PrimaryView};
use async_io::Timer;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;

/// How long transactions on a primary that is being replaced may still end.
const RELEASE_GRACE: Duration = Duration::from_millis(120);

impl<C> Pool<C>
where
    C: Connector + 'static,
{
    pub(super) fn update_primary(self: &Rc<Self>, service: &Arc<str>, directory: &Directory, now: Time) {
        let view = directory.primary(service, now);
        let unproved = view == PrimaryView::Stale;
        let epoch = directory.primaries.get(service).map_or(0, |r| r.epoch);
        let deposed = {
            let mut services = self.services.borrow_mut();
            let Some(pool) = services.get_mut(service) else {
                return;
            };
            pool.set_primary(view.clone(), now)
        };
        match deposed {
            Some(server) => {
                log::info!(service:% = service, server:% = server, epoch, unproved; "primary no longer used");
                // In both cases the connections are closed before anybody may count on it.
                let grace = if unproved {
                    NEW_WORK_MARGIN / 2
                } else {
                    RELEASE_GRACE
                };
                let pool = Rc::clone(self);
                let service = Arc::clone(service);
                let task = async move {
                    Timer::after(grace).await;
                    pool.end_use(&service, &server, epoch);
                };
                self.executor.spawn(task).detach();
            }
            None if view == PrimaryView::Moving => {
                let unused = {
                    let services = self.services.borrow();
                    let pool = services.get(service);
                    pool.is_some_and(|p| {
                        p.moving_since
                            .is_some_and(|since| now.saturating_since(since) > RELEASE_GRACE * 2)
                    })
                };
                if unused {
                    self.on_released(service, epoch);
                }
            }
            None => {}
        }
    }

    /// Closes all connections to a server that may not be used as the primary any more, then says so.
    pub(super) fn end_use(self: &Rc<Self>, service: &Arc<str>, server: &Arc<str>, epoch: u64) {
        self.with_server(service, server, ServerPool::revoke);
        let pool = Rc::clone(self);
        let service = Arc::clone(service);
        let task = async move {
            // The tasks that use these connections run once before the release is told.
            futures_lite::future::yield_now().await;
            Timer::after(Duration::from_millis(5)).await;
            pool.on_released(&service, epoch);
        };
        self.executor.spawn(task).detach();
    }

    pub(super) fn on_released(&self, service: &Arc<str>, epoch: u64) {
        let mut released = self.released.borrow_mut();
        let known = released.entry(Arc::clone(service)).or_default();
        if *known < epoch {
            *known = epoch;
            self.newly_released
                .borrow_mut()
                .push((Arc::clone(service), epoch));
        }
    }

    /// Releases since the last call.
    pub fn take_released(&self) -> Vec<(Arc<str>, u64)> {
        std::mem::take(&mut self.newly_released.borrow_mut())
    }

    /// Releases for changes of primary that are still under way.
    pub fn released(&self, now: Time) -> Vec<(Arc<str>, u64)> {
        let directory = self.directory();
        let released = self.released.borrow();
        let under_way = released
            .iter()
            .filter(|(service, _)| directory.primary(service, now) == PrimaryView::Moving);
        under_way.map(|(s, e)| (Arc::clone(s), *e)).collect()
    }

    /// Whether a lease of a primary is of the epoch that is in force now.
    pub(super) fn still_leads(&self, lease: &Lease<C>, now: Time) -> bool {
        let Some(epoch) = lease.epoch else {
            return false;
        };
        match self.directory.borrow().primary(&lease.service, now) {
            PrimaryView::Usable { epoch: current, .. } => current == epoch,
            PrimaryView::Moving | PrimaryView::Stale | PrimaryView::Unknown => false,
        }
    }

    /// Whether the service has a primary that answers.
    pub(super) fn primary_is_usable(&self, service: &str, now: Time) -> bool {
        let services = self.services.borrow();
        services.get(service).is_some_and(|p| p.primary_answers(now))
    }
}

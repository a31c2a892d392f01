//! Waiting until no instance uses a primary that is being replaced.

use super::control_loop::ControlThread;
use super::instance_registry::VIEW_LEASE_MARGIN;
use super::leadership_task::STEP_POLL_PERIOD;
use super::poll_health::RETRY_BACKOFF;
use crate::cluster_snapshot::VIEW_LEASE;
use crate::{Connector, Discovery, PrimaryRecord, Promoter, clock};
use async_io::Timer;
use futures_lite::future::zip;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;
use wasabiyard_platform::Platform;

/// Period of announcing the new record again to instances that have not released the old primary.
const REANNOUNCE_PERIOD: Duration = Duration::from_millis(160);

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Waits until every registered instance has released the old primary, or cannot use it any longer because its
    /// view lease has expired.
    pub(super) async fn wait_until_released(
        &self,
        service: &Arc<str>,
        record: &PrimaryRecord,
        from: &Arc<str>,
    ) {
        let started = clock::now();
        let deadline = started + VIEW_LEASE + VIEW_LEASE_MARGIN;
        let registry_refresh = self.refresh_registry_since(started, deadline);
        let releases = self.await_releases(service, record, started, deadline);
        zip(registry_refresh, releases).await;
        let took_ms = clock::now().saturating_since(started).as_millis() as u64;
        log::info!(service:% = service, server:% = from, took_ms; "old primary is no longer in use");
    }

    /// Reads the registry until one read was sent at or after `started`, or `deadline` passes. An instance that has
    /// just registered may have read the replaced record and be missing from earlier reads.
    async fn refresh_registry_since(&self, started: Time, deadline: Time) {
        while self.state.borrow().registry.read_at() < started && clock::now() < deadline {
            self.read_records().await;
            if self.state.borrow().registry.read_at() < started {
                Timer::after(RETRY_BACKOFF).await;
            }
        }
    }

    /// Waits until a registry read sent at or after `started` shows no pending release, or until `deadline`, when the
    /// view leases from before `started` have expired. Announces the record again to the instances that are waited
    /// for.
    async fn await_releases(
        &self,
        service: &Arc<str>,
        record: &PrimaryRecord,
        started: Time,
        deadline: Time,
    ) {
        let mut next_announcement = started + REANNOUNCE_PERIOD;
        loop {
            let now = clock::now();
            let (pending, read_at) = {
                let registry = &self.state.borrow().registry;
                (
                    registry.pending_releases(service, record.epoch, now),
                    registry.read_at(),
                )
            };
            if pending.is_empty() && read_at >= started {
                return;
            }
            if now >= deadline {
                log::info!(
                    service:% = service, waiting = pending.len();
                    "stopped waiting for releases; view leases have expired"
                );
                return;
            }
            if now >= next_announcement {
                self.announce(service, record, pending);
                next_announcement = now + REANNOUNCE_PERIOD;
            }
            Timer::after(STEP_POLL_PERIOD).await;
        }
    }
}

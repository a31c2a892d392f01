//! Waiting until nobody uses a primary that is being replaced.

use super::control_loop::Control;
use super::leadership_task::STEP_PERIOD;
use super::pace::RETRY_PAUSE;
use super::register::LEASE_MARGIN;
use crate::directory::VIEW_LEASE;
use crate::{Connector, Discovery, PrimaryRecord, Promoter, clock};
use async_io::Timer;
use futures_lite::future::zip;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;
use wasabiyard_platform::Platform;

/// Period of telling a new record again to instances that have not released the old primary.
const TELL_PERIOD: Duration = Duration::from_millis(160);

impl<P, D, M, C> Control<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Waits until every registered instance has said that it does not use the old primary, or cannot use it any more
    /// because its view lease has ended.
    pub(super) async fn wait_released(&self, service: &Arc<str>, record: &PrimaryRecord, from: &Arc<str>) {
        let started = clock::now();
        let end = started + VIEW_LEASE + LEASE_MARGIN;
        let reading = self.read_register_since(started, end);
        let releases = self.await_releases(service, record, started, end);
        zip(reading, releases).await;
        let took_ms = clock::now().saturating_since(started).as_millis() as u64;
        log::info!(service:% = service, server:% = from, took_ms; "old primary is not used any more");
    }

    /// Reads the register once more. An instance that has just registered may have read the record that is replaced.
    async fn read_register_since(&self, started: Time, end: Time) {
        while self.state.borrow().register.read_at() < started && clock::now() < end {
            self.read_records().await;
            if self.state.borrow().register.read_at() < started {
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }

    async fn await_releases(&self, service: &Arc<str>, record: &PrimaryRecord, started: Time, end: Time) {
        let mut tell_at = started + TELL_PERIOD;
        loop {
            let now = clock::now();
            let (waiting, read_at) = {
                let register = &self.state.borrow().register;
                (
                    register.unreleased(service, record.epoch, now),
                    register.read_at(),
                )
            };
            if waiting.is_empty() && read_at >= started {
                return;
            }
            if now >= end {
                log::info!(service:% = service, waiting = waiting.len(); "view leases have ended");
                return;
            }
            if now >= tell_at {
                self.tell(service, record, waiting);
                tell_at = now + TELL_PERIOD;
            }
            Timer::after(STEP_PERIOD).await;
        }
    }
}

//! Primary records that differ between the store and the instances: after a restore of the store, which may have lost changes
//! of them, or because of a writer that does not keep to the versions.

use super::control_loop::ControlThread;
use super::poll_health::RETRY_BACKOFF;
use super::promotion::LOOK_PAUSE;
use super::step_error::StepError;
use super::stored_primaries::StoredRecord;
use crate::{ClusterSnapshot, Connector, Discovery, PrimaryRecord, Promoter, Role, clock};
use async_io::Timer;
use std::sync::Arc;
use wasabiyard_platform::{Platform, Precondition};

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Reads the record of a service whose known record is not the one that this instance has read. The known one is usually
    /// newer, announced by the former holder of the failover lease. If the difference is in the store itself, a record that
    /// exceeds both ends it.
    pub(super) async fn reconcile(&self, service: &Arc<str>) -> Result<(), StepError> {
        let sent_at = clock::now();
        self.read_records().await;
        let (precondition, next) = {
            let state = self.state.borrow();
            let Some(known) = state.snapshot.primaries.get(service) else {
                return Ok(());
            };
            let stored = state.stored_primaries.get(service);
            if state.registry.read_at() < sent_at {
                drop(state);
                self.pause_looks(service, LOOK_PAUSE);
                return Ok(());
            }
            if stored.is_some_and(|s| s.record == *known) {
                return Ok(());
            }
            let floor = state.generation.current().counter_floor();
            let next = known.reconciled_with(stored.map(|s| &s.record), floor);
            log::warn!(
                service:% = service, known_epoch = known.epoch, stored_epoch:? = stored.map(|s| s.record.epoch);
                "the store has another primary record than this instance knows; replacing both"
            );
            (precondition_on(stored), next)
        };
        if self.held_fence().is_none() {
            return Err(StepError::LeaseLost);
        }
        self.write_record(service, precondition, next).await?;
        Ok(())
    }

    /// Writes the primary records again that a restored store may have lost. Their epochs exceed all that the store has
    /// forgotten.
    pub(super) async fn rewrite_primary_records(&self) {
        if !self.state.borrow().knows_primaries(clock::now()) {
            return;
        }
        let services: Vec<_> = self.state.borrow().snapshot.primaries.keys().cloned().collect();
        for service in services {
            if self.held_fence().is_none() {
                return;
            }
            let Some((precondition, next)) = self.record_to_rewrite(&service) else {
                continue;
            };
            if let Err(e) = self.write_record(&service, precondition, next).await {
                log::info!(service:% = service, error:% = e; "could not write a primary record again");
                // The next read of the records shows the versions that the store has.
                Timer::after(RETRY_BACKOFF).await;
                self.read_records().await;
            }
        }
    }

    /// The record of a service to write again, and the condition of the write; `None` if it has been written or a task
    /// changes it. Decided right before each write: the one before may have taken long, and instances report records
    /// meanwhile.
    fn record_to_rewrite(&self, service: &Arc<str>) -> Option<(Precondition, PrimaryRecord)> {
        let state = self.state.borrow();
        let known = state.snapshot.primaries.get(service)?;
        let floor = state.generation.current().counter_floor();
        if known.epoch > floor || state.changing_services.contains(service) {
            return None;
        }
        let next = PrimaryRecord {
            epoch: floor + 1,
            ..record_after_restore(&state.snapshot, service, known)
        };
        Some((precondition_on(state.stored_primaries.get(service)), next))
    }
}

/// The condition of a write that replaces what was read last.
fn precondition_on(stored: Option<&StoredRecord>) -> Precondition {
    stored.map_or(Precondition::Absent, |s| Precondition::Version(s.version))
}

/// The record of a primary after a restore of the store. A recorded primary that is listed as a replica was replaced, if
/// another server alone is listed as primary. The term in which that one serves is not known.
fn record_after_restore(
    snapshot: &ClusterSnapshot,
    service: &Arc<str>,
    record: &PrimaryRecord,
) -> PrimaryRecord {
    let Some(recorded) = record.serving() else {
        return record.clone();
    };
    let servers = snapshot.servers.values().filter(|s| s.service == *service);
    let mut listed = servers.filter(|s| s.role == Role::Primary);
    match (listed.next(), listed.next()) {
        (Some(only), None) if only.id != *recorded => {
            log::warn!(
                service:% = service, recorded:% = recorded, primary:% = only.id;
                "the store has lost a change of primary"
            );
            PrimaryRecord::first(Arc::clone(&only.id))
        }
        _ => record.clone(),
    }
}

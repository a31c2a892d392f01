//! Primary records after a restore of the store, which may have lost changes of them.

use super::control_loop::ControlThread;
use super::poll_health::RETRY_BACKOFF;
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
    /// Writes the primary records again that a restored store may have lost. Their epochs exceed all that the store has
    /// forgotten.
    pub(super) async fn rewrite_primary_records(&self) {
        let now = clock::now();
        let pending: Vec<_> = {
            let state = self.state.borrow();
            if !state.knows_primaries(now) {
                return;
            }
            let floor = state.generation.current().counter_floor();
            let primaries = state.snapshot.primaries.iter();
            let old = primaries.filter(|(service, record)| {
                record.epoch <= floor && !state.changing_services.contains(*service)
            });
            old.map(|(service, record)| {
                let restored = record_after_restore(&state.snapshot, service, record);
                let next = PrimaryRecord {
                    epoch: floor + 1,
                    ..restored
                };
                let stored = state.stored_primaries.get(service);
                let precondition = stored.map_or(Precondition::Absent, |s| Precondition::Version(s.version));
                (Arc::clone(service), precondition, next)
            })
            .collect()
        };
        for (service, precondition, record) in pending {
            if let Err(e) = self.write_record(&service, precondition, record).await {
                log::info!(service:% = service, error:% = e; "could not write a primary record again");
                // The next read of the records shows the versions that the store has.
                Timer::after(RETRY_BACKOFF).await;
                self.read_records().await;
            }
        }
    }
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

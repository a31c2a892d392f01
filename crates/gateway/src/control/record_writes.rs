//! Writes of primary records, and the checks that a step is still decided from the newest one.
//!
//! A step takes long: it waits for releases and asks backend servers. Meanwhile a poll may read a newer record, for
//! example one that an unanswered write of this instance has put in place seconds later. Each write is therefore
//! conditional on the version of the record from which it was decided, and each order to a backend server follows a check
//! that this record is still the newest known one. At most one write succeeds on a version, so two records never have the
//! same epoch.

use super::control_loop::ControlThread;
use super::records;
use super::step_error::StepError;
use super::store_calls::StoreCallKind;
use super::stored_primaries::StoredRecord;
use crate::{Connector, Discovery, PrimaryRecord, Promoter, clock};
use std::sync::Arc;
use wasabiyard_platform::{Platform, PlatformError, Precondition};

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Checks that this instance holds the failover lease and that `base`, from which a step was decided, is still the
    /// newest record that it knows. Due after each wait, before a write or an order.
    pub(super) fn ensure_current(&self, service: &Arc<str>, base: &StoredRecord) -> Result<(), StepError> {
        if self.held_fence().is_none() {
            return Err(StepError::LeaseLost);
        }
        let state = self.state.borrow();
        let stored = state.stored_primaries.get(service);
        let known = state.snapshot.primaries.get(service);
        let is_newest = stored.is_some_and(|s| s.version == base.version)
            && known.is_some_and(|k| k.epoch == base.record.epoch);
        if is_newest {
            Ok(())
        } else {
            Err(StepError::RecordChanged)
        }
    }

    /// Writes the record that follows `base`, and returns it with its version.
    pub(super) async fn write_following(
        &self,
        service: &Arc<str>,
        base: &StoredRecord,
        next: PrimaryRecord,
    ) -> Result<StoredRecord, StepError> {
        self.ensure_current(service, base)?;
        let written = self
            .write_record(service, Precondition::Version(base.version), next)
            .await?;
        Ok(written)
    }

    /// Makes sure that no unanswered write can replace `base` any more: writes the same state once more unless this
    /// process knows that all is answered. Due before a demotion, which cannot be taken back if a record that puts the
    /// old primary back in use takes effect after it.
    pub(super) async fn settle(
        &self,
        service: &Arc<str>,
        base: StoredRecord,
    ) -> Result<StoredRecord, StepError> {
        let is_settled = {
            let state = self.state.borrow();
            state.stored_primaries.is_settled(service, base.version)
        };
        if is_settled {
            return Ok(base);
        }
        let next = base.record.followed_by(base.record.leadership.clone());
        self.write_following(service, &base, next).await
    }

    /// Writes a primary record if `precondition` holds, and announces it to all members. The condition is the version of
    /// the record from which `next` was decided.
    pub(super) async fn write_record(
        &self,
        service: &Arc<str>,
        precondition: Precondition,
        next: PrimaryRecord,
    ) -> Result<StoredRecord, PlatformError> {
        let known_epoch = {
            let state = self.state.borrow();
            state.snapshot.primaries.get(service).map(|r| r.epoch)
        };
        let value = serde_json::json!(next);
        self.store_calls.on_call(StoreCallKind::Failover);
        let sent_at = clock::now();
        let written = self
            .platform
            .put(&records::primary_key(service), precondition, &value)
            .await;
        log::info!(
            service:% = service, epoch = next.epoch, leadership:? = next.leadership, known_epoch:? = known_epoch,
            expected:? = precondition, result:? = written;
            "write of a primary record"
        );
        let stored = match written {
            Ok(version) => StoredRecord {
                version,
                record: next,
            },
            Err(e) => {
                self.on_record_not_written(service, precondition, &e);
                return Err(e);
            }
        };
        {
            let mut state = self.state.borrow_mut();
            state.proofs.add(stored.version.0, sent_at);
            state
                .stored_primaries
                .on_written(Arc::clone(service), stored.clone());
            state.apply_primary_record(Arc::clone(service), stored.record.clone())
        };
        self.publish_snapshot();
        self.announce(service, &stored.record, self.member_ids());
        Ok(stored)
    }

    fn on_record_not_written(&self, service: &Arc<str>, precondition: Precondition, error: &PlatformError) {
        let may_take_effect = match error {
            PlatformError::Unknown | PlatformError::Malformed { .. } => true,
            PlatformError::Conflict { .. } | PlatformError::Unavailable { .. } => false,
        };
        if let (true, Precondition::Version(expected)) = (may_take_effect, precondition) {
            let mut state = self.state.borrow_mut();
            state.stored_primaries.on_unanswered(service, expected);
        }
    }
}

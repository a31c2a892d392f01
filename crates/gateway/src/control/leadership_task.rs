//! The steps by which the holder of the failover lease replaces a primary.
//!
//! Each step starts from the primary record in the store, so the next holder of the lease can resume after any of
//! them.

use super::control_loop::{ControlThread, OutboundMessage};
use super::failover::{FailoverReason, failover_reason};
use super::server_commands::ServerCommand;
use super::step_error::StepError;
use super::stored_primaries::StoredRecord;
use super::successor::OldPrimaryStep;
use crate::{Connector, Discovery, Leadership, PeerMessage, PrimaryRecord, Promoter, Role, clock};
use async_executor::LocalExecutor;
use async_io::Timer;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::InstanceId;
use wasabiyard_platform::{Platform, Precondition};

/// Period of checking all primaries.
const PRIMARY_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Period of polling whether a step has taken effect.
pub(super) const STEP_POLL_PERIOD: Duration = Duration::from_millis(40);

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// While this instance holds the failover lease, prunes the instance registry and checks the primary of each
    /// service once per period. Each service has its own task, so a slow failover does not delay the others; a service
    /// whose task still runs, or whose next look is not due, is skipped.
    pub(super) async fn monitor_primaries(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>) {
        loop {
            Timer::after(PRIMARY_CHECK_PERIOD).await;
            if self.held_fence().is_none() {
                continue;
            }
            if !self.state.borrow().is_confirmed() {
                self.rewrite_primary_records().await;
                continue;
            }
            self.prune_registry().await;
            for service in self.known_services() {
                if !self.state.borrow_mut().start_change(&service, clock::now()) {
                    continue;
                }
                let control = Rc::clone(&self);
                let task = async move {
                    if let Err(e) = control.advance(&service).await {
                        log::info!(service:% = service, error:% = e; "primary change failed; retrying");
                        if e.may_have_missed_record() {
                            control.read_records().await;
                        }
                        Timer::after(PRIMARY_CHECK_PERIOD * 2).await;
                    }
                    control.state.borrow_mut().changing_services.remove(&service);
                };
                executor.spawn(task).detach();
            }
        }
    }

    pub(super) fn held_fence(&self) -> Option<u64> {
        let own_entry = &self.settings.instance;
        let state = self.state.borrow();
        state
            .failover_lease
            .held_fence(own_entry.id.as_str(), own_entry.incarnation, clock::now())
    }

    fn known_services(&self) -> Vec<Arc<str>> {
        let state = self.state.borrow();
        let snapshot = &state.snapshot;
        let mut services: Vec<_> = snapshot
            .servers
            .values()
            .map(|s| Arc::clone(&s.service))
            .chain(snapshot.primaries.keys().map(Arc::clone))
            .collect();
        services.sort();
        services.dedup();
        services
    }

    /// Continues with one service from the state in its primary record: records the initial primary, replaces the
    /// primary if needed, or resumes a replacement that is in progress.
    async fn advance(&self, service: &Arc<str>) -> Result<(), StepError> {
        let (known, stored) = {
            let state = self.state.borrow();
            let known = state.snapshot.primaries.get(service).cloned();
            (known, state.stored_primaries.get(service).cloned())
        };
        let Some(known) = known else {
            return self.record_initial_primary(service).await;
        };
        if !self.state.borrow().has_settled(clock::now()) {
            // Instances that the store has forgotten would not be waited for.
            return Ok(());
        }
        let Some(base) = stored.filter(|s| s.record == known) else {
            return self.reconcile(service).await;
        };
        match base.record.leadership.clone() {
            Leadership::Serving { primary } => self.replace_if_needed(service, &base, primary).await,
            Leadership::Moving { from } => self.advance_moving(service, base, from).await,
            Leadership::Promoting { from, .. } => self.promote_successor(service, base, from).await,
        }
    }

    /// Writes the first record of a service. Does nothing unless exactly one backend server is listed as its primary.
    async fn record_initial_primary(&self, service: &Arc<str>) -> Result<(), StepError> {
        let primary = {
            let state = self.state.borrow();
            let mut primaries = state
                .snapshot
                .servers
                .values()
                .filter(|s| s.service == *service && s.role == Role::Primary);
            match (primaries.next(), primaries.next()) {
                (Some(only), None) => Arc::clone(&only.id),
                _ => return Ok(()),
            }
        };
        // Before, a promotion that a restored store has forgotten may not have taken effect.
        let has_settled = self.state.borrow().has_settled(clock::now());
        let status = self.send_command(service, &primary, ServerCommand::Status).await;
        let term = status.filter(|s| s.primary && has_settled).map(|s| s.term);
        let floor = self.state.borrow().generation.current().counter_floor();
        let record = PrimaryRecord {
            epoch: floor + 1,
            is_term_current: term.is_some(),
            ..PrimaryRecord::first(primary).with_term(term.unwrap_or_default())
        };
        self.write_record(service, Precondition::Absent, record).await?;
        Ok(())
    }

    /// Starts replacing the primary of a service if the failover policy says so and a candidate answers.
    async fn replace_if_needed(
        &self,
        service: &Arc<str>,
        base: &StoredRecord,
        primary: Arc<str>,
    ) -> Result<(), StepError> {
        let now = clock::now();
        let reason = {
            let state = self.state.borrow();
            failover_reason(service, &state.snapshot, &state.reachability, now)
        };
        let reason = match reason {
            None if self.is_deposed(service, &primary).await => Some(FailoverReason::Deposed),
            reason => reason,
        };
        match reason {
            None => Ok(()),
            Some(reason) => {
                // Callers that still reach a primary would only lose it without a successor. One that no longer leads may
                // be its own.
                let needs_successor = reason != FailoverReason::Deposed;
                if needs_successor && !self.has_successor(service, &primary, &reason).await {
                    return Ok(());
                }
                log::info!(service:% = service, primary:% = primary, reason:? = reason; "replacing primary");
                let from = Arc::clone(&primary);
                let next = base.record.followed_by(Leadership::Moving { from });
                let moving = self.write_following(service, base, next).await?;
                self.advance_moving(service, moving, primary).await
            }
        }
    }

    /// Whether a primary that has been listed as a replica for a while says itself that it is one. The list alone proves
    /// nothing, and a primary that is a replica refuses all writes without ever counting as unreachable.
    async fn is_deposed(&self, service: &Arc<str>, primary: &Arc<str>) -> bool {
        let may_be_deposed = {
            let reachability = &self.state.borrow().reachability;
            reachability.may_be_deposed(primary, clock::now())
        };
        if !may_be_deposed {
            return false;
        }
        let status = self.send_command(service, primary, ServerCommand::Status).await;
        let mut state = self.state.borrow_mut();
        state.reachability.on_primary_asked(primary, clock::now());
        status.is_some_and(|s| !s.primary)
    }

    /// Waits until no instance uses the old primary, then gives the service another one.
    async fn advance_moving(
        &self,
        service: &Arc<str>,
        base: StoredRecord,
        from: Arc<str>,
    ) -> Result<(), StepError> {
        self.wait_until_released(service, &base.record, &from).await;
        self.ensure_current(service, &base)?;
        let step = self.old_primary_step(service, &from).await;
        match step {
            OldPrimaryStep::Demote => {}
            OldPrimaryStep::KeepLeading => {
                log::info!(service:% = service, server:% = from; "waiting for a successor that has the log of the old primary");
                return Ok(());
            }
            OldPrimaryStep::Resume => {
                log::info!(service:% = service, server:% = from; "no successor has caught up; using the old primary again");
                let next = base.record.followed_by(Leadership::Serving { primary: from });
                self.write_following(service, &base, next).await?;
                return Ok(());
            }
        }
        self.promote_successor(service, base, from).await
    }

    /// Sends a primary record to the instances `to`.
    pub(super) fn announce(&self, service: &Arc<str>, record: &PrimaryRecord, to: Vec<InstanceId>) {
        let message = PeerMessage::PrimaryRecordChanged {
            service: Arc::clone(service),
            record: record.clone(),
        };
        self.send_to_peers(OutboundMessage::Multicast(to, message));
    }

    pub(super) fn member_ids(&self) -> Vec<InstanceId> {
        let state = self.state.borrow();
        state.snapshot.members.iter().map(|m| m.id.clone()).collect()
    }
}

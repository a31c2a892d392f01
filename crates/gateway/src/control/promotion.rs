//! The steps that give a service a primary while no instance uses one: look at its backend servers, and use the one that
//! leads already, or order the promotion of a candidate and wait until it leads.
//!
//! An order may have no effect: its answer was lost, the candidate has crashed, or it was the primary before and the
//! promotion service changes nothing. Each order therefore follows a look at all servers, and pauses between orders grow.
//! The primary record counts them, so the next holder of the failover lease goes on where this one stops.

use super::control_loop::ControlThread;
use super::failover::only_passes_log_on;
use super::leadership_task::STEP_POLL_PERIOD;
use super::server_commands::ServerCommand;
use super::step_error::StepError;
use super::stored_primaries::StoredRecord;
use super::successor::CandidateStatus;
use super::successor_search::{CATCH_UP_TIMEOUT, Successor};
use crate::{
    Connector, Discovery, Leadership, PrimaryRecord, Promoter, PromotionOrder, PromotionResponse,
    ServerStatus, clock,
};
use async_io::Timer;
use futures_lite::future::zip;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;
use wasabiyard_platform::Platform;

/// Longest wait for a promotion to take effect.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause after the first order without effect; it doubles with each further one.
const INITIAL_ORDER_PAUSE: Duration = Duration::from_millis(200);
const MAX_ORDER_PAUSE: Duration = Duration::from_millis(3_200);
/// Pause after a look that has found no successor. Servers that are down refuse queries at once.
pub(super) const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// Pause after the last of `orders` orders without effect.
fn order_pause(orders: u32) -> Duration {
    let doublings = orders.saturating_sub(1).min(16);
    MAX_ORDER_PAUSE.min(INITIAL_ORDER_PAUSE * (1 << doublings))
}

/// Pause after the last of `orders` orders, which was refused. A candidate that has just crashed is refused too, so the look
/// after the first one, which finds another candidate, follows at once.
fn refusal_pause(orders: u32) -> Duration {
    if orders <= 1 {
        Duration::ZERO
    } else {
        order_pause(orders - 1)
    }
}

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Uses the server that leads already, or promotes a candidate. Each order starts here, so none is repeated without a look
    /// at all servers. The old primary is demoted before, unless it is the only server that answers.
    pub(super) async fn promote_successor(
        &self,
        service: &Arc<str>,
        mut base: StoredRecord,
        from: Arc<str>,
    ) -> Result<(), StepError> {
        let deadline = clock::now() + CATCH_UP_TIMEOUT;
        let (old_status, survey) = zip(
            self.send_command(service, &from, ServerCommand::Status),
            self.survey_candidates(service, &from, deadline),
        )
        .await;
        let successor = if survey.answered.is_empty() {
            self.old_primary_as_successor(service, &base.record, &from, old_status)
        } else {
            let demoted = match old_status {
                Some(status) => {
                    self.ensure_current(service, &base)?;
                    if status.primary {
                        base = self.settle(service, base).await?;
                    }
                    self.demote(service, &from, status).await
                }
                None => None,
            };
            let served_term = demoted.and_then(|d| d.served_term).unwrap_or_default();
            base.record.term = base.record.term.max(served_term);
            let old_point = demoted.map(|d| d.received);
            self.await_successor(service, &base.record, &from, survey, old_point, deadline)
                .await
        };
        match successor {
            None => {
                self.pause_looks(service, LOOK_PAUSE);
                Ok(())
            }
            Some(Successor::Leads(leader)) => self.use_leader(service, &base, leader).await,
            Some(Successor::Candidate(chosen)) => {
                let candidate = Arc::clone(&chosen.server);
                let next = base.record.promoting(from, candidate, &chosen.status);
                let promoting = self.write_following(service, &base, next).await?;
                self.order_promotion(service, &promoting, chosen.server).await
            }
        }
    }

    /// Records a server that leads already as the primary. One that must not get new work is replaced at once.
    async fn use_leader(
        &self,
        service: &Arc<str>,
        base: &StoredRecord,
        leader: CandidateStatus,
    ) -> Result<(), StepError> {
        let record = &base.record;
        let CandidateStatus { server, status, .. } = leader;
        log::info!(
            service:% = service, server:% = server, term:% = status.term, after:% = record.term, orders = record.orders;
            "server leads already"
        );
        let leadership = if leader.accepts_new_work {
            Leadership::Serving { primary: server }
        } else {
            Leadership::Moving { from: server }
        };
        let next = record.after_look(leadership, &status);
        self.write_following(service, base, next).await?;
        Ok(())
    }

    /// Orders the promotion of the candidate, waits until it is the primary, and records it as serving. An order that is
    /// refused or has no effect leaves the record, so the next step looks again.
    async fn order_promotion(
        &self,
        service: &Arc<str>,
        base: &StoredRecord,
        candidate: Arc<str>,
    ) -> Result<(), StepError> {
        self.ensure_current(service, base)?;
        let record = &base.record;
        let fence = self.held_fence().ok_or(StepError::LeaseLost)?;
        let response = self
            .promoter
            .promote(PromotionOrder {
                service,
                candidate: &candidate,
                holder: self.settings.instance.id.as_str(),
                fence,
            })
            .await;
        log::info!(
            service:% = service, candidate:% = candidate, fence, orders = record.orders, answer:? = response;
            "promotion ordered"
        );
        match response {
            PromotionResponse::Refused | PromotionResponse::Throttled => {
                self.pause_looks(service, refusal_pause(record.orders));
                return Ok(());
            }
            PromotionResponse::Accepted | PromotionResponse::Unknown => {}
        }
        let deadline = clock::now() + PROMOTION_TIMEOUT;
        let Some(promoted) = self.await_promotion(service, record, &candidate, deadline).await else {
            return self
                .after_fruitless_order(service, base, &candidate, response)
                .await;
        };
        let only_passes_log_on = {
            let state = self.state.borrow();
            only_passes_log_on(service, &candidate, &state.snapshot)
        };
        let leadership = if only_passes_log_on {
            log::info!(service:% = service, server:% = candidate; "promoted a server that leaves; it only passes its log on");
            Leadership::Moving { from: candidate }
        } else {
            Leadership::Serving { primary: candidate }
        };
        let next = record.after_promotion(leadership, &promoted);
        self.write_following(service, base, next).await?;
        Ok(())
    }

    /// After an order without effect, uses the candidate if the order was accepted and changed nothing because the candidate
    /// was the primary before. Otherwise pauses before the next look.
    async fn after_fruitless_order(
        &self,
        service: &Arc<str>,
        base: &StoredRecord,
        candidate: &str,
        response: PromotionResponse,
    ) -> Result<(), StepError> {
        if response == PromotionResponse::Accepted {
            let survey = self.survey_all(service).await;
            if let Some(leader) = survey.leader_despite_order(&base.record, candidate) {
                return self.use_leader(service, base, leader.clone()).await;
            }
        }
        self.pause_looks(service, order_pause(base.record.orders));
        Ok(())
    }

    /// Lets the service rest before the next look. No task of it runs meanwhile, so the next one starts from the record that
    /// is known by then.
    pub(super) fn pause_looks(&self, service: &Arc<str>, pause: Duration) {
        let mut state = self.state.borrow_mut();
        state.next_looks.insert(Arc::clone(service), clock::now() + pause);
    }

    /// Waits until the candidate leads a term after that of `record`, and returns its status; `None` at `deadline`.
    async fn await_promotion(
        &self,
        service: &Arc<str>,
        record: &PrimaryRecord,
        candidate: &Arc<str>,
        deadline: Time,
    ) -> Option<ServerStatus> {
        let mut last_status = None;
        let mut unanswered = 0_u32;
        while clock::now() < deadline {
            Timer::after(STEP_POLL_PERIOD).await;
            let status = self.send_command(service, candidate, ServerCommand::Status).await;
            if let Some(status) = status.filter(|s| record.is_promoted(s)) {
                return Some(status);
            }
            unanswered += u32::from(status.is_none());
            last_status = status.or(last_status);
        }
        log::info!(
            service:% = service, candidate:% = candidate, after:% = record.term, last_status:? = last_status, unanswered;
            "promotion has not taken effect"
        );
        None
    }
}

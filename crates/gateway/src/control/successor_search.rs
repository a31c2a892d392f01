//! The search for a successor of a primary: the holder of the failover lease asks the servers of the service, and applies
//! the rules of [`super::successor`] to what they answer.

use super::control_loop::ControlThread;
use super::failover::{FailoverReason, candidates};
use super::leadership_task::STEP_POLL_PERIOD;
use super::server_commands::{COMMAND_TIMEOUT, ServerCommand};
use super::successor::{
    AcknowledgedCommits, CandidateStatus, CandidateSurvey, OldPrimaryStep, old_primary_step,
};
use crate::{Connector, Discovery, PrimaryRecord, Promoter, ServerStatus, clock};
use async_io::Timer;
use futures_lite::FutureExt;
use futures_util::future::join_all;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Time};
use wasabiyard_platform::Platform;

/// Longest wait for a replica to receive the whole log of the old primary.
pub(super) const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);

/// The server that is to be the primary next.
#[derive(Debug)]
pub(super) enum Successor {
    /// It leads already, so that an order to promote it would change nothing.
    Leads(CandidateStatus),
    /// It is to be promoted.
    Candidate(CandidateStatus),
}

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Whether a candidate answers that could take over now. A primary that leaves is in no hurry: with `sync_replicas` it
    /// serves until a server that stays has received its log.
    pub(super) async fn has_successor(
        &self,
        service: &Arc<str>,
        primary: &Arc<str>,
        reason: &FailoverReason,
    ) -> bool {
        let sync_replicas = self.state.borrow().snapshot.sync_replicas(service);
        let must_catch_up = sync_replicas > 0 && *reason == FailoverReason::Leaving;
        let status = if must_catch_up {
            self.send_command(service, primary, ServerCommand::Status).await
        } else {
            None
        };
        let deadline = clock::now() + COMMAND_TIMEOUT;
        let survey = self.survey_candidates(service, primary, deadline).await;
        match status {
            Some(status) => survey.has_successor_at(status.received),
            None => !survey.answered.is_empty(),
        }
    }

    /// Decides about the old primary once no instance uses it. One that does not answer, or no longer leads, needs no more
    /// than a demotion.
    pub(super) async fn old_primary_step(&self, service: &Arc<str>, from: &Arc<str>) -> OldPrimaryStep {
        let sync_replicas = self.state.borrow().snapshot.sync_replicas(service);
        if sync_replicas == 0 {
            return OldPrimaryStep::Demote;
        }
        let deadline = clock::now() + CATCH_UP_TIMEOUT;
        loop {
            let status = self.send_command(service, from, ServerCommand::Status).await;
            let Some(status) = status.filter(|s| s.primary) else {
                return OldPrimaryStep::Demote;
            };
            let survey = self.survey_candidates(service, from, deadline).await;
            let now = clock::now();
            let is_usable = {
                let state = self.state.borrow();
                let listed = state.snapshot.servers.get(from);
                listed.is_some_and(|s| state.snapshot.accepts_new_work(s))
                    && !state.reachability.is_lost(from, &state.snapshot, now)
            };
            let step = old_primary_step(status.received, &survey, sync_replicas, is_usable);
            if step == OldPrimaryStep::Demote || now >= deadline {
                return step;
            }
            Timer::after(STEP_POLL_PERIOD / 2).await;
        }
    }

    /// Finds the server that leads already, or chooses the one to promote. Waits until `deadline` for one that is known to
    /// hold all acknowledged commits. `survey` are the first answers, and `old_point` is the log point of the old primary,
    /// `None` if that does not answer.
    pub(super) async fn await_successor(
        &self,
        service: &Arc<str>,
        record: &PrimaryRecord,
        from: &Arc<str>,
        mut survey: CandidateSurvey,
        old_point: Option<LogPoint>,
        deadline: Time,
    ) -> Option<Successor> {
        let commits = AcknowledgedCommits {
            old_point,
            sync_replicas: self.state.borrow().snapshot.sync_replicas(service),
        };
        let avoided = record.fruitless_candidate().map(|c| &**c);
        loop {
            let is_overdue = clock::now() >= deadline;
            if let Some(leader) = survey.leader(record, is_overdue) {
                return Some(Successor::Leads(leader.clone()));
            }
            if let Some(best) = survey.choose_besides(avoided, commits, is_overdue) {
                log::info!(
                    service:% = service, candidate:% = best.server, claims_to_lead = best.status.primary,
                    term:% = best.status.term, received:? = best.status.received, in_history = best.in_history,
                    complete = survey.holds_all(best, commits), unheard:? = survey.unheard;
                    "successor chosen"
                );
                return Some(Successor::Candidate(best.clone()));
            }
            if is_overdue {
                log::info!(
                    service:% = service, answered = survey.answered.len(), unheard:? = survey.unheard,
                    old_point:? = old_point, sync_replicas = commits.sync_replicas;
                    "no candidate is known to hold all acknowledged commits"
                );
                return None;
            }
            Timer::after(STEP_POLL_PERIOD / 2).await;
            survey.merge(self.survey_candidates(service, from, deadline).await);
        }
    }

    /// The old primary as its own successor, when no candidate answers: used as it is if it still leads, and promoted
    /// otherwise. Where commits have to survive, only one that leads is sure to hold them.
    pub(super) fn old_primary_as_successor(
        &self,
        service: &Arc<str>,
        record: &PrimaryRecord,
        from: &Arc<str>,
        status: Option<ServerStatus>,
    ) -> Option<Successor> {
        let Some(status) = status else {
            log::info!(service:% = service; "no server of the service answers");
            return None;
        };
        let (accepts_new_work, sync_replicas) = {
            let snapshot = &self.state.borrow().snapshot;
            let listed = snapshot.servers.get(from);
            (
                listed.is_some_and(|s| snapshot.accepts_new_work(s)),
                snapshot.sync_replicas(service),
            )
        };
        let old_primary = CandidateStatus {
            server: Arc::clone(from),
            status,
            accepts_new_work,
            in_history: !record.history.excludes(status.received),
        };
        let may_be_promoted = old_primary.in_history && sync_replicas == 0;
        log::info!(
            service:% = service, server:% = from, claims_to_lead = status.primary, term:% = status.term,
            accepts_new_work, may_be_promoted;
            "only the old primary answers"
        );
        match (accepts_new_work, record.is_led_by(&status)) {
            (true, true) => Some(Successor::Leads(old_primary)),
            (true, false) if may_be_promoted => Some(Successor::Candidate(old_primary)),
            _ => None,
        }
    }

    /// Queries all listed servers of a service, those that cannot succeed a primary included.
    pub(super) async fn survey_all(&self, service: &Arc<str>) -> CandidateSurvey {
        let servers = {
            let snapshot = &self.state.borrow().snapshot;
            let servers = snapshot.servers.values().filter(|s| s.service == *service);
            servers
                .map(|s| (Arc::clone(&s.id), snapshot.accepts_new_work(s)))
                .collect()
        };
        self.query_servers(service, servers, clock::now() + COMMAND_TIMEOUT)
            .await
    }

    /// Queries all failover candidates of a service. Those that have not answered at `deadline` are unheard.
    pub(super) async fn survey_candidates(
        &self,
        service: &Arc<str>,
        from: &Arc<str>,
        deadline: Time,
    ) -> CandidateSurvey {
        let servers = {
            let snapshot = &self.state.borrow().snapshot;
            candidates(service, from, snapshot)
                .map(|s| (Arc::clone(&s.id), snapshot.accepts_new_work(s)))
                .collect()
        };
        let mut survey = self.query_servers(service, servers, deadline).await;
        survey.unheard.extend(self.lapsed_servers(service, from));
        survey
    }

    /// Queries servers at the same time, each given with whether it accepts new work.
    async fn query_servers(
        &self,
        service: &Arc<str>,
        servers: Vec<(Arc<str>, bool)>,
        deadline: Time,
    ) -> CandidateSurvey {
        let record = self.state.borrow().snapshot.primaries.get(service).cloned();
        let history = &record.map(|r| r.history).unwrap_or_default();
        let timeout = deadline.saturating_since(clock::now());
        let queries = servers.into_iter().map(|(server, accepts_new_work)| async move {
            let timeout = async {
                Timer::after(timeout).await;
                None
            };
            let query = self.send_command(service, &server, ServerCommand::Status);
            let status = query.or(timeout).await.ok_or_else(|| Arc::clone(&server))?;
            Ok(CandidateStatus {
                server,
                status,
                accepts_new_work,
                in_history: !history.excludes(status.received),
            })
        });
        let mut survey = CandidateSurvey::default();
        for result in join_all(queries).await {
            match result {
                Ok(candidate) => survey.answered.push(candidate),
                Err(server) => survey.unheard.push(server),
            }
        }
        survey
    }

    /// Servers that may hold commits, but cannot be asked, since their entries have lapsed lately.
    fn lapsed_servers(&self, service: &Arc<str>, from: &Arc<str>) -> Vec<Arc<str>> {
        let state = self.state.borrow();
        if state.snapshot.sync_replicas(service) == 0 {
            return Vec::new();
        }
        let lapsed = state.reachability.lapsed(service, clock::now());
        lapsed.filter(|id| *id != from).map(Arc::clone).collect()
    }
}

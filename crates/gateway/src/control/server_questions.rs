//! Questions of the holder of the duty to backend servers.

use super::control_loop::Control;
use super::failover::{CandidateStatus, candidates};
use crate::{ConnectOutcome, Connector, Discovery, Promoter, ServerConnection, ServerStatus, Target};
use async_io::Timer;
use futures_lite::FutureExt;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::LogPoint;
use wasabiyard_platform::Platform;

/// Longest time for one question to a server.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Organisation under which status connections are opened.
const STATUS_ORGANISATION: &str = "wasabiyard";

#[derive(Debug, Clone, Copy)]
pub(super) enum Question {
    Status,
    Depose(ServerStatus),
}

impl<P, D, M, C> Control<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Makes the old primary refuse writes, if it can be reached. Returns its log point.
    pub(super) async fn depose(&self, service: &Arc<str>, from: &Arc<str>) -> Option<LogPoint> {
        let status = self.ask(service, from, Question::Status).await?;
        if !status.primary {
            return Some(status.received);
        }
        let status = self.ask(service, from, Question::Depose(status)).await?;
        log::info!(service:% = service, server:% = from, primary = status.primary; "old primary was told to step down");
        Some(status.received)
    }

    pub(super) async fn statuses(&self, service: &Arc<str>, from: &Arc<str>) -> Vec<CandidateStatus> {
        let ids: Vec<_> = {
            let state = self.state.borrow();
            candidates(service, from, &state.directory)
                .map(|s| Arc::clone(&s.id))
                .collect()
        };
        let mut statuses = Vec::new();
        for server in ids {
            if let Some(status) = self.ask(service, &server, Question::Status).await {
                statuses.push(CandidateStatus { server, status });
            }
        }
        statuses
    }

    pub(super) async fn ask(
        &self,
        service: &Arc<str>,
        server: &Arc<str>,
        question: Question,
    ) -> Option<ServerStatus> {
        let target = {
            let state = self.state.borrow();
            let server = state.directory.servers.get(server)?;
            Target {
                service: Arc::clone(service),
                organisation: Arc::from(STATUS_ORGANISATION),
                server: Arc::clone(&server.id),
                address: server.address,
            }
        };
        let asked = async {
            match self.connector.connect(&target).await {
                Ok(ConnectOutcome::Open(mut conn, _)) => {
                    let answer = match question {
                        Question::Status => conn.status().await,
                        Question::Depose(status) => conn.demote(status.term.next()).await,
                    };
                    answer
                        .inspect_err(|e| log::debug!(server:% = server, error:% = e; "no status"))
                        .ok()
                        .flatten()
                }
                Ok(_) => None,
                Err(e) => {
                    log::debug!(server:% = server, error:% = e; "no status");
                    None
                }
            }
        };
        let expired = async {
            Timer::after(ASK_TIMEOUT).await;
            None
        };
        asked.or(expired).await
    }
}

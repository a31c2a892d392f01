//! Status queries and demotions that the holder of the failover lease sends to backend servers.

use super::control_loop::ControlThread;
use crate::{ConnectOutcome, Connector, Discovery, Promoter, ServerConnection, ServerStatus, Target};
use async_io::Timer;
use futures_lite::FutureExt;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{LogPoint, Term};
use wasabiyard_platform::Platform;

/// Longest time for one command, including the connection setup.
pub(super) const COMMAND_TIMEOUT: Duration = Duration::from_millis(400);
/// Organisation under which status connections are opened.
const STATUS_ORGANISATION: &str = "wasabiyard";

/// A command of the control thread to a backend server. The server responds with its status.
#[derive(Debug, Clone, Copy)]
pub(super) enum ServerCommand {
    Status,
    /// Makes the server a replica, given the status that it reported as primary.
    Demote(ServerStatus),
}

/// What an old primary tells when it is demoted.
#[derive(Debug, Clone, Copy)]
pub(super) struct DemotedPrimary {
    /// Last log point that it has received.
    pub(super) received: LogPoint,
    /// Term in which it was the primary until then; `None` if it was a replica already.
    pub(super) served_term: Option<Term>,
}

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Makes the old primary, which reports `before`, refuse writes. Returns what it tells, `None` if it does not answer.
    pub(super) async fn demote(
        &self,
        service: &Arc<str>,
        from: &Arc<str>,
        before: ServerStatus,
    ) -> Option<DemotedPrimary> {
        if !before.primary {
            return Some(DemotedPrimary {
                received: before.received,
                served_term: None,
            });
        }
        let after = self
            .send_command(service, from, ServerCommand::Demote(before))
            .await?;
        log::info!(
            service:% = service, server:% = from, primary = after.primary;
            "old primary responded to its demotion"
        );
        Some(DemotedPrimary {
            received: after.received,
            served_term: Some(before.term),
        })
    }

    /// Opens a connection to a backend server for one command. Returns the status after the command; `None` when the
    /// server is not listed, refuses the connection, or does not answer in time.
    pub(super) async fn send_command(
        &self,
        service: &Arc<str>,
        server: &Arc<str>,
        command: ServerCommand,
    ) -> Option<ServerStatus> {
        let target = {
            let state = self.state.borrow();
            let server = state.snapshot.servers.get(server)?;
            Target {
                service: Arc::clone(service),
                organisation: Arc::from(STATUS_ORGANISATION),
                server: Arc::clone(&server.id),
                address: server.address,
            }
        };
        let exchange = async {
            match self.connector.connect(&target).await {
                Ok(ConnectOutcome::Open(mut conn, _)) => {
                    let answer = match command {
                        ServerCommand::Status => conn.status().await,
                        ServerCommand::Demote(status) => conn.demote(status.term.next()).await,
                    };
                    answer
                        .inspect_err(|e| log::debug!(server:% = server, error:% = e; "server command failed"))
                        .ok()
                        .flatten()
                }
                Ok(_) => None,
                Err(e) => {
                    log::debug!(server:% = server, error:% = e; "could not connect for a server command");
                    None
                }
            }
        };
        let timeout = async {
            Timer::after(COMMAND_TIMEOUT).await;
            None
        };
        exchange.or(timeout).await
    }
}

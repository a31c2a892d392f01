//! Sessions of callers, from login to disconnect.

use super::{Gateway, TICK_INTERVAL};
use crate::budget::Purpose;
use crate::traffic::Session;
use crate::{
    CallerLink, ConnectionError, Connector, Request, ShedCause, TransactionStatus, clock, event_log,
};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use std::rc::Rc;
use std::time::Duration;

/// Longest time from the connection to a caller's login message.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time that a login waits for the first configuration after the start of the process.
const INITIAL_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1_500);

impl<C> Gateway<C>
where
    C: Connector + 'static,
{
    /// Starts a task that serves a caller until it disconnects.
    pub fn spawn_session<L>(self: &Rc<Self>, link: L)
    where
        L: CallerLink + 'static,
    {
        let gateway = Rc::clone(self);
        let task = async move {
            gateway.metrics.on_session_opened();
            match gateway.run_session(link).await {
                Ok(()) => {}
                Err(ConnectionError::Shed(cause)) => gateway.on_caller_shed(cause),
                Err(e) => log::debug!(error:% = e; "caller connection failed"),
            }
            gateway.metrics.on_session_closed();
        };
        self.executor.spawn(task).detach();
    }

    /// Counts and logs a caller's connection that was refused or closed to keep to the limits of the instance.
    pub fn on_caller_shed(&self, cause: ShedCause) {
        self.metrics.on_caller_shed(cause);
        event_log::log_caller_shed(cause);
    }

    pub(super) async fn run_session<L>(self: &Rc<Self>, mut link: L) -> Result<(), ConnectionError>
    where
        L: CallerLink,
    {
        let login = with_timeout(LOGIN_TIMEOUT, link.login()).await?;
        self.await_configuration().await;
        let mut session = match Session::open(Rc::clone(&self.cx), login) {
            Ok(session) => session,
            Err(answer) => return link.reject(&answer).await,
        };
        if let Some(account) = link.account() {
            session.limit_state(account.claim(Purpose::SessionState));
        }
        link.accept_login().await?;
        let result = self.serve_requests(&mut link, &mut session).await;
        if let Err(ConnectionError::Unreadable(detail)) = result {
            session.on_malformed_message(detail);
        }
        session.close();
        result
    }

    pub(super) async fn serve_requests<L>(
        &self,
        link: &mut L,
        session: &mut Session<C>,
    ) -> Result<(), ConnectionError>
    where
        L: CallerLink,
    {
        loop {
            let req = match self.next_input(link, session).await? {
                SessionInput::Request(req) => req,
                SessionInput::End => return Ok(()),
                SessionInput::Idle => {
                    session.on_idle_timeout();
                    continue;
                }
            };
            let answer = session.handle(&req).await;
            // A caller that does not read must not make the instance hold its statement as well.
            drop(req);
            link.send(&answer).await?;
        }
    }

    /// Waits for the next request or the end of the session. The idle timeout applies only inside an open transaction.
    pub(super) async fn next_input<L>(
        &self,
        link: &mut L,
        session: &Session<C>,
    ) -> Result<SessionInput, ConnectionError>
    where
        L: CallerLink,
    {
        let received = async {
            Ok(match link.receive().await? {
                Some(req) => SessionInput::Request(req),
                None => SessionInput::End,
            })
        };
        match session.transaction_status() {
            TransactionStatus::Idle => received.or(closed(&self.close_idle_sessions.1)).await,
            TransactionStatus::InTransaction => {
                let idle = async {
                    Timer::after(self.transaction_idle_timeout()).await;
                    Ok(SessionInput::Idle)
                };
                received.or(closed(&self.close_all_sessions.1)).or(idle).await
            }
            TransactionStatus::Failed => received.or(closed(&self.close_all_sessions.1)).await,
        }
    }

    pub(super) fn transaction_idle_timeout(&self) -> Duration {
        let snapshot = self.pool.snapshot();
        let configured = snapshot.configuration.as_ref().and_then(|c| c.transaction_idle);
        configured.unwrap_or(self.settings.transaction_idle)
    }

    /// Waits for the first configuration, without which every login right after the start would be refused.
    pub(super) async fn await_configuration(&self) {
        let end = clock::now() + INITIAL_CONFIGURATION_TIMEOUT;
        while self.pool.snapshot().configuration.is_none() && clock::now() < end {
            Timer::after(TICK_INTERVAL).await;
        }
    }
}

pub(super) enum SessionInput {
    Request(Request),
    /// The caller has disconnected, or the instance is stopping.
    End,
    /// The caller was idle for too long inside a transaction.
    Idle,
}

/// Completes when the channel is closed. Nothing is ever sent on it.
async fn closed(channel: &Receiver<()>) -> Result<SessionInput, ConnectionError> {
    let _closed = channel.recv().await;
    Ok(SessionInput::End)
}

async fn with_timeout<T, F>(limit: Duration, f: F) -> Result<T, ConnectionError>
where
    F: Future<Output = Result<T, ConnectionError>>,
{
    let expired = async {
        Timer::after(limit).await;
        Err(ConnectionError::Timeout)
    };
    f.or(expired).await
}

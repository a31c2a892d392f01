//! The sessions of callers.

use super::{Gateway, TICK};
use crate::traffic::Session;
use crate::{CallerLink, ConnectionError, Connector, Phase, Request, clock};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for a caller to say who it is.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait of a caller for the first configuration.
const FIRST_CONFIGURATION_WAIT: Duration = Duration::from_millis(1_500);

impl<C> Gateway<C>
where
    C: Connector + 'static,
{
    /// Serves a caller until it leaves.
    pub fn admit<L>(self: &Rc<Self>, link: L)
    where
        L: CallerLink + 'static,
    {
        let gateway = Rc::clone(self);
        let task = async move {
            gateway.metrics.on_session_opened();
            if let Err(e) = gateway.serve(link).await {
                log::debug!(error:% = e; "a caller's connection ended");
            }
            gateway.metrics.on_session_closed();
        };
        self.executor.spawn(task).detach();
    }

    pub(super) async fn serve<L>(self: &Rc<Self>, mut link: L) -> Result<(), ConnectionError>
    where
        L: CallerLink,
    {
        let login = within(LOGIN_TIMEOUT, link.login()).await?;
        self.await_configuration().await;
        let mut session = match Session::open(Rc::clone(&self.cx), login) {
            Ok(session) => session,
            Err(answer) => return link.reject(&answer).await,
        };
        link.welcome().await?;
        let result = self.exchange(&mut link, &mut session).await;
        session.close();
        result
    }

    pub(super) async fn exchange<L>(
        &self,
        link: &mut L,
        session: &mut Session<C>,
    ) -> Result<(), ConnectionError>
    where
        L: CallerLink,
    {
        loop {
            let req = match self.next_request(link, session).await? {
                Next::Request(req) => req,
                Next::End => return Ok(()),
                Next::Idle => {
                    session.on_idle_timeout();
                    continue;
                }
            };
            let answer = session.handle(&req).await;
            link.send(&answer).await?;
        }
    }

    pub(super) async fn next_request<L>(
        &self,
        link: &mut L,
        session: &Session<C>,
    ) -> Result<Next, ConnectionError>
    where
        L: CallerLink,
    {
        let received = async {
            Ok(match link.receive().await? {
                Some(req) => Next::Request(req),
                None => Next::End,
            })
        };
        match session.phase() {
            Phase::Idle => received.or(ended(&self.end_idle.1)).await,
            Phase::InTransaction => {
                let idle = async {
                    Timer::after(self.transaction_idle()).await;
                    Ok(Next::Idle)
                };
                received.or(ended(&self.end_all.1)).or(idle).await
            }
            Phase::Failed => received.or(ended(&self.end_all.1)).await,
        }
    }

    pub(super) fn transaction_idle(&self) -> Duration {
        let directory = self.pool.directory();
        let configured = directory.configuration.as_ref().and_then(|c| c.transaction_idle);
        configured.unwrap_or(self.settings.transaction_idle)
    }

    pub(super) async fn await_configuration(&self) {
        let end = clock::now() + FIRST_CONFIGURATION_WAIT;
        while self.pool.directory().configuration.is_none() && clock::now() < end {
            Timer::after(TICK).await;
        }
    }
}

pub(super) enum Next {
    Request(Request),
    End,
    Idle,
}

/// Ends when the channel is closed; it carries nothing.
async fn ended(channel: &Receiver<()>) -> Result<Next, ConnectionError> {
    let _closed = channel.recv().await;
    Ok(Next::End)
}

async fn within<T, F>(limit: Duration, f: F) -> Result<T, ConnectionError>
where
    F: Future<Output = Result<T, ConnectionError>>,
{
    let expired = async {
        Timer::after(limit).await;
        Err(ConnectionError::Silent)
    };
    f.or(expired).await
}

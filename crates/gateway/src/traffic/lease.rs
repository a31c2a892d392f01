//! A backend connection that belongs to one statement or transaction.

use super::pool::Pool;
use crate::profile::{MAX_PREPARED, Profile, SessionValues};
use crate::{
    Answer, CallerError, Command, ConnectionError, Connector, Phase, PreparedStatement, ServerConnection,
    clock,
};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;

/// Longest time for a command that occupies no execution slot.
const LIGHT_COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a command gave no answer.
#[derive(Debug)]
pub(super) enum LeaseError {
    /// The connection failed or was silent.
    Connection(ConnectionError),
    /// The server may not be used as the primary any more.
    Revoked,
}

/// A leased connection. Dropping it returns a connection that is outside a transaction and closes any other.
pub(super) struct Lease<C>
where
    C: Connector + 'static,
{
    pub(super) pool: Rc<Pool<C>>,
    pub(super) service: Arc<str>,
    pub(super) server: Arc<str>,
    pub(super) organisation: Arc<str>,
    /// Epoch under which the server is the primary, `None` for a replica.
    pub(super) epoch: Option<u64>,
    pub(super) revoked: Receiver<()>,
    /// `None` while a command runs and after one failed.
    pub(super) conn: Option<C::Connection>,
    pub(super) profile: Profile,
    pub(super) started: Time,
    /// Whether the connection is inside a transaction.
    pub(super) in_transaction: bool,
}

impl<C> Lease<C>
where
    C: Connector + 'static,
{
    /// Runs a command within `timeout`. Unless an answer comes that leaves the connection in order, it is closed.
    pub(super) async fn run(&mut self, cmd: Command<'_>, timeout: Duration) -> Result<Answer, LeaseError> {
        let asked = clock::now();
        let Some(mut conn) = self.conn.take() else {
            return Err(LeaseError::Connection(ConnectionError::Closed));
        };
        let answer = {
            let run = async { conn.run(cmd).await.map_err(LeaseError::Connection) };
            let revoked = async {
                // The channel carries nothing; it is closed when the lease ends.
                let _closed = self.revoked.recv().await;
                Err(LeaseError::Revoked)
            };
            let expired = async {
                Timer::after(timeout).await;
                Err(LeaseError::Connection(ConnectionError::Timeout))
            };
            revoked.or(run).or(expired).await
        };
        let now = clock::now();
        match answer {
            Ok(answer) => {
                self.conn = Some(conn);
                self.in_transaction = answer.phase != Phase::Idle;
                self.pool.on_answer(self, asked, answer.point, now);
                Ok(answer)
            }
            Err(e) => {
                if let LeaseError::Connection(_) = e {
                    self.pool.on_failure(&self.service, &self.server, asked, now);
                }
                Err(e)
            }
        }
    }

    /// Makes the session values of the connection equal to `values`.
    pub(super) async fn adjust(&mut self, values: &SessionValues) -> Result<(), LeaseError> {
        let adjustment = self.profile.adjustment(values);
        if adjustment.reset {
            self.light(Command::Reset).await?;
            self.profile = Profile::default();
        }
        for (name, value) in adjustment.set {
            self.set(&name, &value).await?;
        }
        Ok(())
    }

    /// Sets one session value.
    pub(super) async fn set(&mut self, name: &Rc<str>, value: &Rc<str>) -> Result<(), LeaseError> {
        self.light(Command::Set { name, value }).await?;
        self.profile.values.insert(Rc::clone(name), Rc::clone(value));
        Ok(())
    }

    /// Makes a definition ready to be executed.
    pub(super) async fn prepare(&mut self, definition: &PreparedStatement) -> Result<(), LeaseError> {
        if self.profile.prepared.contains(definition) {
            return Ok(());
        }
        if self.profile.prepared.len() >= MAX_PREPARED {
            self.light(Command::Reset).await?;
            let values = std::mem::take(&mut self.profile).values;
            for (name, value) in values {
                self.set(&name, &value).await?;
            }
        }
        self.light(Command::Prepare { definition }).await?;
        self.profile.prepared.insert(definition.clone());
        Ok(())
    }

    /// Ends a transaction on the connection without keeping it, so that the connection can be used again.
    pub(super) async fn roll_back(mut self) {
        match self.run(Command::Rollback, LIGHT_COMMAND_TIMEOUT).await {
            Ok(answer) if answer.phase == Phase::Idle => {}
            Ok(_) => self.discard(),
            Err(e) => {
                log::debug!(server:% = self.server, error:? = e; "a transaction ended with its connection");
            }
        }
    }

    /// Closes the connection.
    pub(super) fn discard(&mut self) {
        self.conn = None;
    }

    /// Whether a statement sent now would reach the primary that is in force.
    pub(super) fn leads(&self, now: Time) -> bool {
        self.pool.still_leads(self, now)
    }

    /// Whether answers may still be relied on: the lease was not revoked, and a primary is proved at `now`.
    pub(super) fn in_force(&self, now: Time) -> bool {
        !self.revoked.is_closed() && (self.epoch.is_none() || self.pool.directory().view_lease_holds(now))
    }

    /// Whether the connection still seems usable.
    pub(super) fn is_quiet(&self) -> bool {
        self.conn.as_ref().is_some_and(ServerConnection::is_quiet)
    }

    async fn light(&mut self, cmd: Command<'_>) -> Result<(), LeaseError> {
        let answer = self.run(cmd, LIGHT_COMMAND_TIMEOUT).await?;
        match answer.failure() {
            None | Some(CallerError::UnknownPrepared) => Ok(()),
            Some(e) => {
                log::debug!(server:% = self.server, error = e.name(); "a backend server refused a session command");
                self.discard();
                Err(LeaseError::Connection(ConnectionError::Unreadable("refused")))
            }
        }
    }
}

impl<C> Drop for Lease<C>
where
    C: Connector + 'static,
{
    fn drop(&mut self) {
        let pool = Rc::clone(&self.pool);
        pool.release(self, clock::now());
    }
}

impl<C> fmt::Debug for Lease<C>
where
    C: Connector + 'static,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lease")
            .field("server", &self.server)
            .field("epoch", &self.epoch)
            .finish_non_exhaustive()
    }
}

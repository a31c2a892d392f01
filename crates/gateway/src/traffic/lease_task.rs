//! The life of a lease at the connection holder: its connection, its commands and their answers.

use super::connection_lease::{ConnectionLease, LeaseError, SESSION_COMMAND_TIMEOUT};
use super::pool::Pool;
use super::run_autocommit::read_timeout;
use crate::sharing::{
    Failure, GatePass, LeaseOpening, LeaseServer, LeaseSpec, MAX_PAYLOAD_BYTES, QueueReport, Refusal,
    RelayedCommand, Reply, ReplySink, ServedLease, TimedCommand,
};
use crate::{Answer, CallerError, Command, Connector, TransactionStatus, clock};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;

/// Longest time for which a reserved connection and slot wait for their statement.
const RESERVATION_TIME: Duration = Duration::from_millis(150);
/// Idle time inside a transaction after which its requester counts as lost, beyond the time after which a requester
/// ends the transaction itself.
const LOST_REQUESTER_MARGIN: Duration = Duration::from_secs(1);
/// Idle time after which requesters end a transaction if the configuration sets none.
const DEFAULT_TRANSACTION_IDLE: Duration = Duration::from_secs(3);

/// How the lease ends before its connection is outside a transaction again.
enum End {
    /// The requester has ended it, or is gone. Nobody waits for a reply.
    Closed,
    /// The last reply.
    Reply(Reply),
}

impl From<Refusal> for End {
    fn from(refusal: Refusal) -> Self {
        Self::Reply(Reply::Refused(refusal))
    }
}

impl From<Failure> for End {
    fn from(failure: Failure) -> Self {
        Self::Reply(Reply::Failed(failure))
    }
}

struct LeaseTask<C>
where
    C: Connector + 'static,
{
    pool: Rc<Pool<C>>,
    spec: LeaseSpec,
    commands: Receiver<TimedCommand>,
    replies: ReplySink,
    /// Time that the present command spent in the queue.
    queued: Duration,
}

impl<C> LeaseServer for Pool<C>
where
    C: Connector + 'static,
{
    fn serve_lease(self: Rc<Self>, opening: LeaseOpening) {
        let is_local = matches!(opening.replies, ReplySink::Local(_));
        let others = self.sharing.get().filter(|_| !is_local);
        if others.is_some_and(|s| s.is_leaving()) {
            opening.replies.send(Reply::Refused(Refusal::Leaving));
            return;
        }
        let served = others.map(ServedLease::new);
        let executor = Rc::clone(&self.executor);
        let mut task = LeaseTask {
            pool: self,
            spec: opening.spec,
            commands: opening.commands,
            replies: opening.replies,
            queued: Duration::ZERO,
        };
        let (command, deadline) = (opening.command, opening.deadline);
        let run = async move {
            match task.serve(command, deadline).await {
                Ok(()) | Err(End::Closed) => {}
                Err(End::Reply(reply)) => task.replies.send(reply),
            }
            drop(served);
        };
        executor.spawn(run).detach();
    }

    fn leave_gate(self: Rc<Self>, service: &Arc<str>, server: &Arc<str>, started: Time) {
        let now = clock::now();
        let took = now.saturating_since(started);
        self.with_server(service, server, |s| s.gate.finish(took, now));
        self.dispatch_gate(service, server, now);
    }
}

impl<C> LeaseTask<C>
where
    C: Connector + 'static,
{
    async fn serve(&mut self, command: Option<RelayedCommand>, deadline: Time) -> Result<(), End> {
        let arrived = clock::now();
        let acquired = self
            .until_closed(self.pool.acquire_held(&self.spec, deadline))
            .await?;
        let (mut lease, pass) = acquired?;
        self.queued = clock::now().saturating_since(arrived);
        let answer = if let Some(command) = command {
            // The first statement of a lease that was not reserved is a read.
            self.execute(&mut lease, &command, deadline, true).await?
        } else {
            self.replies.send(Reply::Granted);
            let next = self.next_command(&lease, RESERVATION_TIME).await;
            // Nothing was sent to the server yet.
            let next = next.map_err(|end| match end {
                End::Reply(Reply::Failed(Failure::Revoked)) => Refusal::NotPrimary.into(),
                End::Reply(_) => Refusal::ReservationExpired.into(),
                End::Closed => End::Closed,
            })?;
            self.execute(&mut lease, &next.command, next.deadline, false)
                .await?
        };
        drop(pass);
        self.answer(lease, answer).await
    }

    /// Sends the answer to the first command, and serves the commands of the transaction that it may have started. The
    /// connection is given back before the answer is sent.
    async fn answer(&mut self, mut lease: ConnectionLease<C>, mut answer: Answer) -> Result<(), End> {
        let idle_limit = self.transaction_idle() + LOST_REQUESTER_MARGIN;
        loop {
            let recognises_repeats = lease.recognises_repeats();
            if !self.fits(&answer) {
                return Err(Failure::NoMemory.into());
            }
            if answer.transaction_status == TransactionStatus::Idle {
                drop(lease);
                self.send_answer(answer, recognises_repeats);
                return Ok(());
            }
            self.send_answer(answer, recognises_repeats);
            let next = self.next_command(&lease, idle_limit).await?;
            answer = self.run_in_transaction(&mut lease, &next).await?;
        }
    }

    async fn run_in_transaction(
        &mut self,
        lease: &mut ConnectionLease<C>,
        next: &TimedCommand,
    ) -> Result<Answer, End> {
        self.queued = Duration::ZERO;
        if !next.command.takes_slot() {
            return self.execute(lease, &next.command, next.deadline, false).await;
        }
        let arrived = clock::now();
        let (service, server) = (&self.spec.service, &self.spec.server);
        let entering = self.pool.enter_gate(service, server, None, next.deadline);
        let pass: GatePass = match self.until_closed(entering).await? {
            Ok(pass) => pass,
            Err(Refusal::Overloaded { retry_after_ms }) => {
                let detail = format!("overloaded; retry after {retry_after_ms} ms");
                // The statement has not run, so the transaction is still open.
                return Ok(Answer::error(
                    CallerError::Busy,
                    detail,
                    TransactionStatus::InTransaction,
                ));
            }
            Err(_) => return Err(Failure::Lost.into()),
        };
        self.queued = clock::now().saturating_since(arrived);
        let answer = self.execute(lease, &next.command, next.deadline, false).await;
        drop(pass);
        answer
    }

    /// Sends a command to the server, unless its time is over or the server must no longer be used. `is_read` is a
    /// statement outside a transaction that may be repeated elsewhere.
    async fn execute(
        &self,
        lease: &mut ConnectionLease<C>,
        command: &RelayedCommand,
        deadline: Time,
        is_read: bool,
    ) -> Result<Answer, End> {
        let definition = command.definition();
        if let Some(definition) = &definition {
            let prepared = self.until_closed(lease.prepare(definition)).await?;
            if let Err(e) = prepared {
                // Outside a transaction nothing of the statement was sent.
                return Err(if lease.in_transaction {
                    failure(&e)
                } else {
                    Refusal::Overloaded { retry_after_ms: 20 }.into()
                });
            }
        }
        let now = clock::now();
        if now >= deadline {
            return Err(Refusal::Overloaded { retry_after_ms: 20 }.into());
        }
        if !lease.is_valid(now)
            || (!lease.in_transaction && self.spec.epoch.is_some() && !lease.is_of_current_primary(now))
        {
            return Err(Refusal::NotPrimary.into());
        }
        let remaining = deadline.saturating_since(now);
        let answer = if let RelayedCommand::Set { name, value } = command {
            let set = self.until_closed(lease.set(name, value)).await?;
            set.map(|()| Answer::local(TransactionStatus::InTransaction))
        } else {
            let timeout = match command {
                RelayedCommand::Rollback => SESSION_COMMAND_TIMEOUT,
                RelayedCommand::Begin { .. } => read_timeout(self.pool.latency(lease), remaining),
                _ if is_read => read_timeout(self.pool.latency(lease), remaining),
                _ => remaining,
            };
            let cmd: Command<'_> = command.command(definition.as_ref());
            self.until_closed(lease.run(cmd, timeout)).await?
        };
        let answer = answer.map_err(|e| failure(&e))?;
        match answer.failure() {
            Some(CallerError::Busy) => self.pool.on_held_overloaded(lease, clock::now()),
            Some(CallerError::UnknownPrepared) => lease.connection_state.prepared.clear(),
            _ => {}
        }
        Ok(answer)
    }

    /// Whether an answer fits into a message. Anything larger would end the link, with the leases of all others.
    fn fits(&self, answer: &Answer) -> bool {
        let rows: usize = answer.rows.iter().map(|row| row.len()).sum();
        matches!(self.replies, ReplySink::Local(_)) || rows <= MAX_PAYLOAD_BYTES
    }

    fn send_answer(&self, answer: Answer, recognises_repeats: bool) {
        let queue = QueueReport {
            queued_micros: self.queued.as_micros() as u64,
            expected_wait_micros: self.pool.held_wait(&self.spec, clock::now()).as_micros() as u64,
        };
        self.replies.send(Reply::Answered {
            answer: answer.into(),
            recognises_repeats,
            queue,
        });
    }

    /// Waits for the next command. The lease ends when its server must no longer be used, or no command comes in time.
    async fn next_command(&self, lease: &ConnectionLease<C>, limit: Duration) -> Result<TimedCommand, End> {
        let command = async { self.commands.recv().await.map_err(|_closed| End::Closed) };
        let revoked = async {
            // The channel carries no messages; it is closed when the lease is revoked.
            let _closed = lease.revoked.recv().await;
            Err(Failure::Revoked.into())
        };
        let expired = async {
            Timer::after(limit).await;
            Err(Failure::Lost.into())
        };
        command.or(revoked).or(expired).await
    }

    /// Runs `work` unless the requester ends the lease meanwhile. A second command before the reply to the first one
    /// breaks the protocol and ends the lease, too.
    async fn until_closed<T, F>(&self, work: F) -> Result<T, End>
    where
        F: Future<Output = T>,
    {
        let closed = async {
            let _unexpected = self.commands.recv().await;
            Err(End::Closed)
        };
        let work = async { Ok(work.await) };
        work.or(closed).await
    }

    fn transaction_idle(&self) -> Duration {
        let snapshot = self.pool.snapshot();
        let configured = snapshot.configuration.as_ref().and_then(|c| c.transaction_idle);
        configured.unwrap_or(DEFAULT_TRANSACTION_IDLE)
    }
}

/// The reply to a command that has no answer.
fn failure(e: &LeaseError) -> End {
    match e {
        LeaseError::Connection(e) => Failure::from_error(e).into(),
        LeaseError::Revoked => Failure::Revoked.into(),
        LeaseError::NotSent(_) => Failure::Lost.into(),
    }
}

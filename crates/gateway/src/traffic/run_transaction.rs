//! Statements of transactions, from their start to their end.

use super::refusal::{Refusal, log_unanswered, lost_detail};
use super::requirement::Need;
use super::session::{ANSWER_MARGIN, RETRY_PAUSE, Session};
use super::transaction::Transaction;
use super::work::Work;
use crate::{Answer, CallerError, Command, Connector, Phase, Request, Statement, clock};
use async_io::Timer;
use std::sync::Arc;
use wasabiyard_model::Time;

impl<C> Session<C>
where
    C: Connector + 'static,
{
    pub(super) async fn begin(&mut self, read_only: bool, now: Time) -> Answer {
        if self.phase() != Phase::Idle {
            return self.fail(CallerError::Malformed, "a transaction is open");
        }
        let route = match self.route() {
            Ok(route) => route,
            Err((error, detail)) => return Answer::error(error, detail, Phase::Idle),
        };
        if let Err((error, detail)) = self.take_rate(&route).await {
            return Answer::error(error, detail, Phase::Idle);
        }
        self.transaction = Some(Transaction::Pending {
            read_only,
            began: now,
            route,
        });
        Answer::local(Phase::InTransaction)
    }

    pub(super) fn roll_back(&mut self) -> Answer {
        if self.phase() == Phase::Idle {
            return Answer::error(CallerError::Malformed, "no transaction is open", Phase::Idle);
        }
        self.drop_transaction();
        Answer::local(Phase::Idle)
    }

    /// In a failed transaction only its end is accepted.
    pub(super) fn end_failed(&mut self, statement: &Statement) -> Answer {
        match statement {
            Statement::Rollback => {
                self.transaction = None;
                Answer::local(Phase::Idle)
            }
            Statement::Commit => {
                self.transaction = None;
                Answer::error(
                    CallerError::Aborted,
                    "the transaction had failed and is rolled back",
                    Phase::Idle,
                )
            }
            _ => Answer::error(
                CallerError::Malformed,
                "the transaction has failed; end it",
                Phase::Failed,
            ),
        }
    }

    /// Ends the transaction at the backend server without waiting for it.
    pub(super) fn drop_transaction(&mut self) {
        if let Some(Transaction::Open { lease, .. }) = self.transaction.take() {
            self.cx.executor.spawn(lease.roll_back()).detach();
        }
    }

    pub(super) async fn run_in_transaction(&mut self, req: &Request, work: Work) -> Answer {
        if let Err((error, detail)) = self.open_transaction().await {
            return self.fail(error, detail);
        }
        let Some(Transaction::Open { lease, wrote, route }) = &mut self.transaction else {
            return self.fail(CallerError::Aborted, "the transaction is gone");
        };
        let deadline = clock::now() + route.timeout.saturating_sub(ANSWER_MARGIN);
        if let Some((definition, _)) = &work.execute
            && let Err(e) = lease.prepare(definition).await
        {
            return self.fail(CallerError::Aborted, lost_detail(&e));
        }
        loop {
            let now = clock::now();
            if !lease.in_force(now) {
                return self.fail(CallerError::Aborted, "the primary is being replaced");
            }
            let left = deadline.saturating_since(now);
            let answer = match lease.run(work.command(req, None), left).await {
                Ok(answer) => answer,
                // The transaction ends with its connection, and its commit was never sent.
                Err(e) => {
                    log_unanswered(req, lease, &e);
                    return self.fail(CallerError::Aborted, lost_detail(&e));
                }
            };
            *wrote |= work.writes;
            match answer.failure() {
                Some(CallerError::Busy)
                    if answer.phase == Phase::InTransaction && clock::now() + RETRY_PAUSE < deadline =>
                {
                    Timer::after(RETRY_PAUSE).await;
                }
                _ => return self.after_statement(answer),
            }
        }
    }

    /// Releases the connection of a transaction that the backend server has failed.
    pub(super) fn after_statement(&mut self, mut answer: Answer) -> Answer {
        if answer.phase != Phase::InTransaction {
            self.drop_transaction();
            self.transaction = Some(Transaction::Failed);
            answer.phase = Phase::Failed;
        }
        answer
    }

    /// Starts a pending transaction at a backend server.
    pub(super) async fn open_transaction(&mut self) -> Result<(), Refusal> {
        let Some(Transaction::Pending {
            read_only,
            began,
            route,
        }) = &self.transaction
        else {
            return Ok(());
        };
        let (read_only, began, route) = (*read_only, *began, Arc::clone(route));
        let deadline = clock::now() + route.timeout.saturating_sub(ANSWER_MARGIN);
        let mut only_primary = !read_only;
        loop {
            let need = if only_primary {
                Need::Primary
            } else {
                self.need(&route, began)
            };
            let (mut lease, at_least) = self.place(&route, need, None, deadline).await?;
            let timeout = self.read_wait(&lease, deadline.saturating_since(clock::now()));
            let cmd = Command::Begin { read_only, at_least };
            match lease.run(cmd, timeout).await {
                Ok(answer) => match answer.failure() {
                    None => {
                        self.transaction = Some(Transaction::Open {
                            lease,
                            wrote: false,
                            route,
                        });
                        return Ok(());
                    }
                    Some(error) => {
                        let now = clock::now();
                        if let (CallerError::Lagging, Some(point)) = (error, at_least) {
                            self.cx.pool.on_replica_point(&lease, point, false, now);
                            only_primary = self.cx.pool.primary_is_usable(&route.service, now);
                        }
                        if now + RETRY_PAUSE >= deadline {
                            return Err((CallerError::Aborted, "the transaction could not start".into()));
                        }
                        if answer.phase != Phase::Idle {
                            lease.discard();
                        }
                    }
                },
                Err(e) if clock::now() + RETRY_PAUSE >= deadline => {
                    return Err((CallerError::Aborted, lost_detail(&e).into()));
                }
                Err(_) => {}
            }
            drop(lease);
            Timer::after(RETRY_PAUSE).await;
        }
    }

    pub(super) async fn commit(&mut self, req: &Request) -> Answer {
        if self.phase() == Phase::Idle {
            return Answer::error(CallerError::Malformed, "no transaction is open", Phase::Idle);
        }
        if let Err((_, detail)) = self.open_transaction().await {
            self.transaction = None;
            return Answer::error(CallerError::Aborted, detail, Phase::Idle);
        }
        let Some(Transaction::Open {
            mut lease,
            wrote,
            route,
        }) = self.transaction.take()
        else {
            return Answer::error(CallerError::Aborted, "the transaction is gone", Phase::Idle);
        };
        if !lease.in_force(clock::now()) {
            return Answer::error(CallerError::Aborted, "the primary is being replaced", Phase::Idle);
        }
        let cmd = Command::Forward {
            id: &req.id,
            text: &req.text,
            at_least: None,
        };
        let timeout = route.timeout.saturating_sub(ANSWER_MARGIN);
        match lease.run(cmd, timeout).await {
            Ok(answer) if answer.failure().is_none() => {
                if wrote && !lease.in_force(clock::now()) {
                    return Answer::error(
                        CallerError::InDoubt,
                        "the primary was replaced meanwhile",
                        Phase::Idle,
                    );
                }
                if wrote {
                    self.written = answer.point.max(self.written);
                }
                answer
            }
            Ok(mut answer) => {
                if answer.phase != Phase::Idle {
                    self.cx.executor.spawn(lease.roll_back()).detach();
                }
                answer.phase = Phase::Idle;
                answer
            }
            Err(e) => {
                log_unanswered(req, &lease, &e);
                Answer::error(CallerError::InDoubt, lost_detail(&e), Phase::Idle)
            }
        }
    }
}

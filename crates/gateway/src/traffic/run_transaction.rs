//! Transactions: start, statements, commit and rollback.

use super::backend_statement::BackendStatement;
use super::connection_lease::LeaseError;
use super::connection_wait::connection_wait_deadline;
use super::refusal::{Refusal, busy_error, lease_error_detail, log_unanswered, not_sent_refusal};
use super::requirement::ServerRequirement;
use super::run_autocommit::MAX_REFUSED_BACKOFF;
use super::session::{ANSWER_MARGIN, RETRY_DELAY, Session};
use super::transaction::Transaction;
use crate::sharing::NotSent;
use crate::{Answer, CallerError, Command, Connector, Request, Statement, TransactionStatus, clock};
use async_io::Timer;
use std::sync::Arc;
use wasabiyard_model::Time;

impl<C> Session<C>
where
    C: Connector + 'static,
{
    /// Starts a transaction. It is sent to a backend server only with its first statement or its commit.
    pub(super) async fn begin(&mut self, read_only: bool, now: Time) -> Answer {
        if self.transaction_status() != TransactionStatus::Idle {
            return self.fail(CallerError::Malformed, "a transaction is open");
        }
        let route = match self.route(now) {
            Ok(route) => route,
            Err((error, detail)) => return Answer::error(error, detail, TransactionStatus::Idle),
        };
        if let Err((error, detail)) = self.acquire_rate_token(&route).await {
            return Answer::error(error, detail, TransactionStatus::Idle);
        }
        self.transaction = Some(Transaction::Pending {
            read_only,
            started_at: now,
            route,
        });
        Answer::local(TransactionStatus::InTransaction)
    }

    pub(super) fn roll_back(&mut self) -> Answer {
        if self.transaction_status() == TransactionStatus::Idle {
            return Answer::error(
                CallerError::Malformed,
                "no transaction is open",
                TransactionStatus::Idle,
            );
        }
        self.drop_transaction();
        Answer::local(TransactionStatus::Idle)
    }

    /// Handles a statement in a failed transaction. Only commit and rollback are accepted, and both roll back.
    pub(super) fn end_failed_transaction(&mut self, statement: &Statement) -> Answer {
        match statement {
            Statement::Rollback => {
                self.transaction = None;
                Answer::local(TransactionStatus::Idle)
            }
            Statement::Commit => {
                self.transaction = None;
                Answer::error(
                    CallerError::Aborted,
                    "the transaction had failed and is rolled back",
                    TransactionStatus::Idle,
                )
            }
            _ => Answer::error(
                CallerError::Malformed,
                "the transaction has failed; end it",
                TransactionStatus::Failed,
            ),
        }
    }

    /// Drops the transaction. Its rollback at the backend server runs in the background.
    pub(super) fn drop_transaction(&mut self) {
        if let Some(Transaction::Open { lease, .. }) = self.transaction.take() {
            self.cx.executor.spawn(lease.roll_back()).detach();
        }
    }

    pub(super) async fn run_in_transaction(&mut self, req: &Request, stmt: BackendStatement) -> Answer {
        if let Err((error, detail)) = self.open_transaction().await {
            return self.fail(error, detail);
        }
        let Some(Transaction::Open {
            lease,
            wrote,
            operation,
            has_run,
            route,
        }) = &mut self.transaction
        else {
            return self.fail(CallerError::Aborted, "the transaction is gone");
        };
        let deadline = clock::now() + route.timeout.saturating_sub(ANSWER_MARGIN);
        if let Some((definition, _)) = &stmt.prepared_call
            && let Err(e) = lease.prepare(definition).await
        {
            return self.fail(CallerError::Aborted, lease_error_detail(&e));
        }
        // A transaction occupies its connection while it waits, so it gives up as early as one that waits for a connection.
        let retry_until = connection_wait_deadline(deadline, clock::now());
        let mut backoff = RETRY_DELAY;
        loop {
            let now = clock::now();
            if !lease.is_valid(now) {
                return self.fail(CallerError::Aborted, "the primary is being replaced");
            }
            let remaining = deadline.saturating_since(now);
            let recognises_repeats = lease.recognises_repeats();
            let cmd = stmt.command(req, None);
            let mut answer = match lease.run_operation(cmd, remaining, operation).await {
                Ok(answer) => answer,
                // The server rolls the transaction back when its connection closes. No commit was sent, so the outcome
                // is certain.
                Err(e) => {
                    log_unanswered(req, lease, &e);
                    return self.fail(CallerError::Aborted, lease_error_detail(&e));
                }
            };
            *wrote |= stmt.writes;
            if answer.failure().is_some() && !recognises_repeats {
                // The error may repeat an earlier one, so the statement may have run.
                answer.transaction_status = TransactionStatus::Failed;
            }
            match answer.failure() {
                Some(CallerError::Busy) if answer.transaction_status == TransactionStatus::InTransaction => {
                    let now = clock::now();
                    let by_rank = self.cx.pool.wait_in_transaction(lease, *has_run, now);
                    let delay = by_rank.as_ref().map_or(backoff, |(delay, _)| *delay);
                    if now + delay >= retry_until {
                        if by_rank.is_some() {
                            let (error, detail) = busy_error("overloaded", delay);
                            answer = Answer::error(error, detail, answer.transaction_status);
                        }
                        return self.finish_statement(answer);
                    }
                    Timer::after(delay).await;
                    drop(by_rank);
                    backoff = (backoff * 2).min(MAX_REFUSED_BACKOFF);
                }
                failure => {
                    *has_run |= failure.is_none();
                    return self.finish_statement(answer);
                }
            }
        }
    }

    /// Releases the connection when the backend server's answer says that the transaction is no longer open there. The
    /// caller then has to end it.
    pub(super) fn finish_statement(&mut self, mut answer: Answer) -> Answer {
        if answer.transaction_status != TransactionStatus::InTransaction {
            self.drop_transaction();
            self.transaction = Some(Transaction::Failed);
            answer.transaction_status = TransactionStatus::Failed;
        }
        answer
    }

    /// Starts a pending transaction at a backend server. Does nothing when the transaction is not pending.
    pub(super) async fn open_transaction(&mut self) -> Result<(), Refusal> {
        let Some(Transaction::Pending {
            read_only,
            started_at,
            route,
        }) = &self.transaction
        else {
            return Ok(());
        };
        let (read_only, started_at, route) = (*read_only, *started_at, Arc::clone(route));
        let deadline = clock::now() + route.timeout.saturating_sub(ANSWER_MARGIN);
        let mut primary_only = !read_only;
        self.cx.pool.on_first_attempt(&route.service);
        loop {
            let requirement = if primary_only {
                ServerRequirement::Primary
            } else {
                self.read_requirement(&route, started_at).await
            };
            let (mut lease, at_least) = self
                .lease_ready_connection(&route, requirement, None, deadline)
                .await?;
            let timeout = self.read_timeout(&lease, deadline.saturating_since(clock::now()));
            let cmd = Command::Begin { read_only, at_least };
            match lease.run(cmd, timeout).await {
                Ok(answer) => match answer.failure() {
                    None => {
                        let operation = Box::new(self.new_operation());
                        self.transaction = Some(Transaction::Open {
                            lease,
                            wrote: false,
                            operation,
                            has_run: false,
                            route,
                        });
                        return Ok(());
                    }
                    Some(error) => {
                        let now = clock::now();
                        if let (CallerError::Lagging, Some(point)) = (error, at_least) {
                            self.cx.pool.on_replica_point(&lease, point, false, now);
                            primary_only = self.cx.pool.lagging_read_needs_primary(&route.service, now);
                        }
                        if error == CallerError::Busy {
                            self.cx.pool.on_overloaded(&lease, now);
                        }
                        let may_retry = error == CallerError::Lagging
                            || self.cx.pool.may_retry(&route.service, route.class);
                        if !may_retry || now + RETRY_DELAY >= deadline {
                            return Err((CallerError::Aborted, "the transaction could not start".into()));
                        }
                        if answer.transaction_status != TransactionStatus::Idle {
                            lease.discard();
                        }
                    }
                },
                Err(LeaseError::NotSent(not_sent @ NotSent::Overloaded { .. })) => {
                    return Err(not_sent_refusal(not_sent));
                }
                Err(LeaseError::NotSent(not_sent)) => {
                    if clock::now() + RETRY_DELAY >= deadline {
                        return Err(not_sent_refusal(not_sent));
                    }
                }
                Err(e) if clock::now() + RETRY_DELAY >= deadline => {
                    return Err((CallerError::Aborted, lease_error_detail(&e).into()));
                }
                Err(_) => {}
            }
            drop(lease);
            Timer::after(RETRY_DELAY).await;
        }
    }

    /// Commits the transaction. When no answer arrives after the commit was sent, its outcome is unknown, which the
    /// caller gets as [`CallerError::InDoubt`].
    pub(super) async fn commit(&mut self, req: &Request) -> Answer {
        if self.transaction_status() == TransactionStatus::Idle {
            return Answer::error(
                CallerError::Malformed,
                "no transaction is open",
                TransactionStatus::Idle,
            );
        }
        if let Err((_, detail)) = self.open_transaction().await {
            self.transaction = None;
            return Answer::error(CallerError::Aborted, detail, TransactionStatus::Idle);
        }
        let Some(Transaction::Open {
            mut lease,
            wrote,
            route,
            ..
        }) = self.transaction.take()
        else {
            return Answer::error(
                CallerError::Aborted,
                "the transaction is gone",
                TransactionStatus::Idle,
            );
        };
        if !lease.is_valid(clock::now()) {
            return Answer::error(
                CallerError::Aborted,
                "the primary is being replaced",
                TransactionStatus::Idle,
            );
        }
        if let Err(e) = lease.check_idle().await {
            return Answer::error(
                CallerError::Aborted,
                lease_error_detail(&e),
                TransactionStatus::Idle,
            );
        }
        let cmd = Command::Commit {
            id: &req.id,
            text: &req.text,
        };
        let timeout = route.timeout.saturating_sub(ANSWER_MARGIN);
        let recognises_repeats = lease.recognises_repeats();
        match lease.run(cmd, timeout).await {
            Ok(answer) if answer.failure().is_none() => {
                if wrote && !lease.is_valid(clock::now()) {
                    return Answer::error(
                        CallerError::InDoubt,
                        "the primary was replaced meanwhile",
                        TransactionStatus::Idle,
                    );
                }
                if wrote {
                    self.written_point = answer.point.max(self.written_point);
                }
                answer
            }
            // The error may repeat that of an earlier statement, while the commit is carried out.
            Ok(_) if wrote && !recognises_repeats => Answer::error(
                CallerError::InDoubt,
                "the error may belong to an earlier statement",
                TransactionStatus::Idle,
            ),
            Ok(mut answer) => {
                if answer.transaction_status != TransactionStatus::Idle {
                    self.cx.executor.spawn(lease.roll_back()).detach();
                }
                answer.transaction_status = TransactionStatus::Idle;
                answer
            }
            Err(e @ LeaseError::NotSent(_)) => Answer::error(
                CallerError::Aborted,
                lease_error_detail(&e),
                TransactionStatus::Idle,
            ),
            Err(e) => {
                log_unanswered(req, &lease, &e);
                Answer::error(
                    CallerError::InDoubt,
                    lease_error_detail(&e),
                    TransactionStatus::Idle,
                )
            }
        }
    }
}

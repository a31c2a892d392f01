//! A backend connection that passes on only answers to its own commands.

use super::answer_order::{AnswerMatch, AnswerOrder};
use crate::{Answer, Command, ConnectionError, IdleState, ServerConnection};

/// Most answers that are skipped for one command. While answers arrive without a pause, the timer of the command's
/// timeout does not get to run, nor does any other task of the thread.
const MAX_SKIPPED_ANSWERS: u32 = 64;

/// A backend connection that skips repeated answers and fails at an answer that it cannot attribute.
#[derive(Debug)]
pub(super) struct OrderedConnection<C> {
    conn: C,
    order: AnswerOrder,
    /// Answers that were skipped and not reported yet.
    strays: u32,
}

impl<C> OrderedConnection<C>
where
    C: ServerConnection,
{
    /// Wraps a connection that has answered nothing but its login.
    pub(super) fn new(conn: C) -> Self {
        Self {
            conn,
            order: AnswerOrder::default(),
            strays: 0,
        }
    }

    /// Runs a command, given whether the connection is in a transaction.
    pub(super) async fn run(
        &mut self,
        cmd: Command<'_>,
        in_transaction: bool,
    ) -> Result<Answer, ConnectionError> {
        self.check_idle().await?;
        let mut received = Some(self.conn.run(cmd).await?);
        loop {
            if let Some(answer) = received {
                match self.order.on_answer(&cmd, in_transaction, &answer) {
                    AnswerMatch::Own => return Ok(answer),
                    AnswerMatch::Repeated => {}
                    AnswerMatch::Unknown => return Err(ConnectionError::OutOfOrder),
                }
            }
            self.on_skipped()?;
            received = self.conn.receive().await?;
        }
    }

    /// Checks that the connection is open, and skips repeated answers that arrived while none was awaited.
    pub(super) async fn check_idle(&mut self) -> Result<(), ConnectionError> {
        loop {
            match self.conn.idle_state() {
                IdleState::Quiet => return Ok(()),
                IdleState::Closed => return Err(ConnectionError::Closed),
                IdleState::Unread => {}
            }
            let received = self.conn.receive().await?;
            if received.is_some_and(|answer| !self.order.is_repeated(&answer)) {
                return Err(ConnectionError::OutOfOrder);
            }
            self.on_skipped()?;
        }
    }

    /// Counts a skipped answer. Fails when too many were skipped for one command.
    const fn on_skipped(&mut self) -> Result<(), ConnectionError> {
        self.strays += 1;
        if self.strays > MAX_SKIPPED_ANSWERS {
            return Err(ConnectionError::OutOfOrder);
        }
        Ok(())
    }

    /// Number of answers skipped since the last call.
    pub(super) const fn take_strays(&mut self) -> u32 {
        std::mem::replace(&mut self.strays, 0)
    }

    /// Whether the next answer can be told from a repeated one, so that another statement may use the connection.
    pub(super) const fn recognises_repeats(&self) -> bool {
        self.order.recognises_repeats()
    }
}

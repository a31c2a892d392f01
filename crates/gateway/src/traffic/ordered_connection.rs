//! A backend connection with the order of its answers.

use super::answer_order::{AnswerMatch, AnswerOrder};
use crate::{Answer, Command, ConnectionError, IdleState, ServerConnection};

/// A backend connection that counts the answers that do not belong to its commands.
#[derive(Debug)]
pub(super) struct OrderedConnection<C> {
    conn: C,
    order: AnswerOrder,
    /// Answers that did not belong to a command, and were not reported yet.
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
        let answer = self.conn.run(cmd).await?;
        if self.order.on_answer(&cmd, in_transaction, &answer) != AnswerMatch::Own {
            self.strays += 1;
        }
        Ok(answer)
    }

    /// Number of stray answers since the last call.
    pub(super) const fn take_strays(&mut self) -> u32 {
        std::mem::replace(&mut self.strays, 0)
    }

    pub(super) fn idle_state(&self) -> IdleState {
        self.conn.idle_state()
    }
}

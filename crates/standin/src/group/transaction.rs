//! The transaction of a connection, with its uncommitted changes.

use super::log::Change;
use pgwire::messages::response::TransactionStatus;

/// State of the transaction of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TransactionState {
    /// No transaction is open.
    Idle,
    /// Opened by a statement outside a block; ends with the simple query, or at Sync.
    Implicit,
    /// Opened by BEGIN.
    Block,
    /// A block with a failed statement, which only ROLLBACK or COMMIT ends.
    Failed,
}

/// The transaction state of a connection.
#[derive(Debug)]
pub(crate) struct Transaction {
    pub(crate) state: TransactionState,
    /// Changes that are not committed yet, in the order of the statements.
    pub(crate) changes: Vec<Change>,
}

impl Transaction {
    pub(crate) const fn new() -> Self {
        Self {
            state: TransactionState::Idle,
            changes: Vec::new(),
        }
    }

    /// Opens an implicit transaction unless one is open.
    pub(crate) fn start_implicit(&mut self) {
        if self.state == TransactionState::Idle {
            self.state = TransactionState::Implicit;
        }
    }

    /// Opens a transaction block. The changes of an open implicit transaction become part of it.
    pub(crate) fn begin(&mut self) {
        self.state = TransactionState::Block;
    }

    /// Discards the changes after an error. A block stays open, as failed, until ROLLBACK or COMMIT.
    pub(crate) fn fail(&mut self) {
        self.changes.clear();
        self.state = match self.state {
            TransactionState::Block | TransactionState::Failed => TransactionState::Failed,
            TransactionState::Idle | TransactionState::Implicit => TransactionState::Idle,
        };
    }

    /// Closes the transaction and returns its changes, for the caller to commit or to discard.
    pub(crate) fn end(&mut self) -> Vec<Change> {
        self.state = TransactionState::Idle;
        std::mem::take(&mut self.changes)
    }

    /// The transaction status that `ReadyForQuery` reports.
    pub(crate) const fn status(&self) -> TransactionStatus {
        match self.state {
            TransactionState::Idle | TransactionState::Implicit => TransactionStatus::Idle,
            TransactionState::Block => TransactionStatus::Transaction,
            TransactionState::Failed => TransactionStatus::Error,
        }
    }
}

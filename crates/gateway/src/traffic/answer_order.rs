//! Which answers of a backend connection can belong to the command that was sent last.
//!
//! Answers carry no id and arrive in the order of the commands, so a server that answers a command twice shifts all
//! later answers by one. The digest tells such an answer apart: each run of a statement has its own, and other commands
//! have none.

use crate::{Answer, Command, Outcome, TransactionStatus};
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// Number of digests that a connection remembers. A repeated answer that is older is taken for an unknown one.
const REMEMBERED_DIGESTS: usize = 256;

/// What an answer is to the command that was sent last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerMatch {
    /// Its answer, or an error, which cannot be told apart.
    Own,
    /// An answer that the connection has given before.
    Repeated,
    /// An answer that belongs to no known command.
    Unknown,
}

/// What a backend connection has answered so far.
#[derive(Debug, Default)]
pub struct AnswerOrder {
    /// Hashes of the digests received last, in their order.
    digests: VecDeque<u64>,
    /// Whether an answer was an error. It has no digest, so its repetition would not be recognised.
    error_received: bool,
}

impl AnswerOrder {
    /// Decides what the next answer is, given whether the connection was in a transaction when `cmd` was sent. An answer
    /// to the command itself is remembered.
    pub fn on_answer(&mut self, cmd: &Command<'_>, in_transaction: bool, answer: &Answer) -> AnswerMatch {
        let digest = match &answer.outcome {
            Outcome::Error { .. } => {
                self.error_received = true;
                return AnswerMatch::Own;
            }
            Outcome::Done { digest } => digest.as_deref(),
        };
        let status_fits = fits(cmd, in_transaction, answer.transaction_status);
        match digest.map(|d| xxh3_64(d.as_bytes())) {
            Some(hash) if self.digests.contains(&hash) => AnswerMatch::Repeated,
            Some(hash) if cmd.is_statement() && status_fits => {
                self.remember(hash);
                AnswerMatch::Own
            }
            Some(_) => AnswerMatch::Unknown,
            None if !cmd.is_statement() && status_fits => AnswerMatch::Own,
            None => AnswerMatch::Repeated,
        }
    }

    /// Whether an answer that arrived before a command was sent repeats an earlier one.
    pub fn is_repeated(&self, answer: &Answer) -> bool {
        match &answer.outcome {
            Outcome::Done { digest: Some(digest) } => self.digests.contains(&xxh3_64(digest.as_bytes())),
            Outcome::Done { digest: None } => true,
            Outcome::Error { .. } => false,
        }
    }

    /// Whether every repeated answer that may still arrive would be recognised.
    pub const fn recognises_repeats(&self) -> bool {
        !self.error_received
    }

    fn remember(&mut self, hash: u64) {
        if self.digests.len() == REMEMBERED_DIGESTS {
            self.digests.pop_front();
        }
        self.digests.push_back(hash);
    }
}

/// Whether a success of `cmd` can leave the connection with this transaction status.
const fn fits(cmd: &Command<'_>, in_transaction: bool, status: TransactionStatus) -> bool {
    match (cmd, status) {
        (Command::Begin { .. }, status) => matches!(status, TransactionStatus::InTransaction),
        (Command::Rollback, status) => matches!(status, TransactionStatus::Idle),
        // A commit ends the transaction; other statements leave it open.
        (Command::Forward { .. }, _) if in_transaction => !matches!(status, TransactionStatus::Failed),
        (_, TransactionStatus::InTransaction) => in_transaction,
        (_, TransactionStatus::Idle) => !in_transaction,
        (_, TransactionStatus::Failed) => false,
    }
}

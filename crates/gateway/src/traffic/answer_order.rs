//! Which answers of a backend connection can belong to the command that was sent last.
//!
//! Answers carry no id and arrive in the order of the commands, so a server that answers a command twice shifts all
//! later answers by one. The digest tells such an answer apart: each run of a statement has its own, and other commands
//! have none.

use crate::{Answer, Command, Outcome, TransactionStatus};
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// Number of answers that a connection remembers. The repetition of an older one is not recognised.
const REMEMBERED_ANSWERS: usize = 256;

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

/// The answer to a statement, as a connection remembers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct GivenAnswer {
    /// Hash of the digest.
    digest: u64,
    /// Hash of the caller's id of the statement.
    request: u64,
}

/// What a backend connection has answered so far.
#[derive(Debug, Default)]
pub struct AnswerOrder {
    /// The last answers with a digest, in their order.
    given: VecDeque<GivenAnswer>,
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
        match (digest.map(hash), cmd.request_id().map(hash)) {
            (Some(digest), request) if self.was_given_to_another(digest, request) => AnswerMatch::Repeated,
            (Some(digest), Some(request)) if status_fits => {
                self.remember(GivenAnswer { digest, request });
                AnswerMatch::Own
            }
            (Some(_), _) => AnswerMatch::Unknown,
            (None, None) if status_fits => AnswerMatch::Own,
            (None, _) => AnswerMatch::Repeated,
        }
    }

    /// Whether an answer that arrived before a command was sent repeats an earlier one.
    pub fn is_repeated(&self, answer: &Answer) -> bool {
        match &answer.outcome {
            Outcome::Done { digest: Some(digest) } => self.was_given_to_another(hash(digest), None),
            Outcome::Done { digest: None } => true,
            Outcome::Error { .. } => false,
        }
    }

    /// Whether every repeated answer that may still arrive would be recognised.
    pub const fn recognises_repeats(&self) -> bool {
        !self.error_received
    }

    /// Whether a statement other than `request` was answered with the digest. A caller may use an id again, and the
    /// digest may depend on nothing else.
    fn was_given_to_another(&self, digest: u64, request: Option<u64>) -> bool {
        let mut given = self.given.iter();
        given.any(|g| g.digest == digest && Some(g.request) != request)
    }

    fn remember(&mut self, answer: GivenAnswer) {
        if self.given.len() == REMEMBERED_ANSWERS {
            self.given.pop_front();
        }
        self.given.push_back(answer);
    }
}

fn hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Whether a success of `cmd` can leave the connection with this transaction status.
const fn fits(cmd: &Command<'_>, in_transaction: bool, status: TransactionStatus) -> bool {
    match (cmd, status) {
        (Command::Begin { .. }, status) => matches!(status, TransactionStatus::InTransaction),
        (Command::Commit { .. } | Command::Rollback, status) => matches!(status, TransactionStatus::Idle),
        (_, TransactionStatus::InTransaction) => in_transaction,
        (_, TransactionStatus::Idle) => !in_transaction,
        (_, TransactionStatus::Failed) => false,
    }
}

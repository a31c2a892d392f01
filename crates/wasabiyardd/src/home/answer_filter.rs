//! Sorts the frames that a slot sends into answers to the caller and answers to statements of ours.
//!
//! Our statements are pipelined around those of the caller on the same connection. Answers come in order, so a queue of
//! what was sent tells which frame belongs to whom. The end of an answer that may acknowledge a commit is held back
//! until it is known whether the transaction committed, and where.

use super::frame::{self, Frame};
use super::group_sql::{self, Row};
use bytes::BytesMut;
use std::collections::VecDeque;
use wasabiyard_model::LogPoint;

/// Most bytes held back at the end of an answer. Only an answer of several statements in one batch holds more than a
/// few dozen bytes.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// SQLSTATE with which a replica refuses a write.
const READ_ONLY_SQLSTATE: &str = "25006";

/// A statement whose answer is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedAnswer {
    /// The reset after the previous stream.
    Reset,
    /// The statement that sets the organisation.
    Organisation,
    /// The wait for a position.
    Proof,
    /// A batch of the caller.
    Caller,
    /// The question for the last commit of the connection.
    LastCommit,
}

/// What a frame led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FilterAction {
    /// Nothing to do beyond reading on.
    Continue,
    /// The replica does not hold the position; the answer that follows must be discarded.
    PositionNotReached,
    /// A batch of the caller ended, and it is not known yet whether it committed; ask for the last commit.
    QueryLastCommit,
    /// A batch of the caller ended with this transaction status; [`AnswerFilter::release`] gives the end of its answer.
    BatchEnded {
        /// `I`, `T` or `E`.
        status: u8,
        /// Last commit of the connection, as far as it was asked for.
        last_commit: Option<LogPoint>,
    },
    /// The slot is not the primary and said so before anything was passed on; the request had no effect.
    NotPrimary,
    /// A commit is in the answer and its position cannot be known.
    CommitUnknown,
    /// The connection is in a state that was not expected and must be closed.
    Broken,
}

/// The answers that are awaited, and the held end of the current one.
#[derive(Debug)]
pub struct AnswerFilter {
    expected: VecDeque<ExpectedAnswer>,
    /// Whether the question for the last commit follows each batch of the caller.
    queries_last_commit: bool,
    /// Whether the request can be taken back if the slot refuses it as a replica; false after the first frame.
    may_retry: bool,
    held: BytesMut,
    batch: Batch,
    row: Option<Row>,
    internal_failed: bool,
}

/// What is known of the batch of the caller that is answered.
#[derive(Debug, Clone, Copy, Default)]
struct Batch {
    /// It contains a command that may commit a change.
    may_have_written: bool,
    /// It contains a `COMMIT`.
    contains_commit: bool,
    /// Transaction status after it.
    status: u8,
}

impl AnswerFilter {
    /// A filter that awaits nothing. `asks_commit` states whether each batch of the caller is followed by the question
    /// for the last commit, and `takes_back` whether the first batch can be sent to another slot.
    pub fn new(queries_last_commit: bool, may_retry: bool) -> Self {
        Self {
            expected: VecDeque::new(),
            queries_last_commit,
            may_retry,
            held: BytesMut::new(),
            batch: Batch::default(),
            row: None,
            internal_failed: false,
        }
    }

    /// A statement was sent.
    pub fn expect_answer(&mut self, expected: ExpectedAnswer) {
        self.expected.push_back(expected);
    }

    /// Whether the proof of a position is awaited.
    pub fn awaits_proof(&self) -> bool {
        self.expected.contains(&ExpectedAnswer::Proof)
    }

    /// Whether an answer is awaited.
    pub fn is_waiting(&self) -> bool {
        !self.expected.is_empty()
    }

    /// The held end of the answer, once it may be passed on.
    pub fn take_held(&mut self) -> BytesMut {
        std::mem::take(&mut self.held)
    }

    /// Takes a frame. Bytes that go to the caller at once are added through `pass`.
    pub fn on_frame(&mut self, frame: &Frame, mut forward: impl FnMut(&[u8])) -> FilterAction {
        if frame.tag() == frame::NOTICE_RESPONSE || frame.tag() == frame::PARAMETER_STATUS {
            // Neither belongs to an answer, and settings of a pooled connection are none of the caller's.
            return FilterAction::Continue;
        }
        match self.expected.front().copied() {
            None => FilterAction::Broken,
            Some(ExpectedAnswer::Caller) => self.on_caller_frame(frame, &mut forward),
            Some(internal) => self.on_internal_frame(internal, frame),
        }
    }

    fn on_caller_frame(&mut self, frame: &Frame, forward: &mut impl FnMut(&[u8])) -> FilterAction {
        if std::mem::take(&mut self.may_retry) && frame.sqlstate() == Some(READ_ONLY_SQLSTATE) {
            return FilterAction::NotPrimary;
        }
        if let Some(command) = frame.command_tag() {
            self.batch.may_have_written |= !is_read_only_command(command);
            self.batch.contains_commit |= command == "COMMIT";
        }
        let ends = frame.tag() == frame::READY_FOR_QUERY;
        if !self.batch.may_have_written && !ends && self.held.is_empty() {
            forward(frame.bytes());
            return FilterAction::Continue;
        }
        self.held.extend_from_slice(frame.bytes());
        if self.held.len() > MAX_HELD_BYTES {
            return FilterAction::CommitUnknown;
        }
        if !ends {
            return FilterAction::Continue;
        }
        self.expected.pop_front();
        let Some(status @ (b'I' | b'T' | b'E')) = frame.transaction_status() else {
            return FilterAction::Broken;
        };
        self.batch.status = status;
        if self.expected.front() == Some(&ExpectedAnswer::LastCommit) {
            FilterAction::Continue
        } else if self.batch.may_have_written {
            FilterAction::QueryLastCommit
        } else {
            assert!(
                !self.queries_last_commit,
                "the question for the last commit follows each batch"
            );
            self.batch_ended(None)
        }
    }

    fn on_internal_frame(&mut self, internal: ExpectedAnswer, frame: &Frame) -> FilterAction {
        match frame.tag() {
            frame::DATA_ROW => self.row = Some(Row(frame.columns())),
            frame::ERROR_RESPONSE => self.internal_failed = true,
            frame::READY_FOR_QUERY => {
                self.expected.pop_front();
                let rows: Vec<_> = self.row.take().into_iter().collect();
                let internal_failed = std::mem::take(&mut self.internal_failed);
                return self.on_internal_answer(internal, &rows, internal_failed, frame.transaction_status());
            }
            _ => {}
        }
        FilterAction::Continue
    }

    fn on_internal_answer(
        &mut self,
        internal: ExpectedAnswer,
        rows: &[Row],
        internal_failed: bool,
        status: Option<u8>,
    ) -> FilterAction {
        match internal {
            ExpectedAnswer::Reset | ExpectedAnswer::Organisation
                if internal_failed || status != Some(b'I') =>
            {
                FilterAction::Broken
            }
            ExpectedAnswer::Reset | ExpectedAnswer::Organisation | ExpectedAnswer::Caller => {
                FilterAction::Continue
            }
            ExpectedAnswer::Proof => match group_sql::parse_reached(rows) {
                Some(true) if !internal_failed => FilterAction::Continue,
                _ => FilterAction::PositionNotReached,
            },
            // Inside a failed transaction the slot refuses the question, and nothing was committed since the last
            // one unless the batch itself contained a commit.
            ExpectedAnswer::LastCommit
                if internal_failed && self.batch.status == b'E' && !self.batch.contains_commit =>
            {
                self.batch_ended(None)
            }
            ExpectedAnswer::LastCommit => match group_sql::parse_last_commit(rows) {
                Some(point) if !internal_failed => self.batch_ended(Some(point)),
                _ => FilterAction::CommitUnknown,
            },
        }
    }

    fn batch_ended(&mut self, last_commit: Option<LogPoint>) -> FilterAction {
        let batch = std::mem::take(&mut self.batch);
        FilterAction::BatchEnded {
            status: batch.status,
            last_commit,
        }
    }
}

/// Whether a command tag is of a command that cannot commit a change by itself.
fn is_read_only_command(command: &str) -> bool {
    let word = command.split(' ').next().unwrap_or_default();
    matches!(
        word,
        "SELECT"
            | "SHOW"
            | "SET"
            | "BEGIN"
            | "START"
            | "FETCH"
            | "DECLARE"
            | "CLOSE"
            | "ROLLBACK"
            | "SAVEPOINT"
            | "RELEASE"
    )
}

//! Separates the answers to the caller from the answers to internal statements.
//!
//! The home pipelines internal statements around those of the caller on the same connection. Answers arrive in the
//! order of the statements, so a queue of the expected answers identifies the statement of a frame. The end of an
//! answer that may acknowledge a commit is held back until the position of the commit, if there is one, is known.

use super::frame::{self, Frame};
use super::group_sql::{self, Row};
use bytes::BytesMut;
use std::collections::VecDeque;
use wasabiyard_model::LogPoint;

/// Most bytes held back at the end of an answer. More than a few dozen bytes are held only for a batch of several
/// statements.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// SQLSTATE `read_only_sql_transaction`, with which a replica refuses a write.
const READ_ONLY_SQLSTATE: &str = "25006";

/// The answer that is expected next, named after what was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedAnswer {
    /// The reset statement after the previous stream.
    Reset,
    /// The statement that sets the organisation of the stream.
    Organisation,
    /// The statement that waits until the slot has applied a position.
    Proof,
    /// A batch of the caller.
    Caller,
    /// The query for the last commit of the connection.
    LastCommit,
}

/// What the exchange has to do after a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FilterAction {
    /// Read the next frame.
    Continue,
    /// Discard the answer that follows, because the slot has not applied the position.
    PositionNotReached,
    /// Query the last commit, because a batch of the caller ended that may have committed.
    QueryLastCommit,
    /// A batch of the caller ended. [`AnswerFilter::take_held`] returns the end of its answer.
    BatchEnded {
        /// Transaction status: `I` for idle, `T` in a transaction, `E` in a failed transaction.
        status: u8,
        /// Last commit of the connection; `None` when it was not queried or the slot refused the query in a failed
        /// transaction.
        last_commit: Option<LogPoint>,
    },
    /// The slot refused the request as a replica before anything was forwarded, so the request had no effect.
    NotPrimary,
    /// The answer may contain a commit whose position cannot be determined.
    CommitUnknown,
    /// The slot sent something unexpected, and the connection must be closed.
    Broken,
}

/// The expected answers, and the part of the current one that is held back.
#[derive(Debug)]
pub struct AnswerFilter {
    expected: VecDeque<ExpectedAnswer>,
    /// Whether a query for the last commit follows each batch of the caller.
    queries_last_commit: bool,
    /// Whether the request can be retried if the slot refuses it as a replica. False after the first frame of its
    /// answer.
    may_retry: bool,
    held: BytesMut,
    batch: Batch,
    row: Option<Row>,
    internal_failed: bool,
}

/// What the answer frames have shown about the current batch of the caller.
#[derive(Debug, Clone, Copy, Default)]
struct Batch {
    /// Whether it contains a command that may commit a change.
    may_have_written: bool,
    /// Whether it contains a `COMMIT`.
    contains_commit: bool,
    /// Transaction status after the batch.
    status: u8,
}

impl AnswerFilter {
    /// Creates a filter that expects no answer. `queries_last_commit` states whether a query for the last commit follows
    /// each batch of the caller, and `may_retry` whether the first batch can be sent to another slot.
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

    /// Appends to the expected answers. Called when a statement is queued for the slot.
    pub fn expect_answer(&mut self, expected: ExpectedAnswer) {
        self.expected.push_back(expected);
    }

    /// Whether the answer that proves the position is still expected.
    pub fn awaits_proof(&self) -> bool {
        self.expected.contains(&ExpectedAnswer::Proof)
    }

    /// Whether any answer is expected.
    pub fn is_waiting(&self) -> bool {
        !self.expected.is_empty()
    }

    /// Takes the held end of the answer. The caller of this method makes sure that it may be forwarded.
    pub fn take_held(&mut self) -> BytesMut {
        std::mem::take(&mut self.held)
    }

    /// Handles a frame of the slot. Bytes that may go to the caller at once are passed to `forward`.
    pub fn on_frame(&mut self, frame: &Frame, mut forward: impl FnMut(&[u8])) -> FilterAction {
        if frame.tag() == frame::NOTICE_RESPONSE || frame.tag() == frame::PARAMETER_STATUS {
            // Neither belongs to a single answer, and the settings of a pooled connection do not concern the caller.
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
                "a query for the last commit must follow each batch"
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
            // Inside a failed transaction the slot refuses the query. Nothing was committed since the previous query
            // unless the batch itself contained a commit.
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

/// Whether a command tag belongs to a command that cannot commit a change by itself.
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

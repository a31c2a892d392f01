//! Separates the answers to the caller from the answers to internal statements.
//!
//! The home pipelines internal statements around those of the caller on the same connection. Answers arrive in the
//! order of the statements, so a queue of the expected answers identifies the statement of a frame. A mark after each
//! batch shows that no answer before it was repeated, which would shift the queue. The end of an answer is held back
//! until the mark has come, and until the position of the commit, if there may be one, is known.

use super::frame::{self, Frame};
use super::group_sql::{self, Row};
use bytes::BytesMut;
use std::collections::VecDeque;
use wasabiyard_model::LogPoint;

/// Most bytes held back at the end of an answer. More than a few dozen bytes are held only for a batch of several
/// statements.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// Most rows of an internal answer. The statements give one at most; more belong to another answer.
const MAX_INTERNAL_ROWS: usize = 1;

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
    /// The statement that shows this mark, which ends each batch of the caller.
    Mark(u64),
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
    /// Whether the request can be retried if the slot refuses it as a replica. False after the first frame of its
    /// answer.
    may_retry: bool,
    held: BytesMut,
    batch: Batch,
    /// Rows of the current internal answer, up to [`MAX_INTERNAL_ROWS`].
    rows: Vec<Row>,
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
    /// Whether the query for the last commit was answered.
    last_commit_answered: bool,
    /// What that query gave: nothing when the slot refused it in a failed transaction.
    last_commit: Option<LogPoint>,
}

impl AnswerFilter {
    /// Creates a filter that expects no answer. `may_retry` states whether the first batch can be sent to another slot.
    pub fn new(may_retry: bool) -> Self {
        Self {
            expected: VecDeque::new(),
            may_retry,
            held: BytesMut::new(),
            batch: Batch::default(),
            rows: Vec::new(),
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
        FilterAction::Continue
    }

    fn on_internal_frame(&mut self, internal: ExpectedAnswer, frame: &Frame) -> FilterAction {
        match frame.tag() {
            frame::DATA_ROW if self.rows.len() == MAX_INTERNAL_ROWS => return FilterAction::Broken,
            frame::DATA_ROW => self.rows.push(Row(frame.columns())),
            frame::ERROR_RESPONSE => self.internal_failed = true,
            frame::READY_FOR_QUERY => {
                self.expected.pop_front();
                let rows = std::mem::take(&mut self.rows);
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
                if internal_failed || status != Some(b'I') || !rows.is_empty() =>
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
                self.batch.last_commit_answered = true;
                FilterAction::Continue
            }
            ExpectedAnswer::LastCommit => match group_sql::parse_last_commit(rows) {
                Some(point) if !internal_failed => {
                    self.batch.last_commit_answered = true;
                    self.batch.last_commit = Some(point);
                    FilterAction::Continue
                }
                _ => FilterAction::CommitUnknown,
            },
            // A failed transaction refuses this statement too. The mark after its end shows a shift.
            ExpectedAnswer::Mark(_) if internal_failed && self.batch.status == b'E' => self.batch_ended(),
            ExpectedAnswer::Mark(mark) if !internal_failed && group_sql::shows_mark(rows, mark) => {
                self.batch_ended()
            }
            ExpectedAnswer::Mark(_) => FilterAction::Broken,
        }
    }

    fn batch_ended(&mut self) -> FilterAction {
        if self.batch.may_have_written && !self.batch.last_commit_answered {
            return FilterAction::QueryLastCommit;
        }
        let batch = std::mem::take(&mut self.batch);
        FilterAction::BatchEnded {
            status: batch.status,
            last_commit: batch.last_commit,
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

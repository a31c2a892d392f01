//! The replicated log of a slot.

use super::statement::Table;
use super::value::Value;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;
use wasabiyard_model::{LogPosition, Term};

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The organisation that owns the row.
    pub organisation: Arc<str>,
    /// The table of the row.
    pub table: Table,
    /// Value of the first column.
    pub key: Arc<str>,
    /// Value of the second column; `None` deletes all rows with this key.
    pub value: Option<Value>,
}

/// The changes of one committed transaction.
#[derive(Debug, Clone)]
pub struct Record {
    /// Term of the primary that committed the transaction.
    pub term: Term,
    /// When the transaction was committed; the replication lag counts from then.
    pub written_at: Instant,
    /// The changes, in the order in which they are applied.
    pub changes: Arc<[Change]>,
}

/// A log of records, the first at position 1, and the history of the terms that wrote them.
#[derive(Debug, Clone)]
pub struct Log {
    records: VecDeque<Record>,
    /// Each term with the last position before it, in rising order.
    history: Vec<(Term, LogPosition)>,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            records: VecDeque::new(),
            history: vec![(Term(1), LogPosition(0))],
        }
    }
}

impl Log {
    /// Position of the last record, 0 when the log is empty.
    pub fn end(&self) -> LogPosition {
        LogPosition(self.records.len() as u64)
    }

    /// Term of the last record, 0 when the log is empty.
    pub fn last_term(&self) -> Term {
        self.records.back().map_or(Term(0), |record| record.term)
    }

    /// Each term with the last position before it, in rising order.
    pub fn history(&self) -> &[(Term, LogPosition)] {
        &self.history
    }

    /// The history as text, such as `1:0,2:130`, which `group_status` returns.
    pub fn history_text(&self) -> String {
        let entries: Vec<_> = self
            .history
            .iter()
            .map(|(term, base)| format!("{term}:{base}"))
            .collect();
        entries.join(",")
    }

    /// The record at a position; `None` for position 0 and after the end.
    pub fn record(&self, position: LogPosition) -> Option<&Record> {
        self.records
            .get(usize::try_from(position.0.checked_sub(1)?).ok()?)
    }

    /// At most `limit` records that follow position `after`, up to the first one written later than `until`.
    pub fn records_after(&self, after: LogPosition, until: Instant, limit: usize) -> Vec<Record> {
        self.records
            .range((after.0 as usize).min(self.records.len())..)
            .take_while(|record| record.written_at <= until)
            .take(limit)
            .cloned()
            .collect()
    }

    /// All records, the oldest first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.iter()
    }

    /// Adds a term to the history, whose first record will follow the present end. Panics unless it is higher than all
    /// terms before it.
    pub fn start_term(&mut self, term: Term) {
        let last = self.history.last().expect("the history is never empty").0;
        assert!(last < term, "the terms of a log only increase");
        self.history.push((term, self.end()));
    }

    /// Appends a record, and its term to the history if it is a new one. Panics when the term is lower than the last.
    pub fn append(&mut self, record: Record) {
        let last = self.history.last().expect("the history is never empty").0;
        assert!(last <= record.term, "the terms of a log only increase");
        if last < record.term {
            self.history.push((record.term, self.end()));
        }
        self.records.push_back(record);
    }

    /// Removes the records after `end`, and the terms that began there or later.
    pub fn truncate(&mut self, end: LogPosition) {
        self.records.truncate(end.0 as usize);
        while self.history.len() > 1 && self.history.last().is_some_and(|(_, base)| *base >= end) {
            self.history.pop();
        }
    }

    /// The last position of the common prefix of this log and another one with the given history and end. A term has one
    /// primary, so two records of the same term and position are equal, and so are all records before them.
    pub fn common_end(&self, history: &[(Term, LogPosition)], other_end: LogPosition) -> LogPosition {
        let mut end = self.end().min(other_end);
        while end.0 > 0 && self.record(end).map(|record| record.term) != term_at(history, end) {
            end.0 -= 1;
        }
        end
    }

    /// Whether the log has a record at `position` that was written in `term`. True for position 0, before the first
    /// record, in every term.
    pub fn contains(&self, term: Term, position: LogPosition) -> bool {
        position.0 == 0 || self.record(position).is_some_and(|record| record.term == term)
    }
}

/// Term of the record at `position` according to `history`.
fn term_at(history: &[(Term, LogPosition)], position: LogPosition) -> Option<Term> {
    let entry = history.iter().rev().find(|(_, base)| *base < position);
    entry.map(|(term, _)| *term)
}

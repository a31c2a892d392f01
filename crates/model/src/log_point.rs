//! Positions in the replicated log of a database, and the terms in which they were written.
//!
//! A position alone does not name a record: after a promotion the same position may hold another record. A record is
//! named by (term, position), and a slot holds it only when the history of that slot assigns the position to the term.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a reign of one primary. Each promotion raises it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// A position in the log of a database. Position 0 is before the first record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition(pub u64);

/// A record of the log: the position and the term that wrote it. Ordered by term first, which is the order of "most
/// advanced" in a promotion.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPoint {
    /// The term in which the record was written.
    pub term: Term,
    /// The position of the record.
    pub position: LogPosition,
}

/// The terms of a slot's log, each with the last position of the terms before it, in rising order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermHistory(Vec<(Term, LogPosition)>);

impl Term {
    /// The term after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl LogPoint {
    /// The point of `term` and `position`.
    pub const fn new(term: u64, position: u64) -> Self {
        Self {
            term: Term(term),
            position: LogPosition(position),
        }
    }
}

impl TermHistory {
    /// Reads the form `1:0,2:130`: each term with the last position before it. `None` when the text is not of that
    /// form or not in rising order.
    pub fn parse(text: &str) -> Option<Self> {
        let mut entries: Vec<(Term, LogPosition)> = Vec::new();
        for part in text.split(',').filter(|p| !p.is_empty()) {
            let (term, base) = part.split_once(':')?;
            let entry = (
                Term(term.trim().parse().ok()?),
                LogPosition(base.trim().parse().ok()?),
            );
            if entries
                .last()
                .is_some_and(|last| last.0 >= entry.0 || last.1 > entry.1)
            {
                return None;
            }
            entries.push(entry);
        }
        Some(Self(entries))
    }

    /// Appends a term whose first record follows `base`.
    pub fn push(&mut self, term: Term, base: LogPosition) {
        assert!(
            self.0.last().is_none_or(|last| last.0 < term && last.1 <= base),
            "history must rise"
        );
        self.0.push((term, base));
    }

    /// The term that wrote `position`, `None` before the first term.
    pub fn term_at(&self, position: LogPosition) -> Option<Term> {
        self.0
            .iter()
            .rev()
            .find(|(_, base)| *base < position)
            .map(|(term, _)| *term)
    }

    /// Whether a log with this history, received up to `end`, holds the record `point`. Position 0 is held by all.
    pub fn holds(&self, point: LogPoint, end: LogPosition) -> bool {
        point.position == LogPosition(0)
            || (point.position <= end && self.term_at(point.position) == Some(point.term))
    }

    /// The newest term.
    pub fn last_term(&self) -> Option<Term> {
        self.0.last().map(|(term, _)| *term)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for TermHistory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, (term, base)) in self.0.iter().enumerate() {
            let comma = if i == 0 { "" } else { "," };
            write!(f, "{comma}{term}:{base}")?;
        }
        Ok(())
    }
}

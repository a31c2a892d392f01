//! Positions in the replicated log of a database, and the terms in which they were written.
//!
//! A position alone does not identify a record: after a promotion a different record can be written at the same
//! position. A record is identified by (term, position), and a slot holds it only if its [`TermHistory`] assigns that
//! position to that term.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of terms that [`TermHistory::fork`] keeps.
const MAX_FORKS: usize = 32;

/// The number of the period in which one slot is the primary. Each promotion increments it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// A position in the log of a database. Position 0 precedes the first record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition(pub u64);

/// Identifies a record of the log by its term and position. Ordered by term first; a promotion compares the logs of the
/// slots in this order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPoint {
    /// The term in which the record was written.
    pub term: Term,
    /// The position of the record.
    pub position: LogPosition,
}

/// The terms in which a slot's log was written, in ascending order. Each term has a base position: the last position
/// written before the term began.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermHistory(Vec<(Term, LogPosition)>);

impl Term {
    /// The term that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl LogPoint {
    /// A log point from plain numbers.
    pub const fn new(term: u64, position: u64) -> Self {
        Self {
            term: Term(term),
            position: LogPosition(position),
        }
    }
}

impl TermHistory {
    /// Parses the form `1:0,2:130`, in which each term is followed by its base position. Returns `None` when the text
    /// does not have that form, the terms do not ascend, or a base position is lower than the one before it.
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

    /// Appends a term whose first record follows the position `base`.
    ///
    /// # Panics
    ///
    /// Panics when `term` is not above the last term, or `base` is below the last base position.
    pub fn push(&mut self, term: Term, base: LogPosition) {
        assert!(
            self.0.last().is_none_or(|last| last.0 < term && last.1 <= base),
            "terms must ascend and base positions must not descend"
        );
        self.0.push((term, base));
    }

    /// Begins a term whose first record follows the position `base`. What earlier terms have written after `base` leaves the
    /// history. Only the latest terms are kept.
    pub fn fork(&mut self, term: Term, base: LogPosition) {
        self.0.retain(|(t, b)| *t < term && *b < base);
        self.push(term, base);
        let excess = self.0.len().saturating_sub(MAX_FORKS);
        self.0.drain(..excess);
    }

    /// Whether `point` was written after the position from which a later term went on without it.
    pub fn excludes(&self, point: LogPoint) -> bool {
        let mut later = self.0.iter().filter(|(term, _)| point.term < *term);
        later.any(|(_, base)| point.position > *base)
    }

    /// The term in which `position` was written. `None` for positions before the first term.
    pub fn term_at(&self, position: LogPosition) -> Option<Term> {
        self.0
            .iter()
            .rev()
            .find(|(_, base)| *base < position)
            .map(|(term, _)| *term)
    }

    /// Whether a log with this history whose last received position is `end` contains the record `point`. Every log
    /// contains position 0.
    pub fn holds(&self, point: LogPoint, end: LogPosition) -> bool {
        point.position == LogPosition(0)
            || (point.position <= end && self.term_at(point.position) == Some(point.term))
    }

    /// The latest term; `None` for an empty history.
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

//! An in-memory slot with a log, a fence and a role, which follows the rules of docs/design.md 4.2.

use wasabiyard_model::{LogPoint, Term, Time};

/// A log record: the term of the primary that wrote it, and a number unique to the record.
pub type Record = (Term, u64);

#[derive(Debug, Clone, Default)]
pub struct FakeSlot {
    pub log: Vec<Record>,
    pub primary: bool,
    pub term: Term,
    /// Highest fence that was granted, with its owner.
    pub fenced: (Term, String),
    /// Requests that arrive before this time are executed at this time.
    pub frozen_until: Time,
    /// The homes cannot reach the slot before this time.
    pub cut_off_until: Time,
    /// The other slots cannot reach the slot before this time.
    pub isolated_until: Time,
}

impl FakeSlot {
    pub fn end(&self) -> LogPoint {
        LogPoint::new(self.log.last().map_or(0, |r| r.0.0), self.log.len() as u64)
    }

    pub fn holds(&self, point: LogPoint) -> bool {
        let index = (point.position.0 as usize).checked_sub(1);
        index
            .and_then(|i| self.log.get(i))
            .is_some_and(|r| r.0 == point.term)
    }

    pub fn write(&mut self, number: u64) -> Option<LogPoint> {
        if !self.primary || self.fenced.0 > self.term {
            return None;
        }
        self.log.push((self.term, number));
        Some(self.end())
    }

    /// `shared` grants a fence of the same term to any owner, which real slots never do.
    pub fn fence(&mut self, term: Term, owner: &str, shared: bool) -> bool {
        let granted = term > self.fenced.0 || (term == self.fenced.0 && (shared || self.fenced.1 == owner));
        if granted {
            self.fenced = (term, owner.to_owned());
        }
        granted
    }

    pub fn promote(&mut self, term: Term, owner: &str) -> bool {
        let granted = self.fenced.0 == term && self.fenced.1 == owner;
        if granted {
            self.primary = true;
            self.term = term;
        }
        granted
    }

    /// Applies a prefix of the log of a primary of the given term. Records that differ are replaced.
    pub fn replicate(&mut self, term: Term, log: &[Record]) {
        if term < self.fenced.0 || (self.primary && term <= self.term) {
            return;
        }
        if term > self.fenced.0 {
            self.fenced = (term, String::new());
        }
        self.primary = false;
        self.term = term;
        // Logs that agree in one record agree in all records before it.
        let common = self.log.len().min(log.len());
        let same = (1..=common)
            .rev()
            .find(|n| self.log[n - 1] == log[n - 1])
            .unwrap_or(0);
        if same < log.len() {
            self.log.truncate(same);
            self.log.extend_from_slice(&log[same..]);
        }
    }
}

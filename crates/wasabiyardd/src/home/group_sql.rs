//! The SQL statements by which the daemon controls the slots of a group, and the parsers of their answers. All
//! assumptions about their form are in this module, so that another kind of replication needs changes here only.

use wasabiyard_model::{LogPoint, LogPosition, Term, TermHistory};

/// Statement that sets the organisation of the statements that follow on a connection.
pub fn set_organisation(organisation: &str) -> String {
    format!(
        "SET wasabiyard.organisation = '{}'",
        organisation.replace('\'', "''")
    )
}

/// Statement that resets a connection to its state after login.
pub const RESET: &str = "DISCARD ALL";
/// Statement that shows whether a slot still answers on a connection.
pub const PROBE: &str = "SELECT 1";
/// Statement whose answer shows `mark`, a number that each use on a connection has for itself. Answers arrive in the order
/// of the statements and carry no number of their own, so only this one shows that no answer before it was repeated.
/// It takes no snapshot, and therefore changes nothing for a transaction that it runs in.
pub fn show_mark(mark: u64) -> String {
    format!("SET wasabiyard.mark = '{mark}'; SHOW wasabiyard.mark")
}

/// Whether the answer to [`show_mark`] shows `mark`.
pub fn shows_mark(rows: &[Row], mark: u64) -> bool {
    matches!(rows, [row] if row.number(0) == Some(mark))
}

/// Query for the status of a slot; parsed by [`SlotStatus::parse`].
pub const STATUS: &str = "SELECT * FROM group_status()";
/// Query for the last commit of the connection; parsed by [`parse_last_commit`].
pub const LAST_COMMIT: &str = "SELECT * FROM group_last_commit()";

/// Query that waits until the slot has applied `point`; parsed by [`parse_reached`].
pub fn wait_applied(point: LogPoint, timeout_millis: u64) -> String {
    format!(
        "SELECT * FROM group_wait_applied({}, {}, {timeout_millis})",
        point.term, point.position
    )
}

/// Query that waits until the slot has received `point`; parsed by [`ReceivedAnswer::parse`].
pub fn wait_received(point: LogPoint, timeout_millis: u64) -> String {
    format!(
        "SELECT * FROM group_wait_received({}, {}, {timeout_millis})",
        point.term, point.position
    )
}

/// Statement that fences the slot, which then accepts no log records of terms below `term`; parsed by
/// [`FenceAnswer::parse`].
pub fn fence(term: Term, owner: &str) -> String {
    format!(
        "SELECT * FROM group_fence({term}, '{}')",
        owner.replace('\'', "''")
    )
}

/// Statement that promotes the slot to the primary of `term`; parsed by [`parse_granted`].
pub fn promote(term: Term, owner: &str) -> String {
    format!(
        "SELECT * FROM group_promote({term}, '{}')",
        owner.replace('\'', "''")
    )
}

/// A result row in text format; `None` stands for NULL.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row(pub Vec<Option<String>>);

impl Row {
    fn text(&self, column: usize) -> Option<&str> {
        self.0.get(column)?.as_deref()
    }

    fn flag(&self, column: usize) -> Option<bool> {
        match self.text(column)? {
            "t" => Some(true),
            "f" => Some(false),
            _ => None,
        }
    }

    fn number(&self, column: usize) -> Option<u64> {
        self.text(column)?.parse().ok()
    }

    fn term(&self, column: usize) -> Option<Term> {
        self.number(column).map(Term)
    }

    fn position(&self, column: usize) -> Option<LogPosition> {
        self.number(column).map(LogPosition)
    }
}

/// Role of a slot, as it reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Receives the log of the primary and refuses writes.
    Replica,
}

/// Answer to [`STATUS`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotStatus {
    /// Role that the slot assumes. A primary that was replaced may not know it yet.
    pub role: Role,
    /// Term in which the slot is the primary, or whose primary it follows.
    pub term: Term,
    /// Highest term that it was fenced with.
    pub fenced_term: Term,
    /// Position of the last record that it has received.
    pub received: LogPosition,
    /// Position up to which reads on this slot see the log.
    pub applied: LogPosition,
    /// Terms of the records in its log.
    pub history: TermHistory,
}

impl SlotStatus {
    /// Reads the row.
    pub fn parse(rows: &[Row]) -> Option<Self> {
        let row = rows.first()?;
        Some(Self {
            role: match row.text(1)? {
                "primary" => Role::Primary,
                "replica" => Role::Replica,
                _ => return None,
            },
            term: row.term(2)?,
            fenced_term: row.term(3)?,
            received: row.position(4)?,
            applied: row.position(5)?,
            history: TermHistory::parse(row.text(6)?)?,
        })
    }
}

/// Answer to [`wait_received`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedAnswer {
    /// Whether the slot has received the point.
    pub reached: bool,
    /// Highest term that it was fenced with.
    pub fenced_term: Term,
    /// Position of the last record that it has received.
    pub received: LogPosition,
}

impl ReceivedAnswer {
    /// Reads the row.
    pub fn parse(rows: &[Row]) -> Option<Self> {
        let row = rows.first()?;
        Some(Self {
            reached: row.flag(0)?,
            fenced_term: row.term(1)?,
            received: row.position(2)?,
        })
    }
}

/// Answer to [`fence`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FenceAnswer {
    /// Whether the fence was granted to this owner.
    pub granted: bool,
    /// Highest term that the slot was fenced with.
    pub fenced_term: Term,
    /// Term and position of the last record in its log.
    pub last: LogPoint,
}

impl FenceAnswer {
    /// Reads the row.
    pub fn parse(rows: &[Row]) -> Option<Self> {
        let row = rows.first()?;
        Some(Self {
            granted: row.flag(0)?,
            fenced_term: row.term(1)?,
            last: LogPoint {
                term: row.term(2)?,
                position: row.position(3)?,
            },
        })
    }
}

/// Parses the answer to [`promote`]: whether the slot accepted the promotion.
pub fn parse_granted(rows: &[Row]) -> Option<bool> {
    rows.first()?.flag(0)
}

/// Parses the answer to [`wait_applied`]: whether the slot reached the point in time.
pub fn parse_reached(rows: &[Row]) -> Option<bool> {
    rows.first()?.flag(0)
}

/// Parses the answer to [`LAST_COMMIT`]. The default point stands for a connection without a commit.
pub fn parse_last_commit(rows: &[Row]) -> Option<LogPoint> {
    let row = rows.first()?;
    Some(LogPoint {
        term: row.term(0)?,
        position: row.position(1)?,
    })
}

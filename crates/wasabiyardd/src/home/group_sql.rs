//! The statements that a slot of a database group answers. All that the daemon assumes of their form is in this
//! module, so that another form of group needs changes here only.

use wasabiyard_model::{LogPoint, LogPosition, Term, TermHistory};

/// Sets the organisation of the statements that follow on a connection.
pub fn set_organisation(organisation: &str) -> String {
    format!(
        "SET wasabiyard.organisation = '{}'",
        organisation.replace('\'', "''")
    )
}

/// Returns a connection to the state that it had after its start.
pub const RESET: &str = "DISCARD ALL";
/// Proves that a slot answers on a connection.
pub const PROBE: &str = "SELECT 1";
/// State of a slot; read with [`SlotStatus::parse`].
pub const STATUS: &str = "SELECT * FROM group_status()";
/// Last commit of the connection; read with [`parse_last_commit`].
pub const LAST_COMMIT: &str = "SELECT * FROM group_last_commit()";

/// Waits until the slot has applied `point`; read with [`parse_reached`].
pub fn wait_applied(point: LogPoint, timeout_millis: u64) -> String {
    format!(
        "SELECT * FROM group_wait_applied({}, {}, {timeout_millis})",
        point.term, point.position
    )
}

/// Waits until the slot has received `point`; read with [`ReceivedAnswer::parse`].
pub fn wait_received(point: LogPoint, timeout_millis: u64) -> String {
    format!(
        "SELECT * FROM group_wait_received({}, {}, {timeout_millis})",
        point.term, point.position
    )
}

/// Fences the slot; read with [`FenceAnswer::parse`].
pub fn fence(term: Term, owner: &str) -> String {
    format!(
        "SELECT * FROM group_fence({term}, '{}')",
        owner.replace('\'', "''")
    )
}

/// Promotes the slot; read with [`parse_granted`].
pub fn promote(term: Term, owner: &str) -> String {
    format!(
        "SELECT * FROM group_promote({term}, '{}')",
        owner.replace('\'', "''")
    )
}

/// A row of text columns.
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

/// Role of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Copies the log.
    Replica,
}

/// Answer to [`STATUS`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotStatus {
    /// Role that the slot believes to have.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// Highest term that it was fenced with.
    pub fenced_term: Term,
    /// End of its log.
    pub received: LogPosition,
    /// Position up to which reads see its log.
    pub applied: LogPosition,
    /// Terms of its log.
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
    /// Whether the slot holds the point.
    pub reached: bool,
    /// Highest term that it was fenced with.
    pub fenced_term: Term,
    /// End of its log.
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
    /// Whether the fence is in force for this owner.
    pub granted: bool,
    /// Highest term that the slot was fenced with.
    pub fenced_term: Term,
    /// End of its log: its newest term and last position.
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

/// Reads the answer to [`promote`].
pub fn parse_granted(rows: &[Row]) -> Option<bool> {
    rows.first()?.flag(0)
}

/// Reads the answer to [`wait_applied`].
pub fn parse_reached(rows: &[Row]) -> Option<bool> {
    rows.first()?.flag(0)
}

/// Reads the answer to [`LAST_COMMIT`].
pub fn parse_last_commit(rows: &[Row]) -> Option<LogPoint> {
    let row = rows.first()?;
    Some(LogPoint {
        term: row.term(0)?,
        position: row.position(1)?,
    })
}

//! The syntax tree of the statements that a slot understands.

use super::column::Column;
use super::sql_error::SqlError;
use super::value::{Value, oid};

/// A table. All have two columns, the first of which is the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Table {
    /// `kv (key, value)`: an insert replaces the row with the same key.
    Kv,
    /// `ledger (id, amount)`: an insert always adds a row, so an id may have several.
    Ledger,
    /// `booking (slot, artist)`: an insert of a `slot` that exists fails.
    Booking,
}

/// A literal or a parameter in a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Expr {
    Value(Value),
    /// Number of the parameter, from 1.
    Param(usize),
}

/// What a SELECT from a table returns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Projection {
    /// Indexes of the columns, 0 or 1.
    Columns(Vec<usize>),
    Count,
    /// Sum of the second column.
    Sum,
}

/// A condition `column = value` of a WHERE clause, whose conditions are joined by AND.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Filter {
    /// Index of the column, 0 or 1.
    pub(crate) column: usize,
    pub(crate) value: Expr,
}

/// A function `group_*`, which reads or changes the replication state of the slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GroupFunction {
    Status,
    WaitApplied,
    WaitReceived,
    Fence,
    Promote,
    LastCommit,
}

/// A parsed statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Statement {
    Begin,
    Commit,
    Rollback,
    /// `SET name = value`.
    Set {
        name: String,
        value: Expr,
    },
    Show(String),
    DiscardAll,
    /// Name of the prepared statement, `None` for all.
    Deallocate(Option<String>),
    Insert {
        table: Table,
        rows: Vec<[Expr; 2]>,
    },
    Delete {
        table: Table,
        filters: Vec<Filter>,
    },
    Select {
        table: Table,
        projection: Projection,
        filters: Vec<Filter>,
        limit: Option<Expr>,
    },
    /// `SELECT generate_series(from, to)`.
    Series {
        from: Expr,
        to: Expr,
    },
    /// `SELECT sleep(milliseconds)`.
    Sleep(Expr),
    /// `SELECT` of literals and parameters without a table.
    Values(Vec<Expr>),
    /// `SELECT * FROM group_…(args)`.
    Call {
        function: GroupFunction,
        args: Vec<Expr>,
    },
}

impl Table {
    pub(crate) fn by_name(name: &str) -> Result<Self, SqlError> {
        match name.strip_prefix("public.").unwrap_or(name) {
            "kv" => Ok(Self::Kv),
            "ledger" => Ok(Self::Ledger),
            "booking" => Ok(Self::Booking),
            _ => Err(SqlError::UndefinedTable(name.to_owned())),
        }
    }

    pub(crate) const fn columns(self) -> [Column; 2] {
        match self {
            Self::Kv => [Column::text("key"), Column::text("value")],
            Self::Ledger => [Column::text("id"), Column::int8("amount")],
            Self::Booking => [Column::text("slot"), Column::text("artist")],
        }
    }

    pub(crate) fn column(self, name: &str) -> Result<usize, SqlError> {
        self.columns()
            .iter()
            .position(|column| column.name == name)
            .ok_or_else(|| SqlError::UndefinedColumn(name.to_owned()))
    }
}

impl Expr {
    /// The value of the literal or of the parameter.
    pub(crate) fn resolve(&self, params: &[Value]) -> Result<Value, SqlError> {
        match self {
            Self::Value(value) => Ok(value.clone()),
            Self::Param(n) => n
                .checked_sub(1)
                .and_then(|i| params.get(i))
                .cloned()
                .ok_or(SqlError::UndefinedParameter(*n)),
        }
    }
}

impl GroupFunction {
    pub(crate) fn by_name(name: &str) -> Option<Self> {
        match name {
            "group_status" => Some(Self::Status),
            "group_wait_applied" => Some(Self::WaitApplied),
            "group_wait_received" => Some(Self::WaitReceived),
            "group_fence" => Some(Self::Fence),
            "group_promote" => Some(Self::Promote),
            "group_last_commit" => Some(Self::LastCommit),
            _ => None,
        }
    }

    /// The result columns. All are of type text, so that clients read them without knowing their types.
    pub(crate) fn columns(self) -> Vec<Column> {
        let names: &[&'static str] = match self {
            Self::Status => &[
                "slot",
                "role",
                "term",
                "fenced_term",
                "received",
                "applied",
                "history",
            ],
            Self::WaitApplied => &["reached", "term", "applied"],
            Self::WaitReceived => &["reached", "fenced_term", "received"],
            Self::Fence => &["granted", "fenced_term", "last_term", "received"],
            Self::Promote => &["granted"],
            Self::LastCommit => &["term", "position"],
        };
        names.iter().map(|name| Column::text(name)).collect()
    }

    const fn argument_types(self) -> &'static [u32] {
        match self {
            Self::Status | Self::LastCommit => &[],
            Self::WaitApplied | Self::WaitReceived => &[oid::INT8, oid::INT8, oid::INT8],
            Self::Fence | Self::Promote => &[oid::INT8, oid::TEXT],
        }
    }
}

impl Statement {
    /// The columns of the result, `None` when the statement returns no rows.
    pub(crate) fn columns(&self) -> Option<Vec<Column>> {
        match self {
            Self::Select {
                table, projection, ..
            } => Some(projection.columns(*table)),
            Self::Series { .. } => Some(vec![Column::int4("generate_series")]),
            Self::Sleep(_) => Some(vec![Column::text("sleep")]),
            Self::Values(values) => Some(values.iter().map(value_column).collect()),
            Self::Call { function, .. } => Some(function.columns()),
            Self::Show(_) => Some(vec![Column::text("setting")]),
            _ => None,
        }
    }

    /// The types of all parameters: those that the client gave, and for the others (missing or 0) the type that their
    /// use implies, or text.
    pub(crate) fn parameter_types(&self, given: &[u32]) -> Vec<u32> {
        let mut types = given.to_vec();
        for (expr, inferred) in self.typed_expressions() {
            let Expr::Param(n) = expr else { continue };
            let Some(i) = n.checked_sub(1) else { continue };
            if types.len() <= i {
                types.resize(i + 1, 0);
            }
            if types[i] == 0 {
                types[i] = inferred;
            }
        }
        types
            .iter()
            .map(|&t| if t == 0 { oid::TEXT } else { t })
            .collect()
    }

    /// Whether the statement ends a transaction block and is therefore allowed in a failed one.
    pub(crate) const fn ends_transaction(&self) -> bool {
        matches!(self, Self::Commit | Self::Rollback)
    }

    /// The expressions of the statement with the types that their positions imply.
    fn typed_expressions(&self) -> Vec<(&Expr, u32)> {
        match self {
            Self::Insert { table, rows } => {
                let [first, second] = table.columns().map(|column| column.type_oid);
                rows.iter().flat_map(|[a, b]| [(a, first), (b, second)]).collect()
            }
            Self::Select {
                table,
                filters,
                limit,
                ..
            } => {
                let limit = limit.iter().map(|expr| (expr, oid::INT8));
                filter_types(*table, filters).chain(limit).collect()
            }
            Self::Delete { table, filters } => filter_types(*table, filters).collect(),
            Self::Series { from, to } => vec![(from, oid::INT4), (to, oid::INT4)],
            Self::Sleep(expr) => vec![(expr, oid::INT8)],
            Self::Values(values) => values.iter().map(|expr| (expr, oid::TEXT)).collect(),
            Self::Set { value, .. } => vec![(value, oid::TEXT)],
            Self::Call { function, args } => args
                .iter()
                .zip(function.argument_types().iter().copied())
                .collect(),
            _ => Vec::new(),
        }
    }
}

impl Projection {
    fn columns(&self, table: Table) -> Vec<Column> {
        match self {
            Self::Columns(numbers) => numbers.iter().map(|&i| table.columns()[i].clone()).collect(),
            Self::Count => vec![Column::int8("count")],
            Self::Sum => vec![Column::int8("sum")],
        }
    }
}

fn filter_types(table: Table, filters: &[Filter]) -> impl Iterator<Item = (&Expr, u32)> {
    filters
        .iter()
        .map(move |f| (&f.value, table.columns()[f.column].type_oid))
}

const fn value_column(expr: &Expr) -> Column {
    match expr {
        Expr::Value(Value::Int(_)) => Column::int4("?column?"),
        _ => Column::text("?column?"),
    }
}

//! The table data of a slot, separated by organisation.

use super::log::Change;
use super::sql_error::SqlError;
use super::statement::Table;
use super::value::Value;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A row: the values of the two columns that every table has.
pub(crate) type Row = [Value; 2];

/// Values of the second column by the first one, the key. Only the ledger has several rows with the same key.
type Rows = BTreeMap<Arc<str>, Vec<Value>>;

/// The tables of each organisation. Missing entries stand for empty tables.
#[derive(Debug, Default)]
pub(crate) struct Tables(HashMap<Arc<str>, HashMap<Table, Rows>>);

impl Tables {
    /// Applies a committed change.
    pub(crate) fn apply(&mut self, change: &Change) {
        let rows = self
            .0
            .entry(Arc::clone(&change.organisation))
            .or_default()
            .entry(change.table)
            .or_default();
        let Some(value) = &change.value else {
            rows.remove(&change.key);
            return;
        };
        let values = rows.entry(Arc::clone(&change.key)).or_default();
        if change.table != Table::Ledger {
            values.clear();
        }
        values.push(value.clone());
    }

    /// The rows of a table, or only those with the given key, as they are after the uncommitted changes `pending`.
    /// Committed rows come in the order of their keys, then those that `pending` adds.
    pub(crate) fn rows(
        &self,
        organisation: &str,
        table: Table,
        key: Option<&str>,
        pending: &[Change],
    ) -> Vec<Row> {
        let committed = self.0.get(organisation).and_then(|tables| tables.get(&table));
        let mut rows = match (committed, key) {
            (None, _) => Vec::new(),
            (Some(rows), Some(key)) => rows
                .get_key_value(key)
                .into_iter()
                .flat_map(rows_of_key)
                .collect(),
            (Some(rows), None) => rows.iter().flat_map(rows_of_key).collect(),
        };
        let pending = pending
            .iter()
            .filter(|c| &*c.organisation == organisation && c.table == table);
        for change in pending.filter(|c| key.is_none_or(|key| key == &*c.key)) {
            apply_pending_change(&mut rows, change);
        }
        rows
    }

    /// Fails for an insert into a table with unique keys whose key exists, in the data or in the changes `before` it.
    pub(crate) fn check_unique(&self, change: &Change, before: &[Change]) -> Result<(), SqlError> {
        let existing = change.table == Table::Booking
            && change.value.is_some()
            && !self
                .rows(&change.organisation, change.table, Some(&change.key), before)
                .is_empty();
        if existing {
            return Err(SqlError::UniqueViolation(change.key.to_string()));
        }
        Ok(())
    }
}

/// Builds the rows of one key.
fn rows_of_key((key, values): (&Arc<str>, &Vec<Value>)) -> impl Iterator<Item = Row> {
    values
        .iter()
        .map(|value| [Value::Text(Arc::clone(key)), value.clone()])
}

/// Applies an uncommitted change to rows that were read.
fn apply_pending_change(rows: &mut Vec<Row>, change: &Change) {
    let key = Value::Text(Arc::clone(&change.key));
    let replaces = change.table != Table::Ledger || change.value.is_none();
    if replaces {
        rows.retain(|row| row[0] != key);
    }
    if let Some(value) = &change.value {
        rows.push([key, value.clone()]);
    }
}

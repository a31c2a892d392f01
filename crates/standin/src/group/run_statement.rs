//! Execution of statements.

use super::column::Column;
use super::log::Change;
use super::reply::{self, FormatCodes};
use super::session::{Session, SessionError};
use super::sql_error::SqlError;
use super::statement::{Expr, Filter, GroupFunction, Projection, Statement, Table};
use super::tables::Row;
use super::transaction::TransactionState;
use super::value::Value;
use async_io::Timer;
use futures_lite::FutureExt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wasabiyard_model::{LogPoint, LogPosition, Term};

/// Setting that selects the organisation whose data the statements of a session see and change.
const ORGANISATION_SETTING: &str = "wasabiyard.organisation";

impl Session {
    /// Executes a statement, appends its rows to the output and returns the tag of its `CommandComplete`.
    pub(crate) async fn run_statement(
        &mut self,
        statement: &Statement,
        params: &[Value],
        format_codes: &FormatCodes,
    ) -> Result<String, SessionError> {
        match statement {
            Statement::Begin => {
                self.transaction.begin();
                Ok("BEGIN".to_owned())
            }
            Statement::Commit if self.transaction.state == TransactionState::Failed => Ok(self.rollback()),
            Statement::Commit => {
                self.commit()?;
                Ok("COMMIT".to_owned())
            }
            Statement::Rollback => Ok(self.rollback()),
            Statement::Set { name, value } => {
                self.set(name, value.resolve(params)?);
                Ok("SET".to_owned())
            }
            Statement::Show(name) => {
                let value = self.settings.get(name).cloned().unwrap_or(Value::text(""));
                self.send_rows(&[Column::text("setting")], &[vec![value]], format_codes)
                    .await?;
                Ok("SHOW".to_owned())
            }
            Statement::DiscardAll => {
                self.discard_all();
                Ok("DISCARD ALL".to_owned())
            }
            Statement::Deallocate(name) => {
                match name {
                    Some(name) => drop(self.prepared.remove(name)),
                    None => self.prepared.clear(),
                }
                Ok("DEALLOCATE".to_owned())
            }
            Statement::Insert { table, rows } => self.insert(*table, rows, params),
            Statement::Delete { table, filters } => self.delete(*table, filters, params),
            _ => self.run_query(statement, params, format_codes).await,
        }
    }

    /// Executes a statement that returns rows.
    async fn run_query(
        &mut self,
        statement: &Statement,
        params: &[Value],
        format_codes: &FormatCodes,
    ) -> Result<String, SessionError> {
        let columns = statement.columns().unwrap_or_default();
        let rows = match statement {
            Statement::Series { from, to } => {
                let (from, to) = (from.resolve(params)?.as_int()?, to.resolve(params)?.as_int()?);
                return self.send_series(&columns, from, to, format_codes).await;
            }
            Statement::Select {
                table,
                projection,
                filters,
                limit,
            } => {
                let mut rows = self.select(*table, filters, params)?;
                if let Some(limit) = limit {
                    rows.truncate(limit.resolve(params)?.as_int()?.max(0) as usize);
                }
                project(projection, rows)?
            }
            Statement::Sleep(duration) => {
                let millis = duration.resolve(params)?.as_int()?.max(0) as u64;
                self.sleep(Duration::from_millis(millis)).await?;
                vec![vec![Value::text("")]]
            }
            Statement::Values(values) => {
                let row: Result<_, _> = values.iter().map(|value| value.resolve(params)).collect();
                vec![row?]
            }
            Statement::Call { function, args } => {
                let args: Result<Vec<_>, _> = args.iter().map(|arg| arg.resolve(params)).collect();
                vec![self.call_group_function(*function, &args?).await?]
            }
            other => return Err(SqlError::Syntax(format!("{other:?}")).into()),
        };
        self.send_rows(&columns, &rows, format_codes).await?;
        Ok(format!("SELECT {}", rows.len()))
    }

    /// Appends data rows, and writes the output whenever it grows large.
    async fn send_rows(
        &mut self,
        columns: &[Column],
        rows: &[Vec<Value>],
        format_codes: &FormatCodes,
    ) -> Result<(), SessionError> {
        for row in rows {
            reply::data_row(&mut self.conn.output, columns, row, format_codes);
            self.conn.flush_large().await?;
        }
        Ok(())
    }

    /// Sends the rows of `generate_series` as they are made, so that a long series can be cancelled and is never held
    /// whole.
    async fn send_series(
        &mut self,
        columns: &[Column],
        from: i64,
        to: i64,
        format_codes: &FormatCodes,
    ) -> Result<String, SessionError> {
        for n in from..=to {
            if self.cancel.token.is_requested() {
                return Err(SqlError::Cancelled.into());
            }
            reply::data_row(&mut self.conn.output, columns, &[Value::Int(n)], format_codes);
            self.conn.flush_large().await?;
        }
        Ok(format!("SELECT {}", (to - from + 1).max(0)))
    }

    fn rollback(&mut self) -> String {
        self.transaction.end();
        "ROLLBACK".to_owned()
    }

    fn set(&mut self, name: &str, value: Value) {
        if name == ORGANISATION_SETTING {
            self.organisation = value.as_text();
        }
        self.settings.insert(name.to_owned(), value);
    }

    fn discard_all(&mut self) {
        self.organisation = Arc::from("");
        self.settings.clear();
        self.prepared.clear();
        self.last_commit = LogPoint::default();
    }

    fn insert(&mut self, table: Table, rows: &[[Expr; 2]], params: &[Value]) -> Result<String, SessionError> {
        for row in rows {
            let value = row[1].resolve(params)?;
            let value = match table {
                Table::Ledger => Value::Int(value.as_int()?),
                Table::Kv | Table::Booking => value,
            };
            let key = row[0].resolve(params)?.as_text();
            self.stage_change(table, key, Some(value))?;
        }
        Ok(format!("INSERT 0 {}", rows.len()))
    }

    fn delete(&mut self, table: Table, filters: &[Filter], params: &[Value]) -> Result<String, SessionError> {
        let rows = self.select(table, filters, params)?;
        for [key, _] in &rows {
            self.stage_change(table, key.as_text(), None)?;
        }
        Ok(format!("DELETE {}", rows.len()))
    }

    /// Adds a change to the transaction. Checked here as well as at commit, so that the statement itself fails.
    fn stage_change(&mut self, table: Table, key: Arc<str>, value: Option<Value>) -> Result<(), SqlError> {
        let change = Change {
            organisation: Arc::clone(&self.organisation),
            table,
            key,
            value,
        };
        let slot = self.conn.member().slot();
        slot.check_writable()?;
        slot.tables.check_unique(&change, &self.transaction.changes)?;
        drop(slot);
        self.transaction.changes.push(change);
        Ok(())
    }

    /// Reads the rows that match all filters, with the uncommitted changes of this transaction applied.
    fn select(&self, table: Table, filters: &[Filter], params: &[Value]) -> Result<Vec<Row>, SqlError> {
        let mut wanted = Vec::new();
        for filter in filters {
            wanted.push((filter.column, filter.value.resolve(params)?.as_text()));
        }
        let key = wanted
            .iter()
            .find(|(column, _)| *column == 0)
            .map(|(_, value)| &**value);
        let slot = self.conn.member().slot();
        let mut rows = slot
            .tables
            .rows(&self.organisation, table, key, &self.transaction.changes);
        drop(slot);
        rows.retain(|row| wanted.iter().all(|(i, value)| row[*i].as_text() == *value));
        Ok(rows)
    }

    async fn sleep(&self, duration: Duration) -> Result<(), SqlError> {
        let timer = async {
            Timer::after(duration).await;
            Ok(())
        };
        timer.or(self.cancelled()).await
    }

    /// Fails once a `CancelRequest` arrives; never completes otherwise.
    async fn cancelled<T>(&self) -> Result<T, SqlError> {
        self.cancel.token.requested().await;
        Err(SqlError::Cancelled)
    }

    async fn call_group_function(
        &self,
        function: GroupFunction,
        args: &[Value],
    ) -> Result<Vec<Value>, SqlError> {
        let member = self.conn.member();
        match (function, args) {
            (GroupFunction::Status, []) => {
                let status = member.slot().status();
                let role = format!("{:?}", status.role).to_lowercase();
                Ok(vec![
                    Value::text(&status.slot),
                    Value::text(&role),
                    number_text(status.term.0),
                    number_text(status.fenced_term.0),
                    number_text(status.received.0),
                    number_text(status.applied.0),
                    Value::text(&status.history),
                ])
            }
            (GroupFunction::LastCommit, []) => Ok(vec![
                number_text(self.last_commit.term.0),
                number_text(self.last_commit.position.0),
            ]),
            (GroupFunction::WaitApplied, [term, position, timeout]) => {
                let point = log_point(term, position)?;
                let reached = self.wait_for_log_point(point, timeout, true).await?;
                let slot = member.slot();
                Ok(vec![
                    bool_text(reached),
                    number_text(slot.term.0),
                    number_text(slot.applied.0),
                ])
            }
            (GroupFunction::WaitReceived, [term, position, timeout]) => {
                let point = log_point(term, position)?;
                let reached = self.wait_for_log_point(point, timeout, false).await?;
                let slot = member.slot();
                Ok(vec![
                    bool_text(reached),
                    number_text(slot.fence_term.0),
                    number_text(slot.log.end().0),
                ])
            }
            (GroupFunction::Fence, [term, owner]) => {
                let fence_result = member.slot().fence(Term(term.as_int()? as u64), &owner.as_text());
                self.notify_slot_changed();
                Ok(vec![
                    bool_text(fence_result.granted),
                    number_text(fence_result.fenced_term.0),
                    number_text(fence_result.last_term.0),
                    number_text(fence_result.received.0),
                ])
            }
            (GroupFunction::Promote, [term, owner]) => {
                let granted = member
                    .slot()
                    .promote(Term(term.as_int()? as u64), &owner.as_text());
                self.notify_slot_changed();
                Ok(vec![bool_text(granted)])
            }
            (function, _) => Err(SqlError::UndefinedFunction(format!("{function:?}"))),
        }
    }

    /// Wakes the statements that wait for this slot, and the slots that pull from it.
    fn notify_slot_changed(&self) {
        self.conn.member().changed.notify_all();
        self.conn.group().replication_changed.notify_all();
    }

    /// Waits until the slot has received (or applied) the record at a log point. False when `timeout`, in milliseconds,
    /// expires first.
    async fn wait_for_log_point(
        &self,
        point: LogPoint,
        timeout: &Value,
        applied: bool,
    ) -> Result<bool, SqlError> {
        let timeout = Duration::from_millis(timeout.as_int()?.max(0) as u64);
        let member = self.conn.member();
        let reached = || {
            let slot = member.slot();
            let contained = slot.log.contains(point.term, point.position);
            (contained && (!applied || slot.applied >= point.position)).then_some(())
        };
        let wait = async {
            let reached = member.changed.wait_until(Instant::now() + timeout, reached).await;
            Ok(reached.is_some())
        };
        wait.or(self.cancelled()).await
    }
}

fn project(projection: &Projection, rows: Vec<Row>) -> Result<Vec<Vec<Value>>, SqlError> {
    match projection {
        Projection::Count => Ok(vec![vec![Value::Int(rows.len() as i64)]]),
        Projection::Sum => {
            let sum: Result<i64, _> = rows.iter().map(|row| row[1].as_int()).sum();
            Ok(vec![vec![Value::Int(sum?)]])
        }
        Projection::Columns(columns) => {
            let pick = |row: Row| columns.iter().map(|&i| row[i].clone()).collect();
            Ok(rows.into_iter().map(pick).collect())
        }
    }
}

fn log_point(term: &Value, position: &Value) -> Result<LogPoint, SqlError> {
    Ok(LogPoint {
        term: Term(term.as_int()? as u64),
        position: LogPosition(position.as_int()? as u64),
    })
}

/// A number as text, the type of all columns of group functions.
fn number_text(n: u64) -> Value {
    Value::text(&n.to_string())
}

/// A boolean in the text form of `PostgreSQL`.
fn bool_text(value: bool) -> Value {
    Value::text(if value { "t" } else { "f" })
}

//! `demo`: a write through one instance, followed by a read of it through another instance, which a replica serves.
//!
//! It demonstrates that a session token carries read-your-writes consistency to any instance and to the replicas.

use crate::launcher::{Fleet, FleetSpec, LaunchError};
use crate::sql::{ClientError, Login, SqlClient};
use async_io::block_on;
use miette::Diagnostic;
use serde::Serialize;
use serde_json::Value;
use std::time::Duration;
use thiserror::Error;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const REPLICA_TRANSACTIONS_METRIC: &str = "wasabiyard_transactions_from_replica_total";
const WRITTEN_VALUE: &str = "renewed until 2027";

/// Why the demonstration failed.
#[derive(Debug, Error, Diagnostic)]
pub enum DemoError {
    /// A process could not be started or controlled.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Launch(#[from] LaunchError),
    /// A login or a statement failed.
    #[error("a login or a statement failed")]
    Statement(#[from] ClientError),
    /// The read did not return the value that the session had written.
    #[error("the second instance returned {found:?}, but the session had written {WRITTEN_VALUE:?}")]
    WrongAnswer {
        /// The value returned by the second instance; empty when there was no row.
        found: String,
    },
    /// The primary served the read although replicas were ready.
    #[error("the read was not served by a replica")]
    NotFromReplica,
}

/// A completed step of the demonstration.
#[derive(Debug, Clone, Serialize)]
pub struct DemoStep {
    /// The action, often an SQL statement.
    pub step: String,
    /// Its result, in words.
    pub result: String,
}

/// Runs the demonstration. `on_step` is called after each step.
///
/// # Errors
///
/// When a process does not start, a statement fails, or the read returns a wrong value or is served by the primary.
pub fn demo<F>(mut on_step: F) -> Result<Vec<DemoStep>, DemoError>
where
    F: FnMut(&DemoStep),
{
    let mut steps = Vec::new();
    let mut record_step = |step: &str, result: String| {
        let step = DemoStep {
            step: step.to_owned(),
            result,
        };
        on_step(&step);
        steps.push(step);
    };
    let fleet = Fleet::launch(FleetSpec::one_service(2, 500))?;
    let (first, second) = (fleet.instances()[0].callers, fleet.instances()[1].callers);
    record_step(
        "start the platform stand-in, a group of three slots, and two instances; apply the manifest",
        format!("instances accept callers at {first} and {second}"),
    );

    let writer =
        Login::new("zoo-riga", "key-of-zoo-riga", "membership").with_option("wasabiyard.route", "renew");
    let mut client = block_on(SqlClient::connect(first, &writer, REQUEST_TIMEOUT))?;
    record_step(
        "connect to the first instance as organisation zoo-riga, route renew",
        "logged in".to_owned(),
    );

    let insert = format!("INSERT INTO kv (key, value) VALUES ('family-17', '{WRITTEN_VALUE}')");
    let written = block_on(client.query(&insert))?;
    record_step(
        &insert,
        format!("{}; a majority of the slots holds it", written.tag),
    );

    let token = first_cell(&block_on(client.query("SHOW wasabiyard.session"))?);
    record_step(
        "SHOW wasabiyard.session",
        format!("token of {} characters", token.len()),
    );
    block_on(client.close());

    let reader = Login::new("zoo-riga", "key-of-zoo-riga", "membership")
        .with_option("wasabiyard.route", "gate")
        .with_option("wasabiyard.session", &token);
    let mut client = block_on(SqlClient::connect(second, &reader, REQUEST_TIMEOUT))?;
    record_step(
        "connect to the second instance with that token, route gate",
        "logged in".to_owned(),
    );

    let before = replica_transactions(&fleet)?;
    let select = "SELECT value FROM kv WHERE key = 'family-17'";
    let found = first_cell(&block_on(client.query(select))?);
    let from_replica = replica_transactions(&fleet)? > before;
    let server = if from_replica { "a replica" } else { "the primary" };
    record_step(select, format!("{found:?}, served by {server}"));
    block_on(client.close());

    if found != WRITTEN_VALUE {
        return Err(DemoError::WrongAnswer { found });
    }
    if !from_replica {
        return Err(DemoError::NotFromReplica);
    }
    Ok(steps)
}

/// Number of transactions served by replicas, from the metrics of the second instance; 0 when the metric is missing.
fn replica_transactions(fleet: &Fleet) -> Result<u64, DemoError> {
    let metrics = fleet.get_json(fleet.instances()[1].admin, "/metrics")?;
    let text = match &metrics {
        Value::String(text) => text.as_str(),
        _ => "",
    };
    let line = text
        .lines()
        .find(|line| line.starts_with(REPLICA_TRANSACTIONS_METRIC));
    let value = line
        .and_then(|line| line.rsplit(' ').next())
        .and_then(|v| v.parse::<f64>().ok());
    Ok(value.unwrap_or(0.0) as u64)
}

fn first_cell(result: &crate::sql::QueryResult) -> String {
    result
        .rows
        .first()
        .and_then(|row| row.first())
        .cloned()
        .unwrap_or_default()
}

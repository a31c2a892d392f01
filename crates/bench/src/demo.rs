//! The main job on loopback, step by step: a write through one instance, and a read of it through another instance that
//! a replica answers.

use crate::launcher::{Fleet, FleetSpec, LaunchError};
use crate::sql::{ClientError, Login, SqlClient};
use async_io::block_on;
use miette::Diagnostic;
use serde::Serialize;
use serde_json::Value;
use std::time::Duration;
use thiserror::Error;

const TIMEOUT: Duration = Duration::from_secs(10);
const REPLICA_METRIC: &str = "wasabiyard_transactions_from_replica_total";
const VALUE: &str = "renewed until 2027";

/// Why the demonstration failed.
#[derive(Debug, Error, Diagnostic)]
pub enum DemoError {
    /// The processes could not be started or asked.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Launch(#[from] LaunchError),
    /// A caller got an error.
    #[error("a statement failed")]
    Statement(#[from] ClientError),
    /// The answer is not what the session wrote.
    #[error("the second instance answered {found:?} where the session had written {VALUE:?}")]
    WrongAnswer {
        /// The answer.
        found: String,
    },
    /// The primary answered although replicas were ready.
    #[error("the read was not served by a replica")]
    NotFromReplica,
}

/// One step, as it was done.
#[derive(Debug, Clone, Serialize)]
pub struct DemoStep {
    /// What was done.
    pub step: String,
    /// What came of it.
    pub result: String,
}

/// Runs the demonstration. `on_step` is called after each step.
///
/// # Errors
///
/// When a process does not start, or the answer is wrong.
pub fn demo<F>(mut on_step: F) -> Result<Vec<DemoStep>, DemoError>
where
    F: FnMut(&DemoStep),
{
    let mut steps = Vec::new();
    let mut done = |step: &str, result: String| {
        let step = DemoStep {
            step: step.to_owned(),
            result,
        };
        on_step(&step);
        steps.push(step);
    };
    let fleet = Fleet::launch(FleetSpec::one_service(2, 500))?;
    let (first, second) = (fleet.instances()[0].callers, fleet.instances()[1].callers);
    done(
        "start the platform stand-in, a group of three slots, and two instances; apply the manifest",
        format!("instances accept callers at {first} and {second}"),
    );

    let writer =
        Login::new("zoo-riga", "key-of-zoo-riga", "membership").with_option("wasabiyard.route", "renew");
    let mut client = block_on(SqlClient::connect(first, &writer, TIMEOUT))?;
    done(
        "connect to the first instance as organisation zoo-riga, route renew",
        "logged in".to_owned(),
    );

    let insert = format!("INSERT INTO kv (key, value) VALUES ('family-17', '{VALUE}')");
    let written = block_on(client.query(&insert))?;
    done(
        &insert,
        format!("{}; a majority of the slots holds it", written.tag),
    );

    let token = first_cell(&block_on(client.query("SHOW wasabiyard.session"))?);
    done(
        "SHOW wasabiyard.session",
        format!("token of {} characters", token.len()),
    );
    block_on(client.close());

    let reader = Login::new("zoo-riga", "key-of-zoo-riga", "membership")
        .with_option("wasabiyard.route", "gate")
        .with_option("wasabiyard.session", &token);
    let mut client = block_on(SqlClient::connect(second, &reader, TIMEOUT))?;
    done(
        "connect to the second instance with that token, route gate",
        "logged in".to_owned(),
    );

    let before = replica_reads(&fleet)?;
    let select = "SELECT value FROM kv WHERE key = 'family-17'";
    let found = first_cell(&block_on(client.query(select))?);
    let from_replica = replica_reads(&fleet)? > before;
    let server = if from_replica { "a replica" } else { "the primary" };
    done(select, format!("{found:?}, served by {server}"));
    block_on(client.close());

    if found != VALUE {
        return Err(DemoError::WrongAnswer { found });
    }
    if !from_replica {
        return Err(DemoError::NotFromReplica);
    }
    Ok(steps)
}

/// Transactions that replicas served, as counted by the second instance.
fn replica_reads(fleet: &Fleet) -> Result<u64, DemoError> {
    let metrics = fleet.get_json(fleet.instances()[1].admin, "/metrics")?;
    let text = match &metrics {
        Value::String(text) => text.as_str(),
        _ => "",
    };
    let line = text.lines().find(|line| line.starts_with(REPLICA_METRIC));
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

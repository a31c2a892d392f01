//! Closed-loop load generator: each connection sends its next statement when the previous one has been answered.

use crate::sql::{ClientError, Login, SqlClient};
use async_executor::Task;
use async_io::block_on;
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wasabiyard_standin::runtime::SharedExecutor;

/// Timeout of a login or a statement, far above the expected latencies, so that only a fault triggers it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of connections that are opened concurrently.
const CONNECT_BATCH_SIZE: usize = 32;
/// Upper bound of the histogram; higher latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Result of a load run.
#[derive(Debug, Clone)]
pub struct LoadResult {
    /// Statements answered without an error.
    pub statements: u64,
    /// Statements that failed.
    pub errors: u64,
    /// Real duration of the run, until the last answer.
    pub elapsed: Duration,
    /// Latencies of the successful statements, in microseconds.
    pub latencies: Histogram<u64>,
}

impl LoadResult {
    /// Successful statements per second.
    pub fn throughput(&self) -> f64 {
        self.statements as f64 / self.elapsed.as_secs_f64()
    }
}

/// Opens a connection to each target, in batches.
///
/// # Errors
/// The first error of a login.
pub fn connect<I>(ex: &SharedExecutor, targets: I) -> Result<Vec<SqlClient>, ClientError>
where
    I: IntoIterator<Item = (SocketAddr, Login)>,
{
    let mut targets = targets.into_iter().peekable();
    let mut clients = Vec::new();
    while targets.peek().is_some() {
        let tasks: Vec<Task<_>> = targets
            .by_ref()
            .take(CONNECT_BATCH_SIZE)
            .map(|(address, login)| {
                ex.spawn(async move { SqlClient::connect(address, &login, REQUEST_TIMEOUT).await })
            })
            .collect();
        for task in tasks {
            clients.push(block_on(task)?);
        }
    }
    Ok(clients)
}

/// Sends `sql` repeatedly on all connections for `duration`. Returns the result and the connections that are still usable.
pub fn run(
    ex: &SharedExecutor,
    clients: Vec<SqlClient>,
    sql: &str,
    duration: Duration,
) -> (LoadResult, Vec<SqlClient>) {
    let sql: Arc<str> = Arc::from(sql);
    let started = Instant::now();
    let deadline = started + duration;
    let tasks: Vec<Task<_>> = clients
        .into_iter()
        .map(|client| ex.spawn(send_until_deadline(client, Arc::clone(&sql), deadline)))
        .collect();
    let mut result = LoadResult {
        statements: 0,
        errors: 0,
        elapsed: duration,
        latencies: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid"),
    };
    let mut clients = Vec::new();
    for task in tasks {
        let (client, latencies, errors) = block_on(task);
        clients.extend(client);
        result.errors += errors;
        result.statements += latencies.len() as u64;
        for micros in latencies {
            result.latencies.saturating_record(u64::from(micros).max(1));
        }
    }
    result.elapsed = started.elapsed();
    (result, clients)
}

async fn send_until_deadline(
    mut client: SqlClient,
    sql: Arc<str>,
    deadline: Instant,
) -> (Option<SqlClient>, Vec<u32>, u64) {
    let mut latencies = Vec::new();
    let mut errors = 0;
    loop {
        let sent = Instant::now();
        if sent >= deadline {
            return (Some(client), latencies, errors);
        }
        match client.query(&sql).await {
            Ok(_) => latencies.push(sent.elapsed().as_micros() as u32),
            Err(e) => {
                errors += 1;
                log::debug!("statement failed: {e}");
                if e.is_fatal() {
                    return (None, latencies, errors);
                }
            }
        }
    }
}

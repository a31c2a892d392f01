//! Memory and CPU time of client connections in a real daemon.

use super::SlopesError;
use crate::launcher::{Fleet, FleetSpec};
use crate::sql::{Login, SqlClient};
use async_io::block_on;
use serde::Serialize;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
const SETTLE_TIME: Duration = Duration::from_millis(500);
const STATEMENT: &str = "SELECT value FROM kv WHERE key = 'slope'";
const STATEMENT_ROUNDS: usize = 3;
/// Rate limit above the reach of these measurements, in statements per second.
pub(super) const UNLIMITED_RATE: u32 = 1_000_000;

/// Cost at one number of connections.
#[derive(Debug, Clone, Serialize)]
pub struct ConnectionRow {
    /// Number of connections to one daemon.
    pub connections: usize,
    /// Memory per connection before its first statement, in bytes.
    pub idle_bytes: u64,
    /// Memory per connection that has run statements and is idle again, in bytes.
    pub used_bytes: u64,
    /// CPU time of the daemon per login, in microseconds.
    pub login_cpu_us: f64,
    /// CPU time of the daemon per statement, with one statement at a time, in microseconds.
    pub statement_cpu_us: f64,
}

/// Measures each number of connections on a daemon of its own.
pub fn measure(sizes: &[usize]) -> Result<Vec<ConnectionRow>, SlopesError> {
    let mut rows = Vec::new();
    for size in sizes {
        let fleet = Fleet::launch(FleetSpec::one_service(1, UNLIMITED_RATE))?;
        rows.push(measure_size(&fleet, *size)?);
    }
    Ok(rows)
}

fn measure_size(fleet: &Fleet, size: usize) -> Result<ConnectionRow, SlopesError> {
    let usage = || {
        fleet.instances()[0]
            .process
            .as_ref()
            .map(crate::launcher::ChildProcess::usage)
            .unwrap_or_default()
    };
    let start = usage();
    let mut clients = open_clients(fleet, size)?;
    settle();
    let idle = usage();
    for _ in 0..STATEMENT_ROUNDS {
        for (number, client) in clients.iter_mut().enumerate() {
            block_on(client.query(STATEMENT)).map_err(|source| SlopesError::Connect { number, source })?;
        }
    }
    settle();
    let used = usage();
    let bytes_per_connection = |bytes: u64| bytes.saturating_sub(start.resident_bytes) / size as u64;
    let statements = (size * STATEMENT_ROUNDS) as f64;
    Ok(ConnectionRow {
        connections: size,
        idle_bytes: bytes_per_connection(idle.resident_bytes),
        used_bytes: bytes_per_connection(used.resident_bytes),
        login_cpu_us: idle.cpu_time.saturating_sub(start.cpu_time).as_secs_f64() * 1e6 / size as f64,
        statement_cpu_us: used.cpu_time.saturating_sub(idle.cpu_time).as_secs_f64() * 1e6 / statements,
    })
}

fn open_clients(fleet: &Fleet, size: usize) -> Result<Vec<SqlClient>, SlopesError> {
    let address = fleet.instances()[0].callers;
    let login =
        Login::new("zoo-riga", "key-of-zoo-riga", "membership").with_option("wasabiyard.route", "renew");
    let connect = |number| {
        block_on(SqlClient::connect(address, &login, REQUEST_TIMEOUT))
            .map_err(|source| SlopesError::Connect { number, source })
    };
    (0..size).map(connect).collect()
}

/// Waits until the daemon has freed its temporary allocations.
fn settle() {
    std::thread::sleep(SETTLE_TIME);
}

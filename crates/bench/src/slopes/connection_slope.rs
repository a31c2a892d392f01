//! Memory of callers' connections in a real daemon.

use super::SlopesError;
use crate::launcher::{Fleet, FleetSpec};
use crate::sql::{Login, SqlClient};
use async_io::block_on;
use serde::Serialize;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
const SETTLE: Duration = Duration::from_millis(500);
const STATEMENT: &str = "SELECT value FROM kv WHERE key = 'slope'";
const BUSY_ROUNDS: usize = 3;
/// Rate that no measurement here reaches, in statements a second.
pub(super) const UNLIMITED: u32 = 1_000_000;

/// Memory at one number of connections.
#[derive(Debug, Clone, Serialize)]
pub struct ConnectionRow {
    /// Connections to one daemon.
    pub connections: usize,
    /// Memory of an idle connection that has run no statement yet, in bytes.
    pub idle_bytes: u64,
    /// Memory of a connection that has run statements, in bytes.
    pub used_bytes: u64,
    /// Processor time of a login, in microseconds.
    pub login_cpu_us: f64,
    /// Processor time of a statement from one client at a time, in microseconds.
    pub statement_cpu_us: f64,
}

/// Opens the connections step by step to one daemon.
pub fn measure(sizes: &[usize]) -> Result<Vec<ConnectionRow>, SlopesError> {
    let mut rows = Vec::new();
    for size in sizes {
        let fleet = Fleet::start(FleetSpec::one_service(1, UNLIMITED))?;
        rows.push(measure_one(&fleet, *size)?);
    }
    Ok(rows)
}

fn measure_one(fleet: &Fleet, size: usize) -> Result<ConnectionRow, SlopesError> {
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
    for _ in 0..BUSY_ROUNDS {
        for (number, client) in clients.iter_mut().enumerate() {
            block_on(client.query(STATEMENT)).map_err(|source| SlopesError::Connect { number, source })?;
        }
    }
    settle();
    let used = usage();
    let each = |bytes: u64| bytes.saturating_sub(start.resident_bytes) / size as u64;
    let statements = (size * BUSY_ROUNDS) as f64;
    Ok(ConnectionRow {
        connections: size,
        idle_bytes: each(idle.resident_bytes),
        used_bytes: each(used.resident_bytes),
        login_cpu_us: idle.cpu_time.saturating_sub(start.cpu_time).as_secs_f64() * 1e6 / size as f64,
        statement_cpu_us: used.cpu_time.saturating_sub(idle.cpu_time).as_secs_f64() * 1e6 / statements,
    })
}

fn open_clients(fleet: &Fleet, size: usize) -> Result<Vec<SqlClient>, SlopesError> {
    let address = fleet.instances()[0].callers;
    let login = Login::new("zoo-riga", "key-of-zoo-riga", "membership").option("wasabiyard.route", "renew");
    let connect = |number| {
        block_on(SqlClient::connect(address, &login, TIMEOUT))
            .map_err(|source| SlopesError::Connect { number, source })
    };
    (0..size).map(connect).collect()
}

/// Waits until the daemon has returned what it needed for a moment only.
fn settle() {
    std::thread::sleep(SETTLE);
}

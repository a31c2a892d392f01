//! `slopes`: scaling measurements, which show how costs grow with the size of the system.
//!
//! By default, each cost is measured at three or more sizes, so that its growth is observed rather than assumed. The costs
//! of membership, rate shares and request queues are measured in this process on the crates that implement them, in
//! virtual time; the costs of connections and the propagation of a configuration are measured on real processes.

mod cluster_slope;
mod connection_slope;
mod manifest_slope;
mod quota_slope;
mod resident_memory;
mod schedule_slope;
mod simulated_fleet;
mod spread_slope;

pub use cluster_slope::ClusterRow;
pub use connection_slope::ConnectionRow;
pub use manifest_slope::ManifestRow;
pub use quota_slope::QuotaRow;
pub use schedule_slope::ScheduleRow;
pub use spread_slope::SpreadRow;

use crate::launcher::LaunchError;
use miette::Diagnostic;
use serde::Serialize;
use serde_json::{Value, json};
use std::fmt::Write as _;
use thiserror::Error;

/// The sizes at which each cost is measured.
#[derive(Debug, Clone)]
pub struct SlopesOptions {
    /// Fleet sizes of the simulation in this process.
    pub members: Vec<usize>,
    /// Numbers of databases in a manifest.
    pub databases: Vec<usize>,
    /// Numbers of organisations, in a manifest and for rate shares.
    pub organisations: Vec<usize>,
    /// Numbers of connections to one daemon process.
    pub connections: Vec<usize>,
    /// Numbers of daemon processes to which a configuration propagates.
    pub processes: Vec<usize>,
}

/// All measurements.
#[derive(Debug, Clone, Serialize)]
pub struct Slopes {
    /// Membership and configuration propagation by fleet size, simulated.
    pub cluster: Vec<ClusterRow>,
    /// Parsing and digests of a manifest by databases and organisations.
    pub manifest: Vec<ManifestRow>,
    /// Rate shares by organisations.
    pub quota: Vec<QuotaRow>,
    /// Fair queue of a database by queue length.
    pub schedule: Vec<ScheduleRow>,
    /// Memory and CPU time by client connections, in a real daemon.
    pub connections: Vec<ConnectionRow>,
    /// Propagation time of a configuration by real daemons.
    pub spread: Vec<SpreadRow>,
}

/// Why a measurement failed.
#[derive(Debug, Error, Diagnostic)]
pub enum SlopesError {
    /// A process could not be started or controlled.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Launch(#[from] LaunchError),
    /// A login or a statement on a connection to a daemon failed.
    #[error("connection {number} to the daemon failed")]
    #[diagnostic(help("lower the number of connections"))]
    Connect {
        /// Zero-based index of the connection.
        number: usize,
        /// Error of the client.
        #[source]
        source: crate::sql::ClientError,
    },
    /// A manifest version was not in force on all daemons in time.
    #[error("{missing} of {processes} daemons did not reach version {version} in time")]
    NotInForce {
        /// The manifest version.
        version: u64,
        /// Number of daemons on an earlier version.
        missing: usize,
        /// Number of daemons.
        processes: usize,
    },
}

/// Runs all measurements. Takes some minutes with the default sizes.
///
/// # Errors
///
/// When a process cannot be started, a statement fails, or a configuration does not propagate in time.
pub fn slopes(options: &SlopesOptions) -> Result<Slopes, SlopesError> {
    Ok(Slopes {
        cluster: options
            .members
            .iter()
            .map(|n| cluster_slope::measure(*n))
            .collect(),
        manifest: manifest_slope::measure_all(&options.databases, &options.organisations),
        quota: options
            .organisations
            .iter()
            .map(|n| quota_slope::measure(*n))
            .collect(),
        schedule: [8, 64, 512].map(schedule_slope::measure).to_vec(),
        connections: connection_slope::measure(&options.connections)?,
        spread: options
            .processes
            .iter()
            .map(|n| spread_slope::measure(*n))
            .collect::<Result<_, _>>()?,
    })
}

impl Slopes {
    /// The measurements as text tables, one for each kind.
    pub fn table(&self) -> String {
        let mut text = String::new();
        write_table(&mut text, "cluster", &self.cluster);
        write_table(&mut text, "manifest", &self.manifest);
        write_table(&mut text, "quota", &self.quota);
        write_table(&mut text, "schedule", &self.schedule);
        write_table(&mut text, "connections", &self.connections);
        write_table(&mut text, "spread", &self.spread);
        text
    }
}

/// Appends a table with a heading. Its columns are the serialized fields of the rows.
fn write_table<R>(text: &mut String, heading: &str, rows: &[R])
where
    R: Serialize,
{
    let rows: Vec<Value> = rows.iter().map(|row| json!(row)).collect();
    let Some(Value::Object(first)) = rows.first() else {
        return;
    };
    let columns: Vec<&String> = first.keys().collect();
    writeln!(text, "{heading}").expect("writing to a string cannot fail");
    let names = columns.iter().map(|name| format!("{name:>24}"));
    writeln!(text, "{}", names.collect::<String>()).expect("writing to a string cannot fail");
    for row in &rows {
        let cells = columns.iter().map(|name| format_cell(&row[name.as_str()]));
        writeln!(text, "{}", cells.collect::<String>()).expect("writing to a string cannot fail");
    }
}

fn format_cell(value: &Value) -> String {
    match value.as_f64() {
        Some(number) if value.is_f64() => format!("{number:>24.1}"),
        _ => format!("{:>24}", value.to_string()),
    }
}

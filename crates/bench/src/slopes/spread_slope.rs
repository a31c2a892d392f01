//! Time until a changed manifest is in force on all daemons, with real processes.

use super::SlopesError;
use super::connection_slope::UNLIMITED;
use crate::launcher::{Fleet, FleetSpec};
use serde::Serialize;
use serde_json::Value;
use std::thread;
use std::time::{Duration, Instant};

const CHANGES: u32 = 5;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The users' bound for a change of the configuration.
const LIMIT: Duration = Duration::from_secs(11);

/// Spread at one fleet size.
#[derive(Debug, Clone, Serialize)]
pub struct SpreadRow {
    /// Daemon processes.
    pub processes: usize,
    /// Median time from the end of `manifest apply` until all daemons report the version, in milliseconds. Includes up
    /// to 1 s because a daemon renews its status once a second.
    pub median_ms: u64,
    /// Longest such time, in milliseconds.
    pub longest_ms: u64,
}

/// Applies some changes and waits for each to be in force everywhere.
pub fn measure(processes: usize) -> Result<SpreadRow, SlopesError> {
    let mut base = FleetSpec::one_service(processes, UNLIMITED);
    base.traffic_threads = 1;
    let fleet = Fleet::start(base.clone())?;
    let mut times = Vec::new();
    for change in 1..=CHANGES {
        times.push(spread_one(
            &fleet,
            &changed(&base, change),
            u64::from(change) + 1,
        )?);
    }
    times.sort_unstable();
    Ok(SpreadRow {
        processes,
        median_ms: times[times.len() / 2].as_millis() as u64,
        longest_ms: times[times.len() - 1].as_millis() as u64,
    })
}

fn changed(base: &FleetSpec, change: u32) -> String {
    let mut spec = base.clone();
    spec.organisations[0].burst -= change;
    spec.manifest()
}

fn spread_one(fleet: &Fleet, manifest: &str, version: u64) -> Result<Duration, SlopesError> {
    fleet.apply_manifest(manifest)?;
    let start = Instant::now();
    loop {
        let missing = fleet
            .instances()
            .iter()
            .filter(|i| version_at(fleet, i.admin) < version)
            .count();
        if missing == 0 {
            return Ok(start.elapsed());
        }
        if start.elapsed() > LIMIT {
            return Err(SlopesError::NotInForce {
                version,
                missing,
                processes: fleet.instances().len(),
            });
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Version of the manifest in force at a daemon, 0 when it cannot be asked.
fn version_at(fleet: &Fleet, admin: std::net::SocketAddr) -> u64 {
    let status = fleet.get_json(admin, "/status").unwrap_or(Value::Null);
    let found = status
        .pointer("/control/manifest_version")
        .or_else(|| status.get("manifest_version"));
    found.and_then(Value::as_u64).unwrap_or(0)
}

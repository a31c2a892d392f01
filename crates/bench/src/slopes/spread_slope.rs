//! Propagation time of a changed manifest to all daemons, with real processes.

use super::SlopesError;
use super::connection_slope::UNLIMITED_RATE;
use crate::launcher::{Fleet, FleetSpec};
use serde::Serialize;
use serde_json::Value;
use std::thread;
use std::time::{Duration, Instant};

const CHANGE_COUNT: u32 = 5;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest propagation time that users accept for a change of the configuration.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(11);

/// Propagation time at one fleet size.
#[derive(Debug, Clone, Serialize)]
pub struct SpreadRow {
    /// Number of daemon processes.
    pub processes: usize,
    /// Median time from the publication of the manifest until all daemons report its version, in milliseconds. Includes
    /// up to 1 s because a daemon refreshes its status once a second.
    pub median_ms: u64,
    /// Longest of these times, in milliseconds.
    pub longest_ms: u64,
}

/// Applies several changes to a fleet of `processes` daemons, and waits after each until it is in force on all of them.
pub fn measure(processes: usize) -> Result<SpreadRow, SlopesError> {
    let mut base = FleetSpec::one_service(processes, UNLIMITED_RATE);
    base.traffic_threads = 1;
    let fleet = Fleet::launch(base.clone())?;
    let mut times = Vec::new();
    for change in 1..=CHANGE_COUNT {
        times.push(measure_change(
            &fleet,
            &changed_manifest(&base, change),
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

fn changed_manifest(base: &FleetSpec, change: u32) -> String {
    let mut spec = base.clone();
    spec.organisations[0].burst -= change;
    spec.manifest()
}

fn measure_change(fleet: &Fleet, manifest: &str, version: u64) -> Result<Duration, SlopesError> {
    fleet.apply_manifest(manifest)?;
    let start = Instant::now();
    loop {
        let missing = fleet
            .instances()
            .iter()
            .filter(|i| manifest_version_at(fleet, i.admin) < version)
            .count();
        if missing == 0 {
            return Ok(start.elapsed());
        }
        if start.elapsed() > PROPAGATION_TIMEOUT {
            return Err(SlopesError::NotInForce {
                version,
                missing,
                processes: fleet.instances().len(),
            });
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Manifest version that a daemon reports as in force; 0 when its status is unavailable.
fn manifest_version_at(fleet: &Fleet, admin: std::net::SocketAddr) -> u64 {
    let status = fleet.get_json(admin, "/status").unwrap_or(Value::Null);
    let found = status
        .pointer("/control/manifest_version")
        .or_else(|| status.get("manifest_version"));
    found.and_then(Value::as_u64).unwrap_or(0)
}

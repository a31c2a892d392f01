//! Cost of membership and of configuration propagation, by fleet size, in a simulated fleet.

use super::manifest_slope::generate_manifest;
use super::resident_memory::resident_bytes;
use super::simulated_fleet::SimulatedFleet;
use serde::Serialize;
use std::time::Duration;

const WARM_UP_TIME: Duration = Duration::from_secs(5);
const MEASURED_TIME: Duration = Duration::from_secs(20);
const PROPAGATION_TIMEOUT: Duration = Duration::from_mins(1);
const DATABASES: usize = 860;
const ORGANISATIONS: usize = 100;

/// Cost of the control traffic at one fleet size.
#[derive(Debug, Clone, Serialize)]
pub struct ClusterRow {
    /// Number of members of the fleet.
    pub members: usize,
    /// Time spent on the cluster logic and on message encoding, in microseconds per member and second of virtual time.
    pub cpu_us_per_second: f64,
    /// Bytes sent per member and second of virtual time, with the headers of the network protocols.
    pub bytes_per_second: f64,
    /// Messages sent per member and second of virtual time.
    pub messages_per_second: f64,
    /// Memory of the state of one member, in bytes, with a manifest of 860 databases and 100 organisations.
    pub bytes_of_state: u64,
    /// Virtual time until a changed manifest is in force on all members, in milliseconds.
    pub spread_ms: u64,
    /// Bytes sent per member for one change of the manifest.
    pub spread_bytes: f64,
}

/// Measures one fleet size.
pub fn measure(members: usize) -> ClusterRow {
    let before = resident_bytes();
    let mut fleet = SimulatedFleet::new(members);
    fleet.publish_manifest(1, &generate_manifest(DATABASES, ORGANISATIONS, 0));
    fleet.run(WARM_UP_TIME);
    let bytes_of_state = resident_bytes().saturating_sub(before) / members as u64;
    fleet.reset_counters();
    fleet.run(MEASURED_TIME);
    let per_member = |total: f64| total / members as f64 / MEASURED_TIME.as_secs_f64();
    let row = ClusterRow {
        members,
        cpu_us_per_second: per_member(fleet.busy_time.as_secs_f64() * 1e6),
        bytes_per_second: per_member(fleet.sent_bytes as f64),
        messages_per_second: per_member(fleet.sent_messages as f64),
        bytes_of_state,
        spread_ms: 0,
        spread_bytes: 0.0,
    };
    measure_propagation(&mut fleet, &row)
}

/// Measures the propagation of a change to one organisation. The bytes beyond the steady traffic are attributed to it.
fn measure_propagation(fleet: &mut SimulatedFleet, steady: &ClusterRow) -> ClusterRow {
    fleet.reset_counters();
    let start = fleet.now();
    fleet.publish_manifest(2, &generate_manifest(DATABASES, ORGANISATIONS, 1));
    while !fleet.is_in_force(2) && fleet.now().saturating_since(start) < PROPAGATION_TIMEOUT {
        fleet.run(Duration::from_millis(100));
    }
    let elapsed = fleet.now().saturating_since(start);
    let steady_bytes = steady.bytes_per_second * elapsed.as_secs_f64();
    let sent = fleet.sent_bytes as f64 / steady.members as f64;
    ClusterRow {
        spread_ms: elapsed.as_millis() as u64,
        spread_bytes: (sent - steady_bytes).max(0.0),
        ..steady.clone()
    }
}

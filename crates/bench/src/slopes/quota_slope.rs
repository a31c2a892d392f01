//! Cost of the rate shares of one instance, by number of organisations.

use super::resident_memory::resident_bytes;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::time::{Duration, Instant};
use wasabiyard_model::{Incarnation, InstanceId, Time};
use wasabiyard_quota::{Holder, Quota};

const FLEET_SIZE: usize = 620;
const TICK_COUNT: u64 = 100;
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Cost at one number of organisations.
#[derive(Debug, Clone, Serialize)]
pub struct QuotaRow {
    /// Number of organisations.
    pub organisations: usize,
    /// Mean time of one tick without incoming messages, in microseconds.
    pub tick_us: f64,
    /// Memory of the share tables, in bytes per organisation, in a fleet of 620 instances.
    pub bytes_per_organisation: u64,
}

/// Measures the rate shares with `organisations` organisations.
pub fn measure(organisations: usize) -> QuotaRow {
    let names: Vec<String> = (0..organisations).map(|o| format!("org-{o}")).collect();
    let holder = |i: usize| Holder::new(InstanceId::from(format!("instance-{i}").as_str()), Incarnation(1));
    let before = resident_bytes();
    let mut quota = Quota::new(holder(0));
    quota.set_organisations(names.iter().map(|n| (n.as_str(), 500, 1000)), Time::ZERO);
    quota.set_peers((1..FLEET_SIZE).map(holder).collect(), Time::ZERO);
    let bytes = resident_bytes().saturating_sub(before);
    let mut rng = Pcg64Mcg::seed_from_u64(72);
    let start = Instant::now();
    let mut now = Time::ZERO;
    for _ in 0..TICK_COUNT {
        now = now + TICK_INTERVAL;
        drop(quota.tick(now, &mut rng));
    }
    let tick_us = start.elapsed().as_secs_f64() * 1e6 / TICK_COUNT as f64;
    QuotaRow {
        organisations,
        tick_us,
        bytes_per_organisation: bytes / organisations as u64,
    }
}

//! Runs the load and the faults of a soak test.

use super::caller::{Caller, SharedState};
use super::check::{FinalData, Violation, check_history};
use super::faults::Fault;
use super::history::{Event, History, Outcome};
use super::layout::{GREEDY_ORGANISATION, ORGANISATIONS, fleet_spec};
use crate::bench_error::BenchError;
use crate::launcher::{Fleet, LaunchError};
use async_executor::Task;
use async_io::block_on;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use wasabiyard_standin::runtime;

/// Time without new faults at the start and at the end of a run.
const FAULT_FREE_TIME: Duration = Duration::from_secs(3);
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const FAULT_GAP_MS: std::ops::Range<u64> = 500..3_000;
const FAULT_DURATION_MS: std::ops::Range<u64> = 1_000..6_000;
/// Added to the duration of a configuration change, so that the change is checked for some time after it must be in force.
const CONFIGURATION_CHANGE_EXTRA_MS: u64 = 6_000;
const MAX_ACTIVE_FAULTS: usize = 2;

/// Options of a soak run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoakOptions {
    /// Seed of the faults, the callers and the platform stand-in.
    pub seed: u64,
    /// Duration of the load.
    pub duration: Duration,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Whether faults are injected.
    pub faults: bool,
}

/// Result of a soak run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakReport {
    /// Number of requests per outcome: `done`, `connection lost` or an SQLSTATE.
    pub counts: BTreeMap<String, usize>,
    /// Number of requests of the organisations that stay below their rate limit, and how many of these were nevertheless
    /// refused with WN001 (rate limit exceeded).
    pub within_rate: (usize, usize),
    /// The injected faults, in the order of their ends.
    pub faults: Vec<FaultRecord>,
    /// The final term of each database, which each promotion increases.
    pub terms: Vec<u64>,
    /// Violated invariants; empty for a correct run.
    pub violations: Vec<Violation>,
}

/// An injected fault with its time span.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultRecord {
    /// The fault.
    pub fault: Fault,
    /// Time at which its injection was complete, since the start of the history.
    pub from: Duration,
    /// Time at which its removal began, since the start of the history.
    pub to: Duration,
}

/// Draws faults at random, and tracks the active ones.
struct FaultSchedule {
    rng: Pcg64Mcg,
    /// Active faults: when each is due to end, the time of its injection since the start of the history, and the fault.
    active: Vec<(Instant, Duration, Fault)>,
    next_injection: Instant,
    ended: Vec<FaultRecord>,
}

/// Runs the callers under faults, and checks the history.
///
/// # Errors
/// When the system does not start, a fault cannot be injected or removed, or a group does not converge after the faults.
pub fn soak(options: SoakOptions) -> Result<SoakReport, BenchError> {
    let mut fleet = Fleet::launch(fleet_spec(options.seed))?;
    let ex = runtime::spawn(2)?;
    let shared = Arc::new(SharedState {
        history: History::start(),
        instance_addresses: fleet.instances().iter().map(|i| i.callers).collect(),
        stopped: AtomicBool::new(false),
    });
    let callers: Vec<Task<()>> = (0..options.callers)
        .map(|n| ex.spawn(Caller::new(Arc::clone(&shared), n, ORGANISATIONS, options.seed).run()))
        .collect();
    let faults = run_faults(&mut fleet, &shared.history, options)?;
    shared.stopped.store(true, Ordering::Release);
    for caller in callers {
        block_on(caller);
    }
    let settled: Result<Vec<_>, LaunchError> = (0..fleet.groups().len())
        .map(|group| wait_for_final_data(&fleet, group))
        .collect();
    let (terms, data): (Vec<u64>, Vec<FinalData>) = settled?.into_iter().unzip();
    Ok(SoakReport {
        within_rate: count_within_rate(&shared.history.events()),
        counts: shared.history.outcome_counts(),
        violations: check_history(&shared.history.events(), &data, &faults),
        faults,
        terms,
    })
}

/// Counts the requests of all organisations except the greedy one, and how many of them were refused with WN001.
fn count_within_rate(events: &[Event]) -> (usize, usize) {
    let asked = events
        .iter()
        .filter(|event| event.organisation != GREEDY_ORGANISATION);
    let refused = Outcome::NotRun("WN001".to_owned());
    (
        asked.clone().count(),
        asked.filter(|event| event.outcome == refused).count(),
    )
}

/// Injects and removes faults until the end of the run. No fault is active when this returns.
fn run_faults(
    fleet: &mut Fleet,
    history: &History,
    options: SoakOptions,
) -> Result<Vec<FaultRecord>, BenchError> {
    let end = Instant::now() + options.duration;
    let mut schedule = FaultSchedule {
        rng: Pcg64Mcg::seed_from_u64(options.seed),
        active: Vec::new(),
        next_injection: Instant::now() + FAULT_FREE_TIME,
        ended: Vec::new(),
    };
    while Instant::now() < end {
        let now = Instant::now();
        schedule.remove_due(fleet, history, now)?;
        fleet.list_pending_instances();
        if options.faults && now >= schedule.next_injection && now + FAULT_FREE_TIME < end {
            schedule.inject_random(fleet, history, now)?;
        }
        thread::sleep(POLL_INTERVAL);
    }
    schedule.remove_due(fleet, history, end + MAX_FAULT_DURATION)?;
    Ok(schedule.ended)
}

const MAX_FAULT_DURATION: Duration =
    Duration::from_millis(FAULT_DURATION_MS.end + CONFIGURATION_CHANGE_EXTRA_MS);

impl FaultSchedule {
    /// Draws a fault and injects it, unless it conflicts with an active one or too many are active.
    fn inject_random(
        &mut self,
        fleet: &mut Fleet,
        history: &History,
        now: Instant,
    ) -> Result<(), LaunchError> {
        let gap = Duration::from_millis(self.rng.random_range(FAULT_GAP_MS));
        let mut length = Duration::from_millis(self.rng.random_range(FAULT_DURATION_MS));
        let fault = Fault::draw(&mut self.rng);
        if fault.is_configuration_change() {
            length += Duration::from_millis(CONFIGURATION_CHANGE_EXTRA_MS);
        }
        self.next_injection = now + gap;
        let conflicting = self
            .active
            .iter()
            .any(|(_, _, active)| active.conflicts_with(fault));
        if conflicting || self.active.len() >= MAX_ACTIVE_FAULTS {
            return Ok(());
        }
        log::info!("{:?}: injecting {fault} for {length:?}", history.now());
        fault.inject(fleet)?;
        self.active.push((now + length, history.now(), fault));
        Ok(())
    }

    fn remove_due(&mut self, fleet: &mut Fleet, history: &History, now: Instant) -> Result<(), LaunchError> {
        let (due, active) = self.active.drain(..).partition(|(end, ..)| *end <= now);
        self.active = active;
        let due: Vec<(Instant, Duration, Fault)> = due;
        for (_, from, fault) in due {
            let to = history.now();
            self.ended.push(FaultRecord { fault, from, to });
            fault.remove(fleet)?;
        }
        Ok(())
    }
}

/// Waits until all slots of a group have converged on one primary, and reads its term and its log.
fn wait_for_final_data(fleet: &Fleet, group: usize) -> Result<(u64, FinalData), LaunchError> {
    let admin = fleet.groups()[group].admin;
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    loop {
        let status = fleet.get_json(admin, "/status")?;
        if let Some((primary, term)) = settled_primary(&status) {
            let log = fleet.get_json(admin, &format!("/log?slot={primary}"))?;
            return Ok((term, FinalData::read(&log)));
        }
        if Instant::now() > deadline {
            return Err(LaunchError::NotReady {
                name: fleet.groups()[group].database.clone(),
                reason: "its slots have not converged on one primary".to_owned(),
                log: status.to_string(),
            });
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// The primary with its term, if it is the only one and all slots have received its whole log.
fn settled_primary(status: &Value) -> Option<(String, u64)> {
    let slots: Vec<&Value> = status["slots"].as_array()?.iter().map(|s| &s["status"]).collect();
    let mut primaries = slots.iter().filter(|slot| slot["role"] == "primary");
    let primary = primaries.next()?;
    let same = |slot: &&&Value| slot["received"] == primary["received"] && slot["term"] == primary["term"];
    let settled = primaries.next().is_none() && slots.iter().filter(same).count() == slots.len();
    if settled {
        Some((primary["slot"].as_str()?.to_owned(), primary["term"].as_u64()?))
    } else {
        None
    }
}

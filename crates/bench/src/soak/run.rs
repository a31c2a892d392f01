//! The course of a soak run.

use super::caller::{Caller, Shared};
use super::check::{Breach, FinalData, check};
use super::faults::Fault;
use super::history::{Event, History, Outcome};
use super::layout::{GREEDY, ORGANISATIONS, spec};
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

/// Time without faults at the start and at the end.
const QUIET: Duration = Duration::from_secs(3);
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const FAULT_GAP_MS: std::ops::Range<u64> = 500..3_000;
const FAULT_LENGTH_MS: std::ops::Range<u64> = 1_000..6_000;
/// Additional length of a change of the configuration, so that there is time in which it must be in force.
const CONFIGURATION_EXTRA_MS: u64 = 6_000;
const MAX_FAULTS_AT_ONCE: usize = 2;

/// Options of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoakOptions {
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// Length of the run.
    pub duration: Duration,
    /// Callers.
    pub callers: usize,
    /// Whether faults happen.
    pub faults: bool,
}

/// What a run showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakReport {
    /// Numbers of outcomes.
    pub counts: BTreeMap<String, usize>,
    /// Requests of the organisations that ask for about half of their rate, and how many of them were refused for the
    /// rate (WN001).
    pub within_rate: (usize, usize),
    /// The faults.
    pub faults: Vec<FaultRecord>,
    /// The term of each database at the end; each promotion raises it.
    pub terms: Vec<u64>,
    /// Rules that were broken.
    pub breaches: Vec<Breach>,
}

/// A fault that was in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultRecord {
    /// Fault.
    pub fault: Fault,
    /// When it had started, since the start of the run.
    pub from: Duration,
    /// When its end began.
    pub to: Duration,
}

/// Faults in force, with their ends.
struct FaultSchedule {
    rng: Pcg64Mcg,
    /// When each ends, and since when it is in force.
    active: Vec<(Instant, Duration, Fault)>,
    next: Instant,
    past: Vec<FaultRecord>,
}

/// Runs callers and faults, and checks the history.
///
/// # Errors
/// When the system does not start, or does not settle after the faults.
pub fn soak(options: SoakOptions) -> Result<SoakReport, BenchError> {
    let mut fleet = Fleet::launch(spec(options.seed))?;
    let ex = runtime::spawn(2)?;
    let shared = Arc::new(Shared {
        history: History::start(),
        addresses: fleet.instances().iter().map(|i| i.callers).collect(),
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
        .map(|group| final_data(&fleet, group))
        .collect();
    let (terms, data): (Vec<u64>, Vec<FinalData>) = settled?.into_iter().unzip();
    Ok(SoakReport {
        within_rate: within_rate(&shared.history.events()),
        counts: shared.history.counts(),
        breaches: check(&shared.history.events(), &data, &faults),
        faults,
        terms,
    })
}

/// Counts the requests of all organisations but the greedy one, and their refusals with WN001.
fn within_rate(events: &[Event]) -> (usize, usize) {
    let asked = events.iter().filter(|event| event.organisation != GREEDY);
    let refused = Outcome::NotRun("WN001".to_owned());
    (
        asked.clone().count(),
        asked.filter(|event| event.outcome == refused).count(),
    )
}

/// Starts and ends faults until the run is over. At the end none is in force.
fn run_faults(
    fleet: &mut Fleet,
    history: &History,
    options: SoakOptions,
) -> Result<Vec<FaultRecord>, BenchError> {
    let end = Instant::now() + options.duration;
    let mut schedule = FaultSchedule {
        rng: Pcg64Mcg::seed_from_u64(options.seed),
        active: Vec::new(),
        next: Instant::now() + QUIET,
        past: Vec::new(),
    };
    while Instant::now() < end {
        let now = Instant::now();
        schedule.end_due(fleet, history, now)?;
        fleet.list_pending_instances();
        if options.faults && now >= schedule.next && now + QUIET < end {
            schedule.start(fleet, history, now)?;
        }
        thread::sleep(POLL_INTERVAL);
    }
    schedule.end_due(fleet, history, end + FAULT_LENGTH_MAX)?;
    Ok(schedule.past)
}

const FAULT_LENGTH_MAX: Duration = Duration::from_millis(FAULT_LENGTH_MS.end + CONFIGURATION_EXTRA_MS);

impl FaultSchedule {
    /// Draws a fault and starts it, unless enough are in force or the same one is.
    fn start(&mut self, fleet: &mut Fleet, history: &History, now: Instant) -> Result<(), LaunchError> {
        let gap = Duration::from_millis(self.rng.random_range(FAULT_GAP_MS));
        let mut length = Duration::from_millis(self.rng.random_range(FAULT_LENGTH_MS));
        let fault = Fault::draw(&mut self.rng);
        if fault.is_configuration() {
            length += Duration::from_millis(CONFIGURATION_EXTRA_MS);
        }
        self.next = now + gap;
        let known = self.active.iter().any(|(_, _, active)| active.touches(fault));
        if known || self.active.len() >= MAX_FAULTS_AT_ONCE {
            return Ok(());
        }
        log::info!("{:?}: {fault} for {length:?}", history.now());
        fault.start(fleet)?;
        self.active.push((now + length, history.now(), fault));
        Ok(())
    }

    fn end_due(&mut self, fleet: &mut Fleet, history: &History, now: Instant) -> Result<(), LaunchError> {
        let (due, active) = self.active.drain(..).partition(|(end, ..)| *end <= now);
        self.active = active;
        let due: Vec<(Instant, Duration, Fault)> = due;
        for (_, from, fault) in due {
            let to = history.now();
            self.past.push(FaultRecord { fault, from, to });
            fault.end(fleet)?;
        }
        Ok(())
    }
}

/// Waits until all slots of a group follow one primary to its end, and reads its log and its term.
fn final_data(fleet: &Fleet, group: usize) -> Result<(u64, FinalData), LaunchError> {
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
                reason: "its slots do not follow one primary".to_owned(),
                log: status.to_string(),
            });
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// The only primary with its term, when all slots have its log.
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

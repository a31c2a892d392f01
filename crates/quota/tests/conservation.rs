//! Randomised simulations of several instances under faults. Each test guards against a fleet that serves an
//! organisation above its rate and burst, or that loses units permanently.

mod simulation;

use rand::Rng;
use simulation::{DisabledMechanism, FREQUENT_FAULTS, NO_FAULTS, OrganisationLimits, Simulation};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;
use wasabiyard_quota::UNITS_PER_ORGANISATION;

fn organisations() -> Vec<OrganisationLimits> {
    let limits = |i: u32| OrganisationLimits {
        name: format!("org-{i}"),
        rate: 40 * (i + 1),
        burst: 60 * (i + 1),
    };
    (0..3).map(limits).collect()
}

fn run(simulation: &mut Simulation, seconds: u64, mut after_step: impl FnMut(&mut Simulation)) {
    let end = simulation.now + Duration::from_secs(seconds);
    while simulation.now < end && simulation.violation.is_none() {
        simulation.step();
        simulation.check_unit_total();
        after_step(simulation);
    }
}

/// Sends up to five times the rate to instances that change every second. Idle periods of 2 s let buckets fill and
/// loans expire unspent, so that the burst that follows meets every token that exists.
fn send_excess_traffic(simulation: &mut Simulation) {
    let second = simulation.now.as_micros() / 1_000_000;
    if (second / 2).is_multiple_of(3) {
        return;
    }
    for o in 0..simulation.organisations.len() {
        let attempts = simulation.organisations[o].rate / 20;
        for _ in 0..attempts {
            let target_count = if second.is_multiple_of(3) {
                simulation.processes.len()
            } else {
                2
            };
            let index = (second as usize * 7 + simulation.rng.random_range(0..target_count))
                % simulation.processes.len();
            simulation.try_take(index, o);
        }
    }
}

/// Injects a random crash, restart, pause, graceful stop, start of an instance, or outage of the platform.
fn inject_random_fault(simulation: &mut Simulation) {
    let live_indexes: Vec<usize> = (0..simulation.processes.len())
        .filter(|i| simulation.processes[*i].alive)
        .collect();
    let victim = live_indexes[simulation.rng.random_range(0..live_indexes.len())];
    match simulation.rng.random_range(0..3_000) {
        0..=1 if live_indexes.len() > 3 => simulation.stop(victim),
        2..=4 => {
            let holder = simulation.processes[victim].holder.clone();
            simulation.stop(victim);
            simulation.start(holder.instance.as_str(), holder.incarnation.0 + 1);
        }
        5..=7 => {
            let pause = Duration::from_millis(simulation.rng.random_range(100..9_000));
            simulation.processes[victim].paused_until = simulation.now + pause;
        }
        8 if live_indexes.len() < 9 => {
            let name = format!("n{}", simulation.processes.len());
            simulation.start(&name, 1);
        }
        9 if live_indexes.len() > 4 => simulation.processes[victim].quota.start_draining(),
        10 => simulation.set_platform_available(false),
        11..=16 => simulation.set_platform_available(true),
        _ => {}
    }
    let drained_index = live_indexes
        .into_iter()
        .find(|i| simulation.processes[*i].quota.is_drained());
    if let Some(index) = drained_index {
        simulation.stop(index);
    }
}

fn run_with_faults(seed: u64, disabled: DisabledMechanism, seconds: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, 6, &organisations());
    run(&mut simulation, 15, send_excess_traffic);
    (simulation.faults, simulation.disabled) = (FREQUENT_FAULTS, disabled);
    run(&mut simulation, seconds, |sim| {
        send_excess_traffic(sim);
        inject_random_fault(sim);
    });
    simulation
}

/// Guards against units that are added twice or lost permanently, and against a burst above the limit. The instances
/// crash, restart, pause, stop gracefully and are added, the network loses, duplicates, delays and reorders messages,
/// and the platform is down at times and loses responses.
#[test]
fn units_are_conserved_and_whole_again_after_the_faults() {
    for seed in 0..16 {
        let mut simulation = run_with_faults(seed, DisabledMechanism::Nothing, 120);
        assert_eq!(simulation.violation, None, "seed {seed} at {:?}", simulation.now);
        simulation.faults = NO_FAULTS;
        simulation.set_platform_available(true);
        run(&mut simulation, 150, |_| {});
        assert_eq!(simulation.violation, None, "seed {seed} at {:?}", simulation.now);
        for o in 0..3 {
            assert_eq!(
                simulation.total_units(o),
                u64::from(UNITS_PER_ORGANISATION),
                "seed {seed}: units of organisation {o}"
            );
        }
    }
}

/// Guards against checks that never fail: with any one of these mechanisms disabled, some run violates an invariant.
/// The expiry of loans has the same check in [`borrowed_tokens_serve_an_outage_and_expire`].
#[test]
fn every_mechanism_is_needed() {
    let mechanisms = [
        DisabledMechanism::TransferNumbers,
        DisabledMechanism::RoundChecks,
        DisabledMechanism::ProofOfEnd,
        DisabledMechanism::Withdrawal,
    ];
    for disabled in mechanisms {
        // A failed assertion in the state machine counts like a violation that the simulation detects.
        let find_violation = |seed: u64| {
            catch_unwind(AssertUnwindSafe(|| {
                run_with_faults(seed, disabled, 200).violation
            }))
            .map_or(Some("assertion".to_owned()), |outcome| outcome)
        };
        let found = (0..30).find_map(|seed| find_violation(seed).map(|violation| (seed, violation)));
        let (seed, violation) = found.unwrap_or_else(|| panic!("{disabled:?}: no run violated an invariant"));
        println!("{disabled:?}: seed {seed}: {violation}");
    }
}

/// Runs two instances. The second starts while the platform is down and can only borrow tokens. Its demand pauses
/// from time to time, so that loans arrive that nobody spends; then both instances take every token that exists.
fn run_with_borrower(seed: u64, disabled: DisabledMechanism) -> (Simulation, u64) {
    let mut simulation = Simulation::new(seed, 1, &organisations());
    run(&mut simulation, 10, |_| {});
    simulation.set_platform_available(false);
    simulation.start("borrower", 1);
    simulation.disabled = disabled;
    let mut borrowed = 0;
    run(&mut simulation, 120, |sim| {
        let millis = sim.now.as_micros() / 1_000 % 12_000;
        for o in 0..sim.organisations.len() {
            let (lender_attempts, borrower_attempts) = match millis {
                11_900.. => (50, 50),
                _ if millis % 4_000 < 1_000 => (0, 1),
                _ => (0, 0),
            };
            for _ in 0..lender_attempts {
                sim.try_take(0, o);
            }
            borrowed += (0..borrower_attempts).filter(|_| sim.try_take(1, o)).count() as u64;
        }
    });
    (simulation, borrowed)
}

/// Guards against loans that are spent after the lender has refilled its bucket, which exceeds the burst, and against
/// an instance without units that serves nothing during an outage of the platform.
#[test]
fn borrowed_tokens_serve_an_outage_and_expire() {
    for seed in 0..5 {
        let (simulation, borrowed) = run_with_borrower(seed, DisabledMechanism::Nothing);
        assert_eq!(simulation.violation, None, "seed {seed}");
        assert!(
            borrowed > 500,
            "seed {seed}: {borrowed} borrowed tokens were spent"
        );
        let (simulation, _) = run_with_borrower(seed, DisabledMechanism::LoanExpiry);
        assert!(
            simulation.violation.is_some(),
            "seed {seed}: loans that never expire are not detected"
        );
    }
}

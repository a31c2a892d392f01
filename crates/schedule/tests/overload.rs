//! Simulations in virtual time: overload at twice the capacity of a database, and the limits on retries and connects.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{NotRun, PriorityClass, Time};
use wasabiyard_schedule::{AdmissionControl, Backoff, ConnectLimiter, FairQueue, QueuedRequest, RetryBudget};

/// Connections of the simulated database.
const CONNECTIONS: usize = 20;
const MEAN_SERVICE_MICROS: u64 = 10_000;
const RUN_END: Time = Time::from_millis(6_000);

/// Fraction of the capacity spent on requests that end by their deadline, when requests arrive at twice the capacity.
/// Admission control is used only if `guarded`.
fn goodput(seed: u64, guarded: bool) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut queue: FairQueue<Time> = FairQueue::default();
    let mut admission = AdmissionControl::default();
    let mut in_service: BTreeSet<(Time, u64, Duration, Time)> = BTreeSet::new();
    let (mut goodput_micros, mut sequence, mut next_arrival) = (0, 0, Time::ZERO);
    loop {
        let first_end = in_service.first().map(|b| b.0);
        let now = first_end.map_or(next_arrival, |end| end.min(next_arrival));
        if now > RUN_END {
            return goodput_micros as f64 / (RUN_END.as_micros() * CONNECTIONS as u64) as f64;
        }
        if first_end == Some(now) {
            let (end, _, service, deadline) = in_service.pop_first().expect("a request in service");
            admission.record_service_time(service, now);
            if end <= deadline {
                goodput_micros += service.as_micros() as u64;
            }
        } else {
            next_arrival =
                now + Duration::from_micros(rng.random_range(0..=MEAN_SERVICE_MICROS / CONNECTIONS as u64));
            let timeout = Duration::from_millis(rng.random_range(50..250));
            let request = QueuedRequest {
                organisation: Arc::from(format!("o{}", rng.random_range(0..8_u32))),
                weight: 1,
                class: [
                    PriorityClass::CRITICAL,
                    PriorityClass::NORMAL,
                    PriorityClass::BACKGROUND,
                ][rng.random_range(0..3)],
                deadline: now + timeout,
            };
            let ahead = queue.requests_ahead(&request.organisation, 1, request.class);
            if !guarded || admission.admit(ahead, CONNECTIONS, request.deadline, now).is_ok() {
                let deadline = request.deadline;
                let _refused = queue.push(request, deadline, now);
            }
        }
        while in_service.len() < CONNECTIONS
            && let Some((_, deadline)) = queue.pop(now)
        {
            if !guarded || admission.can_meet_deadline(deadline, now) {
                let service = Duration::from_micros(rng.random_range(0..=2 * MEAN_SERVICE_MICROS));
                sequence += 1;
                in_service.insert((now + service, sequence, service, deadline));
            }
        }
        queue.take_dropped(now);
    }
}

/// Guards against congestion collapse, in which connections are spent on requests that end after their deadline. The run
/// without admission control shows that the goodput depends on it.
#[test]
fn goodput_stays_above_nine_tenths_at_twice_the_capacity() {
    for seed in 0..5 {
        let (guarded, unguarded) = (goodput(seed, true), goodput(seed, false));
        println!("seed {seed}: goodput {guarded:.3} of capacity, without admission {unguarded:.3}");
        assert!(guarded > 0.9, "seed {seed}: {guarded}");
        assert!(
            unguarded < guarded,
            "seed {seed}: admission control has no effect"
        );
    }
}

/// Guards against refusing all requests forever after one stall: the estimate then exceeds every timeout, and no request
/// is admitted whose sample could lower it.
#[test]
fn admission_recovers_after_a_stall_without_samples() {
    let mut admission = AdmissionControl::default();
    let start = Time::from_millis(10);
    admission.record_service_time(Duration::from_secs(30), start);
    let refused = admission.admit(1, 1, start + Duration::from_secs(1), start);
    assert_eq!(refused, Err(NotRun::Overload));
    let later = start + Duration::from_secs(8);
    assert_eq!(
        admission.admit(1, 1, later + Duration::from_secs(1), later),
        Ok(())
    );
}

/// Guards against retries that amplify an outage: they are limited to a tenth of the requests plus a reserve of ten.
#[test]
fn retries_stay_within_a_tenth_of_the_requests() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        while budget.try_withdraw() {
            retries += 1;
        }
    }
    assert!((100..=110).contains(&retries), "{retries}");
}

/// Guards against delays above the maximum, which grows from 50 ms to 5 s, and against instances that retry in lockstep.
#[test]
fn backoff_doubles_its_max_delay_and_spreads_the_delays() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut backoff = Backoff::default();
    for expected in [50, 100, 200, 400, 800, 1_600, 3_200, 5_000, 5_000] {
        assert_eq!(backoff.max_delay(), Duration::from_millis(expected));
        assert!(backoff.next_delay(&mut rng) <= Duration::from_millis(expected));
    }
    let delays: BTreeSet<u128> = (0..100)
        .map(|_| backoff.next_delay(&mut rng).as_millis() / 500)
        .collect();
    assert!(
        delays.len() >= 9,
        "the delays must cover the interval: {delays:?}"
    );
}

/// Guards against a thundering herd of connects to a slot that recovers.
#[test]
fn connects_to_one_slot_run_two_at_a_time() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut limiter = ConnectLimiter::default();
    let now = Time::from_millis(5);
    assert!(limiter.try_start(now) && limiter.try_start(now) && !limiter.try_start(now));
    assert_eq!(limiter.next_start(), None);
    limiter.failed(now, &mut rng);
    let next = limiter.next_start().expect("a connect may start");
    assert!(next > now && next <= now + Duration::from_millis(50));
    assert!(!limiter.try_start(now) && limiter.try_start(next));
    limiter.succeeded(next, &mut rng);
    limiter.abandoned();
    assert_eq!(limiter.running(), 0);
}

/// One instance's traffic at a server that refuses every second statement: the retries of the class with most of the load
/// used up the budget, and urgent statements were not tried again.
#[test]
fn retries_go_to_the_most_urgent_class_first() {
    for seed in 0..5 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut budget = RetryBudget::default();
        let mut refused = [0_u32; 3];
        let mut retried = [0_u32; 3];
        for _ in 0..4_000 {
            let rank = match rng.random_range(0..100) {
                0..10 => 0,
                10..85 => 1,
                _ => 2,
            };
            budget.deposit();
            if rng.random_bool(0.5) {
                refused[rank] += 1;
                retried[rank] += u32::from(budget.try_withdraw_for(PriorityClass::from_rank(rank)));
            }
        }
        let part = |rank: usize| f64::from(retried[rank]) / f64::from(refused[rank]);
        assert!(part(0) > 0.95, "{retried:?} of {refused:?}");
        assert!(part(1) > 0.05 && part(1) > part(2), "{retried:?} of {refused:?}");
    }
    let mut full = RetryBudget::default();
    assert!(PriorityClass::all().all(|class| RetryBudget::default().try_withdraw_for(class)));
    let last = PriorityClass::from_rank(PriorityClass::COUNT - 1);
    assert!(full.try_withdraw_for(last) && !full.try_withdraw_for(last));
}

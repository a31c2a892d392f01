//! Runs payments under random faults of the slots and the platform, and then checks the whole ledger.

use crate::fixture::{Fixture, wait_until};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use wasabiyard_model::LogPoint;
use wasabiyard_standin::group::SlotFaults;
use wasabiyard_wire::{ReadBound, StreamOutcome};

const SEED: u64 = 20_261_204;
const CALLER_COUNT: u64 = 8;
const FAULT_PHASE_DURATION: Duration = Duration::from_secs(20);

/// Outcomes of the payments and reads of one caller.
#[derive(Debug, Default)]
struct PaymentResults {
    acknowledged: Vec<String>,
    not_run: Vec<String>,
    unknown_count: usize,
    read_count: usize,
    replica_reads: usize,
}

fn run_payments(fixture: &Fixture, caller: u64, stop: &AtomicBool) -> PaymentResults {
    let organisation = format!("zoo-{}", caller % 3);
    let mut results = PaymentResults::default();
    let mut last: Option<(LogPoint, String)> = None;
    let mut payment_number = 0;
    while !stop.load(Ordering::Relaxed) {
        payment_number += 1;
        let id = format!("pay-{caller}-{payment_number}-end");
        let sql = format!("INSERT INTO ledger VALUES ('{id}', {payment_number})");
        let stream = fixture.open(&organisation, ReadBound::Primary, 2_000);
        stream.send(&sql);
        let answer = stream.receive_to_end();
        match answer.outcome {
            StreamOutcome::Complete { commit, .. } => {
                assert!(
                    answer.text.contains("INSERT 0 1"),
                    "the answer belongs to another request: {answer:?}"
                );
                results.acknowledged.push(id.clone());
                last = Some((commit.expect("a payment commits"), id));
            }
            StreamOutcome::NotRun(_) => results.not_run.push(id),
            StreamOutcome::OutcomeUnknown(_) => results.unknown_count += 1,
        }
        if let Some((point, id)) = &last {
            read_own_write(fixture, &organisation, *point, id, &mut results);
        }
    }
    results
}

/// Checks that a read with the position of a write sees that write, whichever slot serves it.
fn read_own_write(
    fixture: &Fixture,
    organisation: &str,
    point: LogPoint,
    id: &str,
    results: &mut PaymentResults,
) {
    let stream = fixture.open(organisation, ReadBound::AtLeast(point), 1_000);
    stream.send(&format!("SELECT id FROM ledger WHERE id = '{id}'"));
    let answer = stream.receive_to_end();
    if let StreamOutcome::Complete { from_replica, .. } = answer.outcome {
        assert!(
            answer.text.contains(id),
            "the read misses payment {id}: {answer:?}"
        );
        results.read_count += 1;
        results.replica_reads += usize::from(from_replica);
    }
}

fn inject_random_faults(fixture: &Fixture, rng: &mut Pcg64Mcg) {
    let end = Instant::now() + FAULT_PHASE_DURATION;
    while Instant::now() < end {
        let slot = if rng.random() {
            fixture.primary()
        } else {
            rng.random_range(0..3)
        };
        let fault_duration = Duration::from_millis(rng.random_range(100..2_500));
        match rng.random_range(0..8) {
            0 => fixture.change_faults(slot, |f| f.freeze = true),
            1 => fixture.change_faults(slot, |f| f.down = true),
            2 => fixture.change_faults(slot, |f| f.partition = true),
            3 => fixture.change_faults(slot, |f| f.silence += 1),
            4 => fixture.change_faults(slot, |f| f.lag_ms = 300),
            5 | 6 => {
                // The slot first takes writes that no other slot receives, and then freezes.
                fixture.change_faults(slot, |f| f.partition = true);
                thread::sleep(Duration::from_millis(200));
                fixture.change_faults(slot, |f| f.freeze = true);
                thread::sleep(Duration::from_secs(2));
            }
            _ => fixture.platform.down.store(true, Ordering::Relaxed),
        }
        thread::sleep(fault_duration);
        fixture.change_faults(slot, |f| {
            *f = SlotFaults {
                silence: f.silence,
                ..SlotFaults::default()
            }
        });
        fixture.platform.down.store(false, Ordering::Relaxed);
        thread::sleep(fault_duration / 4);
    }
}

/// Counts how often each payment is in the ledger.
fn count_payments(fixture: &Fixture) -> BTreeMap<String, usize> {
    let mut ledger = BTreeMap::new();
    for organisation in ["zoo-0", "zoo-1", "zoo-2"] {
        let answer = fixture.call(organisation, ReadBound::Primary, "SELECT id FROM ledger");
        assert!(
            matches!(answer.outcome, StreamOutcome::Complete { .. }),
            "{:?}",
            answer.outcome
        );
        for row in answer.text.split_inclusive("-end") {
            if let Some(at) = row.find("pay-") {
                *ledger.entry(row[at..].to_owned()).or_default() += 1;
            }
        }
    }
    ledger
}

/// Guards against lost or duplicated payments, payments that are in the ledger although reported as *not run*, answers
/// that reach the wrong caller, sessions that miss their own writes, and a group that stays without a primary.
#[test]
fn payments_survive_faults_exactly_once() {
    let fixture = Arc::new(Fixture::start(3, SlotFaults::default()));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            let (fixture, stop) = (Arc::clone(&fixture), Arc::clone(&stop));
            thread::spawn(move || run_payments(&fixture, caller, &stop))
        })
        .collect();
    inject_random_faults(&fixture, &mut Pcg64Mcg::seed_from_u64(SEED));
    wait_until("a write after the faults", || {
        let answer = fixture.call("zoo-0", ReadBound::Primary, "INSERT INTO kv VALUES ('k', 'v')");
        matches!(answer.outcome, StreamOutcome::Complete { .. })
    });
    stop.store(true, Ordering::Relaxed);
    let results: Vec<PaymentResults> = callers
        .into_iter()
        .map(|c| c.join().expect("no caller saw a wrong answer"))
        .collect();
    let ledger = count_payments(&fixture);
    let count = |id: &String| ledger.get(id).copied().unwrap_or(0);
    for results in &results {
        for id in &results.acknowledged {
            assert_eq!(count(id), 1, "acknowledged payment {id}");
        }
        for id in &results.not_run {
            assert_eq!(count(id), 0, "payment {id}, which was reported as not run");
        }
    }
    let sum = |f: fn(&PaymentResults) -> usize| results.iter().map(f).sum::<usize>();
    println!(
        "term {}, acknowledged {}, not run {}, unknown {}, reads {}, from replicas {}",
        fixture.group.slot(fixture.primary()).status().term,
        sum(|s| s.acknowledged.len()),
        sum(|s| s.not_run.len()),
        sum(|s| s.unknown_count),
        sum(|s| s.read_count),
        sum(|s| s.replica_reads)
    );
    assert!(
        sum(|s| s.acknowledged.len()) > 100,
        "too few payments were acknowledged for the checks to mean anything"
    );
}

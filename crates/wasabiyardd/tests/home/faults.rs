//! Payments under random faults of the slots and the platform, with a check of the whole ledger at the end.

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
const CALLERS: u64 = 8;
const FAULTS: Duration = Duration::from_secs(20);

/// What one caller saw.
#[derive(Debug, Default)]
struct Seen {
    acknowledged: Vec<String>,
    not_run: Vec<String>,
    unknown: usize,
    reads: usize,
    from_replica: usize,
}

fn pay(fixture: &Fixture, caller: u64, stop: &AtomicBool) -> Seen {
    let organisation = format!("zoo-{}", caller % 3);
    let mut seen = Seen::default();
    let mut last: Option<(LogPoint, String)> = None;
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("pay-{caller}-{number}-end");
        let sql = format!("INSERT INTO ledger VALUES ('{id}', {number})");
        let stream = fixture.open(&organisation, ReadBound::Primary, 2_000);
        stream.send(&sql);
        let answer = stream.finish();
        match answer.ending {
            StreamOutcome::Complete { commit, .. } => {
                assert!(answer.text.contains("INSERT 0 1"), "another answer: {answer:?}");
                seen.acknowledged.push(id.clone());
                last = Some((commit.expect("a payment commits"), id));
            }
            StreamOutcome::NotRun(_) => seen.not_run.push(id),
            StreamOutcome::OutcomeUnknown(_) => seen.unknown += 1,
        }
        if let Some((point, id)) = &last {
            read_own(fixture, &organisation, *point, id, &mut seen);
        }
    }
    seen
}

/// A session reads its own write, wherever the read is served.
fn read_own(fixture: &Fixture, organisation: &str, point: LogPoint, id: &str, seen: &mut Seen) {
    let stream = fixture.open(organisation, ReadBound::AtLeast(point), 1_000);
    stream.send(&format!("SELECT id FROM ledger WHERE id = '{id}'"));
    let answer = stream.finish();
    if let StreamOutcome::Complete { from_replica, .. } = answer.ending {
        assert!(answer.text.contains(id), "own write is not read: {id} {answer:?}");
        seen.reads += 1;
        seen.from_replica += usize::from(from_replica);
    }
}

fn draw_faults(fixture: &Fixture, rng: &mut Pcg64Mcg) {
    let end = Instant::now() + FAULTS;
    while Instant::now() < end {
        let slot = if rng.random() {
            fixture.primary()
        } else {
            rng.random_range(0..3)
        };
        let hold = Duration::from_millis(rng.random_range(100..2_500));
        match rng.random_range(0..8) {
            0 => fixture.faults(slot, |f| f.freeze = true),
            1 => fixture.faults(slot, |f| f.down = true),
            2 => fixture.faults(slot, |f| f.partition = true),
            3 => fixture.faults(slot, |f| f.silence += 1),
            4 => fixture.faults(slot, |f| f.lag_ms = 300),
            5 | 6 => {
                // The slot takes writes that no other slot receives, and then stops.
                fixture.faults(slot, |f| f.partition = true);
                thread::sleep(Duration::from_millis(200));
                fixture.faults(slot, |f| f.freeze = true);
                thread::sleep(Duration::from_secs(2));
            }
            _ => fixture.platform.down.store(true, Ordering::Relaxed),
        }
        thread::sleep(hold);
        fixture.faults(slot, |f| {
            *f = SlotFaults {
                silence: f.silence,
                ..SlotFaults::default()
            }
        });
        fixture.platform.down.store(false, Ordering::Relaxed);
        thread::sleep(hold / 4);
    }
}

/// How often each payment is in the ledger.
fn ledger(fixture: &Fixture) -> BTreeMap<String, usize> {
    let mut ledger = BTreeMap::new();
    for organisation in ["zoo-0", "zoo-1", "zoo-2"] {
        let answer = fixture.call(organisation, ReadBound::Primary, "SELECT id FROM ledger");
        assert!(
            matches!(answer.ending, StreamOutcome::Complete { .. }),
            "{:?}",
            answer.ending
        );
        for row in answer.text.split_inclusive("-end") {
            if let Some(at) = row.find("pay-") {
                *ledger.entry(row[at..].to_owned()).or_default() += 1;
            }
        }
    }
    ledger
}

/// Guards against lost or doubled payments, a false *not run*, answers that reach another caller, sessions that miss
/// their own writes, and a group that stays without a primary.
#[test]
fn payments_survive_faults_exactly_once() {
    let fixture = Arc::new(Fixture::start(3, SlotFaults::default()));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (fixture, stop) = (Arc::clone(&fixture), Arc::clone(&stop));
            thread::spawn(move || pay(&fixture, caller, &stop))
        })
        .collect();
    draw_faults(&fixture, &mut Pcg64Mcg::seed_from_u64(SEED));
    wait_until("a write after the faults", || {
        let answer = fixture.call("zoo-0", ReadBound::Primary, "INSERT INTO kv VALUES ('k', 'v')");
        matches!(answer.ending, StreamOutcome::Complete { .. })
    });
    stop.store(true, Ordering::Relaxed);
    let seen: Vec<Seen> = callers
        .into_iter()
        .map(|c| c.join().expect("no caller saw a wrong answer"))
        .collect();
    let ledger = ledger(&fixture);
    let count = |id: &String| ledger.get(id).copied().unwrap_or(0);
    for seen in &seen {
        for id in &seen.acknowledged {
            assert_eq!(count(id), 1, "acknowledged payment {id}");
        }
        for id in &seen.not_run {
            assert_eq!(count(id), 0, "payment {id} that was said not to have run");
        }
    }
    let sum = |f: fn(&Seen) -> usize| seen.iter().map(f).sum::<usize>();
    println!(
        "term {}, acknowledged {}, not run {}, unknown {}, reads {}, from replicas {}",
        fixture.group.slot(fixture.primary()).status().term,
        sum(|s| s.acknowledged.len()),
        sum(|s| s.not_run.len()),
        sum(|s| s.unknown),
        sum(|s| s.reads),
        sum(|s| s.from_replica)
    );
    assert!(
        sum(|s| s.acknowledged.len()) > 100,
        "too little was done to prove anything"
    );
}

//! Streams, failover and handover, one at a time.

use crate::fixture::{Fixture, wait_until};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use wasabiyard_model::{LogPoint, NotRun, OutcomeUnknown};
use wasabiyard_platform::{GroupState, OutOfService, SlotState};
use wasabiyard_standin::group::{Role, SlotFaults};
use wasabiyard_wire::{ReadBound, StreamMessage, StreamOutcome};

fn start() -> Fixture {
    Fixture::start(3, SlotFaults::default())
}

/// Guards against a write that is not visible, or answered without its position.
#[test]
fn write_is_committed_and_read_back() {
    let fixture = start();
    let point = fixture.write("zoo-riga", "INSERT INTO kv VALUES ('pass-1', 'paid')");
    assert_eq!(point, LogPoint::new(1, 1));
    let answer = fixture.call(
        "zoo-riga",
        ReadBound::Primary,
        "SELECT value FROM kv WHERE key = 'pass-1'",
    );
    assert!(answer.text.contains("paid"), "{answer:?}");
    let complete = StreamOutcome::Complete {
        commit: None,
        from_replica: false,
    };
    assert_eq!(answer.ending, complete);
}

/// Guards against transactions of two callers that mix, also when they take turns on reused connections.
#[test]
fn transactions_of_two_callers_never_mix() {
    let fixture = start();
    for round in 0..20 {
        let one = fixture.open("zoo-riga", ReadBound::Primary, 5_000);
        let two = fixture.open("zoo-liepaja", ReadBound::Primary, 5_000);
        one.send(&format!("BEGIN; INSERT INTO kv VALUES ('k', 'riga-{round}')"));
        two.send(&format!("BEGIN; INSERT INTO kv VALUES ('k', 'liepaja-{round}')"));
        one.batch();
        two.batch();
        one.send("SELECT value FROM kv WHERE key = 'k'");
        two.send("SELECT value FROM kv WHERE key = 'k'");
        let (riga, liepaja) = (one.batch(), two.batch());
        assert!(riga.contains(&format!("riga-{round}")), "{riga}");
        assert!(liepaja.contains(&format!("liepaja-{round}")), "{liepaja}");
        one.send("COMMIT");
        two.send("ROLLBACK");
        assert!(matches!(
            one.finish().ending,
            StreamOutcome::Complete { commit: Some(_), .. }
        ));
        assert!(matches!(
            two.finish().ending,
            StreamOutcome::Complete { commit: None, .. }
        ));
    }
    let answer = fixture.call("zoo-liepaja", ReadBound::Primary, "SELECT count(*) FROM kv");
    assert!(
        answer.text.contains("SELECT 1") && answer.text.contains('0'),
        "{answer:?}"
    );
}

/// Guards against a transaction that goes on, or a connection that is reused, after its caller is gone.
#[test]
fn abandoned_transaction_is_rolled_back() {
    let fixture = start();
    let caller = fixture.open("zoo-riga", ReadBound::Primary, 5_000);
    caller.send("BEGIN; INSERT INTO kv VALUES ('k', 'abandoned')");
    caller.batch();
    caller
        .end
        .tx
        .send_blocking(StreamMessage::Abandon(caller.id))
        .expect("open");
    for _ in 0..5 {
        let answer = fixture.call("zoo-riga", ReadBound::Primary, "SELECT value FROM kv");
        assert!(!answer.text.contains("abandoned"), "{answer:?}");
        assert!(
            matches!(answer.ending, StreamOutcome::Complete { .. }),
            "{answer:?}"
        );
    }
}

/// Guards against a false *not run* after bytes have left.
#[test]
fn connection_lost_in_mid_statement_gives_outcome_unknown() {
    let fixture = start();
    let caller = fixture.open("zoo-riga", ReadBound::Primary, 5_000);
    caller.send("SELECT sleep(3000)");
    wait_until("the statement", || {
        matches!(caller.end.rx.try_recv(), Ok(StreamMessage::Credit(..)))
    });
    std::thread::sleep(Duration::from_millis(100));
    fixture.faults(0, |f| f.down = true);
    let answer = caller.finish();
    assert_eq!(
        answer.ending,
        StreamOutcome::OutcomeUnknown(OutcomeUnknown::ConnectionLost)
    );
}

/// Guards against a silent connection that keeps a caller waiting for ever, and against its reuse.
#[test]
fn silent_connection_ends_at_the_deadline() {
    let fixture = start();
    fixture.write("zoo-riga", "INSERT INTO kv VALUES ('k', 'v')");
    fixture.faults(0, |f| f.silence += 1);
    let caller = fixture.open("zoo-riga", ReadBound::Primary, 300);
    caller.send("SELECT value FROM kv");
    assert_eq!(
        caller.finish().ending,
        StreamOutcome::OutcomeUnknown(OutcomeUnknown::Deadline)
    );
    let answer = fixture.call("zoo-riga", ReadBound::Primary, "SELECT value FROM kv");
    assert!(
        matches!(answer.ending, StreamOutcome::Complete { .. }),
        "{answer:?}"
    );
}

/// Guards against an acknowledgement without a majority.
#[test]
fn write_without_a_majority_is_not_acknowledged() {
    let fixture = start();
    fixture.faults(1, |f| f.partition = true);
    fixture.faults(2, |f| f.partition = true);
    let caller = fixture.open("zoo-riga", ReadBound::Primary, 500);
    caller.send("INSERT INTO ledger VALUES ('p-1', 10)");
    let answer = caller.finish();
    assert_eq!(
        answer.ending,
        StreamOutcome::OutcomeUnknown(OutcomeUnknown::NotReplicated)
    );
    assert!(
        !answer.text.contains("INSERT"),
        "the end of the answer was passed on: {answer:?}"
    );
    fixture.faults(1, |f| f.partition = false);
    fixture.write("zoo-riga", "INSERT INTO ledger VALUES ('p-2', 10)");
}

/// Guards against a large answer that is buffered whole or cut.
#[test]
fn large_answer_flows_under_credit() {
    let fixture = start();
    let caller = fixture.open("zoo-riga", ReadBound::Primary, 5_000);
    caller.send("SELECT generate_series(1, 100000)");
    std::thread::sleep(Duration::from_millis(200));
    let waiting: usize = std::iter::from_fn(|| caller.end.rx.try_recv().ok())
        .map(|m| {
            if let StreamMessage::Data(_, data) = m {
                data.len()
            } else {
                0
            }
        })
        .sum();
    assert!(
        waiting <= wasabiyard_wire::INITIAL_CREDIT_BYTES as usize,
        "{waiting} bytes without credit"
    );
    let credit = StreamMessage::Credit(caller.id, waiting as u32);
    caller.end.tx.send_blocking(credit).expect("open");
    let answer = caller.finish();
    assert!(answer.text.ends_with("SELECT 100000ZI"), "{:?}", answer.ending);
}

/// Guards against requests that fail, or a healthy primary that is replaced, because a slot takes fewer connections
/// than the group states, as while two homes overlap.
#[test]
fn full_slots_slow_callers_down_only() {
    let fixture = start();
    fixture.faults(0, |f| f.cap = 3);
    for _ in 0..4 {
        let callers: Vec<_> = (0..24)
            .map(|_| fixture.open("zoo-riga", ReadBound::Primary, 10_000))
            .collect();
        for caller in &callers {
            caller.send("SELECT sleep(20)");
        }
        for caller in callers {
            let answer = caller.finish();
            assert!(
                matches!(answer.ending, StreamOutcome::Complete { .. }),
                "{answer:?}"
            );
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(fixture.group.slot(0).status().role, Role::Primary);
}

/// Guards against a read of a replica that has not reached the session's position.
#[test]
fn read_falls_back_until_a_slot_proves_the_position() {
    let fixture = start();
    let point = fixture.write("zoo-riga", "INSERT INTO kv VALUES ('k', 'old')");
    let bound = ReadBound::AtLeast(point);
    let answer = fixture.call("zoo-riga", bound, "SELECT value FROM kv");
    let StreamOutcome::Complete { from_replica, .. } = answer.ending else {
        panic!("{answer:?}")
    };
    assert!(from_replica && answer.text.contains("old"), "{answer:?}");
    for slot in [1, 2] {
        fixture.faults(slot, |f| f.apply_lag_ms = 60_000);
    }
    let point = fixture.write("zoo-riga", "INSERT INTO kv VALUES ('k', 'new')");
    let answer = fixture.call("zoo-riga", ReadBound::AtLeast(point), "SELECT value FROM kv");
    assert!(
        answer.text.contains("new") && !answer.text.contains("old"),
        "{answer:?}"
    );
    let complete = StreamOutcome::Complete {
        commit: None,
        from_replica: false,
    };
    assert_eq!(answer.ending, complete);
}

/// Guards against a read that fails because one replica is silent, and against a write on a route for reads that is
/// sent to several slots.
#[test]
fn silent_replicas_do_not_fail_reads() {
    let fixture = start();
    let point = fixture.write("zoo-riga", "INSERT INTO kv VALUES ('k', 'v')");
    fixture.call("zoo-riga", ReadBound::AtLeast(point), "SELECT value FROM kv");
    for slot in [1, 2] {
        fixture.faults(slot, |f| f.freeze = true);
    }
    for _ in 0..3 {
        let caller = fixture.open("zoo-riga", ReadBound::AtLeast(point), 2_000);
        caller.send("SELECT value FROM kv");
        let answer = caller.finish();
        assert!(
            matches!(answer.ending, StreamOutcome::Complete { .. }),
            "{answer:?}"
        );
        fixture.faults(1, |f| f.freeze = false);
    }
    let answer = fixture.call(
        "zoo-riga",
        ReadBound::AtLeast(point),
        "INSERT INTO ledger VALUES ('p', 1)",
    );
    assert!(
        matches!(answer.ending, StreamOutcome::Complete { commit: Some(_), .. }),
        "{answer:?}"
    );
}

/// Guards against data that is older than the route allows.
#[test]
fn aged_read_waits_for_a_proof() {
    let fixture = start();
    fixture.write("zoo-riga", "INSERT INTO kv VALUES ('k', 'v')");
    let answer = fixture.call("zoo-riga", ReadBound::AgeMillis(5_000), "SELECT value FROM kv");
    assert!(
        matches!(answer.ending, StreamOutcome::Complete { .. }),
        "{answer:?}"
    );
    // Without a majority nothing newer than the last confirmed sample can be proved.
    for slot in [1, 2] {
        fixture.faults(slot, |f| f.down = true);
    }
    std::thread::sleep(Duration::from_millis(500));
    let caller = fixture.open("zoo-riga", ReadBound::AgeMillis(100), 500);
    caller.send("SELECT value FROM kv");
    assert_eq!(
        caller.finish().ending,
        StreamOutcome::NotRun(NotRun::AgeNotProved)
    );
}

/// Guards against a group that stays without a primary, against a lost write, and against a fenced old primary that
/// still gets writes acknowledged.
#[test]
fn frozen_primary_is_replaced_and_cannot_acknowledge() {
    let fixture = start();
    fixture.write("zoo-riga", "INSERT INTO ledger VALUES ('p-1', 10)");
    fixture.faults(0, |f| f.freeze = true);
    let start = Instant::now();
    let waiting = fixture.open("zoo-riga", ReadBound::Primary, 15_000);
    // This statement may be sent to the frozen slot, or wait for the next primary.
    waiting.send("INSERT INTO ledger VALUES ('p-2', 10)");
    wait_until("a promotion", || {
        (1..3).any(|s| fixture.group.slot(s).status().role == Role::Primary)
    });
    let mut ending = fixture
        .call(
            "zoo-riga",
            ReadBound::Primary,
            "INSERT INTO ledger VALUES ('p-3', 10)",
        )
        .ending;
    while !matches!(ending, StreamOutcome::Complete { .. }) {
        ending = fixture
            .call(
                "zoo-riga",
                ReadBound::Primary,
                "INSERT INTO ledger VALUES ('p-3', 10)",
            )
            .ending;
    }
    let gap = start.elapsed();
    assert!(gap < Duration::from_secs(17), "the gap was {gap:?}");
    println!("failover gap {gap:?}");
    fixture.faults(0, |f| f.freeze = false);
    let first = waiting.finish();
    let rows = fixture.call("zoo-riga", ReadBound::Primary, "SELECT id FROM ledger");
    assert!(rows.text.contains("p-1") && rows.text.contains("p-3"), "{rows:?}");
    if matches!(first.ending, StreamOutcome::Complete { .. }) {
        assert!(rows.text.contains("p-2"), "{first:?} {rows:?}");
    }
    wait_until("the publication", || {
        fixture.platform.group().state == GroupState::Stable
    });
    assert!(fixture.platform.group().term > 1);
}

/// Guards against a primary that answers but is cut off from the other slots, so that no write is acknowledged, and
/// against one that acknowledges when it was fenced.
#[test]
fn isolated_primary_is_replaced() {
    let fixture = start();
    fixture.write("zoo-riga", "INSERT INTO ledger VALUES ('p-1', 10)");
    fixture.faults(0, |f| f.partition = true);
    let start = Instant::now();
    let lost = fixture.open("zoo-riga", ReadBound::Primary, 1_000);
    lost.send("INSERT INTO ledger VALUES ('p-2', 10)");
    assert_eq!(
        lost.finish().ending,
        StreamOutcome::OutcomeUnknown(OutcomeUnknown::NotReplicated)
    );
    loop {
        let answer = fixture.call(
            "zoo-riga",
            ReadBound::Primary,
            "INSERT INTO ledger VALUES ('p-3', 10)",
        );
        if matches!(answer.ending, StreamOutcome::Complete { .. }) {
            break;
        }
        assert!(start.elapsed() < Duration::from_secs(17), "{answer:?}");
    }
    println!("gap with an isolated primary {:?}", start.elapsed());
    assert_ne!(fixture.group.slot(0).status().role, Role::Primary);
    let rows = fixture.call("zoo-riga", ReadBound::Primary, "SELECT id FROM ledger");
    assert!(rows.text.contains("p-1") && rows.text.contains("p-3"), "{rows:?}");
}

/// Guards against streams that are cut off when the home of their database moves.
#[test]
fn moved_home_finishes_its_streams() {
    let fixture = start();
    let running = fixture.open("zoo-riga", ReadBound::Primary, 5_000);
    running.send("BEGIN; INSERT INTO kv VALUES ('k', 'v')");
    running.batch();
    fixture.move_home();
    let refused = fixture.call("zoo-riga", ReadBound::Primary, "SELECT 1");
    assert_eq!(refused.ending, StreamOutcome::NotRun(NotRun::NoHome));
    running.send("COMMIT");
    let answer = running.finish();
    assert!(
        matches!(answer.ending, StreamOutcome::Complete { commit: Some(_), .. }),
        "{answer:?}"
    );
}

/// Guards against a promotion that needs the platform.
#[test]
fn primary_is_replaced_while_the_platform_is_down() {
    let fixture = start();
    fixture.write("zoo-riga", "INSERT INTO ledger VALUES ('p-1', 10)");
    fixture.platform.down.store(true, Ordering::Relaxed);
    fixture.faults(0, |f| f.down = true);
    let start = Instant::now();
    let answer = loop {
        let answer = fixture.call(
            "zoo-riga",
            ReadBound::Primary,
            "INSERT INTO ledger VALUES ('p-2', 10)",
        );
        if matches!(answer.ending, StreamOutcome::Complete { .. }) {
            break answer;
        }
        assert!(start.elapsed() < Duration::from_secs(17), "{answer:?}");
    };
    println!(
        "failover gap without the platform {:?}, {answer:?}",
        start.elapsed()
    );
    assert_eq!(fixture.platform.group().term, 1);
    fixture.platform.down.store(false, Ordering::Relaxed);
    wait_until("the publication", || fixture.platform.group().term > 1);
}

/// Guards against a refused write, or a slot that stays primary, when the slot or its failure domain leaves.
#[test]
fn planned_handover_refuses_no_write() {
    let fixture = start();
    for leaving in ["slot", "domain"] {
        let primary = |f: &Fixture| (0..3).find(|s| f.group.slot(*s).status().role == Role::Primary);
        let old = primary(&fixture).expect("a primary");
        let mut object = fixture.platform.group();
        let mut out = OutOfService::default();
        if leaving == "slot" {
            object.slots[old].state = SlotState::Leaving;
        } else {
            out.domains.push(format!("domain-{old}"));
        }
        fixture.publish(&object, out);
        let start = Instant::now();
        while primary(&fixture).is_none_or(|s| s == old) {
            fixture.write("zoo-riga", "INSERT INTO ledger VALUES ('p', 1)");
            assert!(
                start.elapsed() < Duration::from_secs(17),
                "no handover of the {leaving}"
            );
        }
        println!("handover of a {leaving} after {:?}", start.elapsed());
        fixture.write("zoo-riga", "INSERT INTO ledger VALUES ('p', 1)");
    }
}

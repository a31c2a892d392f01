//! Streams, failovers and handovers, each under one fault.

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

/// Guards against a committed write that a later read does not see, or whose outcome lacks its position.
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
    assert_eq!(answer.outcome, complete);
}

/// Guards against mixing the transactions of two organisations, also when connections are reused between them.
#[test]
fn transactions_of_two_callers_never_mix() {
    let fixture = start();
    for round in 0..20 {
        let riga_caller = fixture.open("zoo-riga", ReadBound::Primary, 5_000);
        let liepaja_caller = fixture.open("zoo-liepaja", ReadBound::Primary, 5_000);
        riga_caller.send(&format!("BEGIN; INSERT INTO kv VALUES ('k', 'riga-{round}')"));
        liepaja_caller.send(&format!("BEGIN; INSERT INTO kv VALUES ('k', 'liepaja-{round}')"));
        riga_caller.receive_batch();
        liepaja_caller.receive_batch();
        riga_caller.send("SELECT value FROM kv WHERE key = 'k'");
        liepaja_caller.send("SELECT value FROM kv WHERE key = 'k'");
        let (riga, liepaja) = (riga_caller.receive_batch(), liepaja_caller.receive_batch());
        assert!(riga.contains(&format!("riga-{round}")), "{riga}");
        assert!(liepaja.contains(&format!("liepaja-{round}")), "{liepaja}");
        riga_caller.send("COMMIT");
        liepaja_caller.send("ROLLBACK");
        assert!(matches!(
            riga_caller.receive_to_end().outcome,
            StreamOutcome::Complete { commit: Some(_), .. }
        ));
        assert!(matches!(
            liepaja_caller.receive_to_end().outcome,
            StreamOutcome::Complete { commit: None, .. }
        ));
    }
    let answer = fixture.call("zoo-liepaja", ReadBound::Primary, "SELECT count(*) FROM kv");
    assert!(
        answer.text.contains("SELECT 1") && answer.text.contains('0'),
        "{answer:?}"
    );
}

/// Guards against committing an abandoned transaction, and against reusing its connection with the transaction open.
#[test]
fn abandoned_transaction_is_rolled_back() {
    let fixture = start();
    let caller = fixture.open("zoo-riga", ReadBound::Primary, 5_000);
    caller.send("BEGIN; INSERT INTO kv VALUES ('k', 'abandoned')");
    caller.receive_batch();
    caller
        .endpoint
        .tx
        .send_blocking(StreamMessage::Abandon(caller.id))
        .expect("open");
    for _ in 0..5 {
        let answer = fixture.call("zoo-riga", ReadBound::Primary, "SELECT value FROM kv");
        assert!(!answer.text.contains("abandoned"), "{answer:?}");
        assert!(
            matches!(answer.outcome, StreamOutcome::Complete { .. }),
            "{answer:?}"
        );
    }
}

/// Guards against reporting *not run* after bytes of the request were sent.
#[test]
fn connection_lost_in_mid_statement_gives_outcome_unknown() {
    let fixture = start();
    let caller = fixture.open("zoo-riga", ReadBound::Primary, 5_000);
    caller.send("SELECT sleep(3000)");
    wait_until("credit for the statement", || {
        matches!(caller.endpoint.rx.try_recv(), Ok(StreamMessage::Credit(..)))
    });
    std::thread::sleep(Duration::from_millis(100));
    fixture.change_faults(0, |f| f.down = true);
    let answer = caller.receive_to_end();
    assert_eq!(
        answer.outcome,
        StreamOutcome::OutcomeUnknown(OutcomeUnknown::ConnectionLost)
    );
}

/// Guards against waiting beyond the deadline for a connection that stopped answering, and against reusing it.
#[test]
fn silent_connection_ends_at_the_deadline() {
    let fixture = start();
    fixture.write("zoo-riga", "INSERT INTO kv VALUES ('k', 'v')");
    fixture.change_faults(0, |f| f.silence += 1);
    let caller = fixture.open("zoo-riga", ReadBound::Primary, 300);
    caller.send("SELECT value FROM kv");
    assert_eq!(
        caller.receive_to_end().outcome,
        StreamOutcome::OutcomeUnknown(OutcomeUnknown::Deadline)
    );
    let answer = fixture.call("zoo-riga", ReadBound::Primary, "SELECT value FROM kv");
    assert!(
        matches!(answer.outcome, StreamOutcome::Complete { .. }),
        "{answer:?}"
    );
}

/// Guards against acknowledging a write that no majority of the slots has received.
#[test]
fn write_without_a_majority_is_not_acknowledged() {
    let fixture = start();
    fixture.change_faults(1, |f| f.partition = true);
    fixture.change_faults(2, |f| f.partition = true);
    let caller = fixture.open("zoo-riga", ReadBound::Primary, 500);
    caller.send("INSERT INTO ledger VALUES ('p-1', 10)");
    let answer = caller.receive_to_end();
    assert_eq!(
        answer.outcome,
        StreamOutcome::OutcomeUnknown(OutcomeUnknown::NotReplicated)
    );
    assert!(
        !answer.text.contains("INSERT"),
        "the end of the answer was forwarded: {answer:?}"
    );
    fixture.change_faults(1, |f| f.partition = false);
    fixture.write("zoo-riga", "INSERT INTO ledger VALUES ('p-2', 10)");
}

/// Guards against sending more of a large answer than the credit allows, and against truncating it.
#[test]
fn large_answer_flows_under_credit() {
    let fixture = start();
    let caller = fixture.open("zoo-riga", ReadBound::Primary, 5_000);
    caller.send("SELECT generate_series(1, 100000)");
    std::thread::sleep(Duration::from_millis(200));
    let waiting: usize = std::iter::from_fn(|| caller.endpoint.rx.try_recv().ok())
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
        "{waiting} bytes were sent, more than the initial credit"
    );
    let credit = StreamMessage::Credit(caller.id, waiting as u32);
    caller.endpoint.tx.send_blocking(credit).expect("open");
    let answer = caller.receive_to_end();
    assert!(answer.text.ends_with("SELECT 100000ZI"), "{:?}", answer.outcome);
}

/// Guards against failing requests, or replacing a healthy primary, when a slot accepts fewer connections than the
/// group object states. This happens while the old and the new home of a database both hold connections.
#[test]
fn full_slots_delay_callers_without_failures() {
    let fixture = start();
    fixture.change_faults(0, |f| f.cap = 3);
    for _ in 0..4 {
        let callers: Vec<_> = (0..24)
            .map(|_| fixture.open("zoo-riga", ReadBound::Primary, 10_000))
            .collect();
        for caller in &callers {
            caller.send("SELECT sleep(20)");
        }
        for caller in callers {
            let answer = caller.receive_to_end();
            assert!(
                matches!(answer.outcome, StreamOutcome::Complete { .. }),
                "{answer:?}"
            );
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(fixture.group.slot(0).status().role, Role::Primary);
}

/// Guards against reading from a replica that has not reached the position that the session must see.
#[test]
fn read_falls_back_until_a_slot_proves_the_position() {
    let fixture = start();
    let point = fixture.write("zoo-riga", "INSERT INTO kv VALUES ('k', 'old')");
    let bound = ReadBound::AtLeast(point);
    let answer = fixture.call("zoo-riga", bound, "SELECT value FROM kv");
    let StreamOutcome::Complete { from_replica, .. } = answer.outcome else {
        panic!("{answer:?}")
    };
    assert!(from_replica && answer.text.contains("old"), "{answer:?}");
    for slot in [1, 2] {
        fixture.change_faults(slot, |f| f.apply_lag_ms = 60_000);
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
    assert_eq!(answer.outcome, complete);
}

/// Guards against failing a read because a replica is unresponsive, and against sending a write that arrives on a read
/// route to several slots.
#[test]
fn silent_replicas_do_not_fail_reads() {
    let fixture = start();
    let point = fixture.write("zoo-riga", "INSERT INTO kv VALUES ('k', 'v')");
    fixture.call("zoo-riga", ReadBound::AtLeast(point), "SELECT value FROM kv");
    for slot in [1, 2] {
        fixture.change_faults(slot, |f| f.freeze = true);
    }
    for _ in 0..3 {
        let caller = fixture.open("zoo-riga", ReadBound::AtLeast(point), 2_000);
        caller.send("SELECT value FROM kv");
        let answer = caller.receive_to_end();
        assert!(
            matches!(answer.outcome, StreamOutcome::Complete { .. }),
            "{answer:?}"
        );
        fixture.change_faults(1, |f| f.freeze = false);
    }
    let answer = fixture.call(
        "zoo-riga",
        ReadBound::AtLeast(point),
        "INSERT INTO ledger VALUES ('p', 1)",
    );
    assert!(
        matches!(answer.outcome, StreamOutcome::Complete { commit: Some(_), .. }),
        "{answer:?}"
    );
}

/// Guards against returning data that is older than the route allows.
#[test]
fn aged_read_waits_for_a_proof() {
    let fixture = start();
    fixture.write("zoo-riga", "INSERT INTO kv VALUES ('k', 'v')");
    let answer = fixture.call("zoo-riga", ReadBound::AgeMillis(5_000), "SELECT value FROM kv");
    assert!(
        matches!(answer.outcome, StreamOutcome::Complete { .. }),
        "{answer:?}"
    );
    // Without a majority no newer position sample can be confirmed, so the age of the data cannot be bounded.
    for slot in [1, 2] {
        fixture.change_faults(slot, |f| f.down = true);
    }
    std::thread::sleep(Duration::from_millis(500));
    let caller = fixture.open("zoo-riga", ReadBound::AgeMillis(100), 500);
    caller.send("SELECT value FROM kv");
    assert_eq!(
        caller.receive_to_end().outcome,
        StreamOutcome::NotRun(NotRun::AgeNotProved)
    );
}

/// Guards against a group that stays without a primary after a failure, against lost writes, and against acknowledging
/// writes of an old primary that was fenced.
#[test]
fn frozen_primary_is_replaced_and_cannot_acknowledge() {
    let fixture = start();
    fixture.write("zoo-riga", "INSERT INTO ledger VALUES ('p-1', 10)");
    fixture.change_faults(0, |f| f.freeze = true);
    let start = Instant::now();
    let waiting = fixture.open("zoo-riga", ReadBound::Primary, 15_000);
    // This statement may have been sent to the frozen slot, or wait for the new primary.
    waiting.send("INSERT INTO ledger VALUES ('p-2', 10)");
    wait_until("a promotion", || {
        (1..3).any(|s| fixture.group.slot(s).status().role == Role::Primary)
    });
    let mut outcome = fixture
        .call(
            "zoo-riga",
            ReadBound::Primary,
            "INSERT INTO ledger VALUES ('p-3', 10)",
        )
        .outcome;
    while !matches!(outcome, StreamOutcome::Complete { .. }) {
        outcome = fixture
            .call(
                "zoo-riga",
                ReadBound::Primary,
                "INSERT INTO ledger VALUES ('p-3', 10)",
            )
            .outcome;
    }
    let gap = start.elapsed();
    assert!(
        gap < Duration::from_secs(17),
        "no write succeeded for {gap:?} after the failure"
    );
    println!("first successful write {gap:?} after the failure");
    fixture.change_faults(0, |f| f.freeze = false);
    let first = waiting.receive_to_end();
    let rows = fixture.call("zoo-riga", ReadBound::Primary, "SELECT id FROM ledger");
    assert!(rows.text.contains("p-1") && rows.text.contains("p-3"), "{rows:?}");
    if matches!(first.outcome, StreamOutcome::Complete { .. }) {
        assert!(rows.text.contains("p-2"), "{first:?} {rows:?}");
    }
    wait_until("the publication", || {
        fixture.platform.group().state == GroupState::Stable
    });
    assert!(fixture.platform.group().term > 1);
}

/// Guards against keeping a primary that answers but is cut off from the other slots, so that none of its writes can be
/// acknowledged, and against acknowledging writes of it after it was fenced.
#[test]
fn isolated_primary_is_replaced() {
    let fixture = start();
    fixture.write("zoo-riga", "INSERT INTO ledger VALUES ('p-1', 10)");
    fixture.change_faults(0, |f| f.partition = true);
    let start = Instant::now();
    let lost = fixture.open("zoo-riga", ReadBound::Primary, 1_000);
    lost.send("INSERT INTO ledger VALUES ('p-2', 10)");
    assert_eq!(
        lost.receive_to_end().outcome,
        StreamOutcome::OutcomeUnknown(OutcomeUnknown::NotReplicated)
    );
    loop {
        let answer = fixture.call(
            "zoo-riga",
            ReadBound::Primary,
            "INSERT INTO ledger VALUES ('p-3', 10)",
        );
        if matches!(answer.outcome, StreamOutcome::Complete { .. }) {
            break;
        }
        assert!(start.elapsed() < Duration::from_secs(17), "{answer:?}");
    }
    println!(
        "first successful write {:?} after the primary was isolated",
        start.elapsed()
    );
    assert_ne!(fixture.group.slot(0).status().role, Role::Primary);
    let rows = fixture.call("zoo-riga", ReadBound::Primary, "SELECT id FROM ledger");
    assert!(rows.text.contains("p-1") && rows.text.contains("p-3"), "{rows:?}");
}

/// Guards against aborting streams when the home of their database moves to another instance.
#[test]
fn moved_home_finishes_its_streams() {
    let fixture = start();
    let running = fixture.open("zoo-riga", ReadBound::Primary, 5_000);
    running.send("BEGIN; INSERT INTO kv VALUES ('k', 'v')");
    running.receive_batch();
    fixture.move_home();
    let refused = fixture.call("zoo-riga", ReadBound::Primary, "SELECT 1");
    assert_eq!(refused.outcome, StreamOutcome::NotRun(NotRun::NoHome));
    running.send("COMMIT");
    let answer = running.receive_to_end();
    assert!(
        matches!(answer.outcome, StreamOutcome::Complete { commit: Some(_), .. }),
        "{answer:?}"
    );
}

/// Guards against a promotion that does not complete while the platform is unavailable.
#[test]
fn primary_is_replaced_while_the_platform_is_down() {
    let fixture = start();
    fixture.write("zoo-riga", "INSERT INTO ledger VALUES ('p-1', 10)");
    fixture.platform.down.store(true, Ordering::Relaxed);
    fixture.change_faults(0, |f| f.down = true);
    let start = Instant::now();
    let answer = loop {
        let answer = fixture.call(
            "zoo-riga",
            ReadBound::Primary,
            "INSERT INTO ledger VALUES ('p-2', 10)",
        );
        if matches!(answer.outcome, StreamOutcome::Complete { .. }) {
            break answer;
        }
        assert!(start.elapsed() < Duration::from_secs(17), "{answer:?}");
    };
    println!(
        "first successful write without the platform after {:?}, {answer:?}",
        start.elapsed()
    );
    assert_eq!(fixture.platform.group().term, 1);
    fixture.platform.down.store(false, Ordering::Relaxed);
    wait_until("the publication", || fixture.platform.group().term > 1);
}

/// Guards against refusing a write, or keeping the primary, when its slot or its failure domain leaves service.
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
                "no handover when the {leaving} left service"
            );
        }
        println!("handover from a leaving {leaving} after {:?}", start.elapsed());
        fixture.write("zoo-riga", "INSERT INTO ledger VALUES ('p', 1)");
    }
}

/// Guards against passing on the answer to an earlier statement, which a slot repeats late, for the answer to the next
/// one: answers carry no number, and the connection may serve another organisation by then.
#[test]
fn repeated_answers_are_never_taken_for_the_next() {
    for bound in [ReadBound::Primary, ReadBound::AtLeast(LogPoint::new(1, 1))] {
        let fixture = start();
        fixture.write("zoo-riga", "INSERT INTO kv VALUES ('k', 'v')");
        for slot in 0..3 {
            fixture.change_faults(slot, |f| f.repeat = true);
        }
        for number in 1000..1020 {
            let answer = fixture.call("zoo-riga", bound, &format!("SELECT {number}"));
            if matches!(answer.outcome, StreamOutcome::Complete { .. }) {
                let own = number.to_string();
                assert!(answer.text.contains(&own), "{bound:?} {number}: {answer:?}");
            }
        }
    }
}

/// Guards against the same inside a transaction, where the repeated answer precedes that of the same caller's next
/// statement.
#[test]
fn repeated_answers_inside_a_transaction_are_never_taken_for_the_next() {
    for bound in [ReadBound::Primary, ReadBound::AtLeast(LogPoint::new(1, 1))] {
        let fixture = start();
        fixture.write("zoo-riga", "INSERT INTO kv VALUES ('k', 'v')");
        let caller = fixture.open("zoo-riga", bound, 2_000);
        caller.send("BEGIN");
        caller.receive_batch();
        for slot in 0..3 {
            fixture.change_faults(slot, |f| f.repeat = true);
        }
        for own in ["1001", "2002", "3003"] {
            caller.send(&format!("SELECT {own}"));
            let Some(answer) = caller.receive_batch_or_end() else {
                break;
            };
            assert!(answer.contains(own), "{bound:?} {own}: {answer}");
        }
    }
}

/// Guards against counting a repeated report of an earlier position as the receipt of a later commit.
#[test]
fn repeated_reports_of_a_slot_acknowledge_no_commit() {
    let fixture = start();
    for round in 0..30 {
        for slot in [1, 2] {
            fixture.change_faults(slot, |f| (f.repeat, f.partition) = (false, false));
        }
        wait_until("a commit", || {
            let answer = fixture.call("zoo-riga", ReadBound::Primary, "INSERT INTO kv VALUES ('k', 'v')");
            matches!(answer.outcome, StreamOutcome::Complete { .. })
        });
        // The repeated report has to fall between two polls of the status, whose phase is not known.
        std::thread::sleep(Duration::from_millis(round * 7));
        for slot in [1, 2] {
            fixture.change_faults(slot, |f| f.repeat = true);
        }
        let _any = fixture.call("zoo-riga", ReadBound::Primary, "INSERT INTO kv VALUES ('k', 'w')");
        for slot in [1, 2] {
            fixture.change_faults(slot, |f| f.partition = true);
        }
        let caller = fixture.open("zoo-riga", ReadBound::Primary, 300);
        caller.send("INSERT INTO ledger VALUES ('p-1', 10)");
        let answer = caller.receive_to_end();
        assert!(
            !matches!(answer.outcome, StreamOutcome::Complete { .. }),
            "round {round}: acknowledged without a majority: {answer:?}"
        );
    }
}

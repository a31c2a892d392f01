//! Tests that the history check of a soak run finds violations: each test plants some in an otherwise correct history.

use serde_json::{Value, json};
use std::time::Duration;
use wasabiyard_bench::soak::{Event, Fault, FaultRecord, FinalData, Outcome, Request, check_history};

const KEY: &str = "zoo-1/session-1.0";

fn event(request: Request, outcome: Outcome, sent_ms: u64) -> Event {
    Event {
        organisation: 1,
        service: 0,
        instance: 0,
        request,
        outcome,
        sent: Duration::from_millis(sent_ms),
        ended: Duration::from_millis(sent_ms + 2),
    }
}

fn change(table: &str, key: &str, value: &str) -> Value {
    json!({ "organisation": "zoo-1", "table": table, "key": key, "value": value })
}

fn violated_invariants(events: &[Event], changes: &[Value], faults: &[FaultRecord]) -> Vec<&'static str> {
    let log = json!({ "records": [{ "changes": changes }] });
    let violations = check_history(events, &[FinalData::read(&log)], faults);
    violations.iter().map(|violation| violation.invariant).collect()
}

fn done(rows: &[&str]) -> Outcome {
    Outcome::Done(rows.iter().map(|row| (*row).to_owned()).collect())
}

fn pay(outcome: Outcome) -> Event {
    event(Request::Pay("zoo-1/p-1".to_owned()), outcome, 0)
}

#[test]
fn detects_lost_duplicate_and_misreported_payments() {
    let row = change("ledger", "zoo-1/p-1", "1");
    let not_run = Outcome::NotRun("WN002".to_owned());
    let unknown = Outcome::Unknown("WU003".to_owned());
    assert_eq!(
        violated_invariants(&[pay(done(&[]))], std::slice::from_ref(&row), &[]),
        [""; 0]
    );
    assert_eq!(violated_invariants(&[pay(unknown.clone())], &[], &[]), [""; 0]);
    assert_eq!(violated_invariants(&[pay(not_run.clone())], &[], &[]), [""; 0]);
    assert_eq!(
        violated_invariants(&[pay(done(&[]))], &[], &[]),
        ["an acknowledged payment is present"]
    );
    assert_eq!(
        violated_invariants(&[pay(not_run)], std::slice::from_ref(&row), &[]),
        ["a request reported as not run did not run"]
    );
    assert_eq!(
        violated_invariants(&[pay(unknown)], &[row.clone(), row], &[]),
        ["a payment runs at most once"]
    );
}

#[test]
fn detects_lost_and_duplicate_bookings() {
    let request = Request::Book {
        slot: "zoo-1/slot-1".to_owned(),
        artist: "a".to_owned(),
    };
    let booked = event(request, done(&[]), 0);
    let (mine, other) = (
        change("booking", "zoo-1/slot-1", "a"),
        change("booking", "zoo-1/slot-1", "b"),
    );
    assert_eq!(
        violated_invariants(std::slice::from_ref(&booked), std::slice::from_ref(&mine), &[]),
        [""; 0]
    );
    assert_eq!(
        violated_invariants(std::slice::from_ref(&booked), std::slice::from_ref(&other), &[]),
        ["an acknowledged booking is present"]
    );
    assert_eq!(
        violated_invariants(&[booked], &[mine, other], &[]),
        ["no slot is booked twice"]
    );
}

#[test]
fn detects_stale_mixed_up_and_truncated_reads() {
    let read = |rows: &[&str]| {
        let (key, at_least) = (KEY.to_owned(), 3);
        violated_invariants(&[event(Request::Read { key, at_least }, done(rows), 0)], &[], &[])
    };
    assert_eq!(read(&["zoo-1/session-1.0#3"]), [""; 0]);
    assert_eq!(read(&["zoo-1/session-1.0#2"]), ["a session reads its own writes"]);
    assert_eq!(read(&[]), ["a session reads its own writes"]);
    assert_eq!(
        read(&["zoo-1/session-2.0#9"]),
        ["an answer belongs to its request"]
    );
    let series = event(Request::Series { count: 3 }, done(&["1", "3"]), 0);
    assert_eq!(
        violated_invariants(&[series], &[], &[]),
        ["a caller receives its whole answer"]
    );
}

#[test]
fn detects_reads_beyond_the_staleness_bound() {
    let write = |number, at| {
        let key = KEY.to_owned();
        event(Request::Write { key, number }, done(&[]), at)
    };
    let read = |at| {
        event(
            Request::ReadBoundedStaleness { key: KEY.to_owned() },
            done(&["zoo-1/session-1.0#1"]),
            at,
        )
    };
    assert_eq!(
        violated_invariants(&[write(1, 0), write(2, 100), read(1_500)], &[], &[]),
        [""; 0]
    );
    assert_eq!(
        violated_invariants(&[write(1, 0), write(2, 100), read(9_000)], &[], &[]),
        ["a read respects its staleness bound"]
    );
}

#[test]
fn detects_rows_of_another_organisation() {
    let row = change("kv", "zoo-2/session-1.0", "zoo-2/session-1.0#1");
    assert_eq!(violated_invariants(&[], &[row], &[]), ["transactions never mix"]);
}

#[test]
fn detects_exceeded_rate_limit() {
    let look = |at| event(Request::Series { count: 0 }, done(&[]), at);
    // A rate of 200 per second with a burst of 400 allows 600 statements in one second, but not 700.
    let spread: Vec<Event> = (0..600).map(look).collect();
    assert_eq!(violated_invariants(&spread, &[], &[]), [""; 0]);
    let dense: Vec<Event> = (0..700).map(look).collect();
    assert!(violated_invariants(&dense, &[], &[]).contains(&"no organisation exceeds its rate and burst"));
}

#[test]
fn detects_requests_forbidden_by_the_configuration() {
    let record = |fault| FaultRecord {
        fault,
        from: Duration::from_secs(1),
        to: Duration::from_secs(20),
    };
    let look = |at| event(Request::Series { count: 0 }, done(&[]), at);
    for (fault, invariant) in [
        (Fault::WithdrawKeys(1), "a withdrawn key stops working"),
        (
            Fault::DomainOut(0),
            "a failure domain out of service gets no new work",
        ),
    ] {
        assert_eq!(
            violated_invariants(&[look(3_000), look(21_000)], &[], &[record(fault)]),
            [""; 0]
        );
        assert_eq!(
            violated_invariants(&[look(9_000)], &[], &[record(fault)]),
            [invariant]
        );
    }
}

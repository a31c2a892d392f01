//! Terms, fences, promotion and replication of the group stand-in.

mod common;

use common::{TestGroup, query_row, sqlstate, wait_until};

fn promote(group: &TestGroup, fenced: &[usize], leader: usize, term: u64) {
    for &slot in fenced {
        let answer = query_row(
            &mut group.client(slot),
            &format!("SELECT * FROM group_fence({term}, 'home/1')"),
        );
        assert_eq!(answer[0], "t");
    }
    let sql = format!("SELECT * FROM group_promote({term}, 'home/1')");
    assert_eq!(query_row(&mut group.client(leader), &sql), ["t"]);
}

fn partition(group: &TestGroup, slot: usize, partition: bool) {
    let mut faults = group.group.faults(slot);
    faults.partition = partition;
    group.group.set_faults(slot, faults);
}

/// Guards against a replica that confirms a log point whose record it does not have, or has from another term.
#[test]
fn waits_confirm_only_records_that_the_slot_has() {
    let group = TestGroup::start(3);
    let mut primary = group.client(0);
    primary
        .batch_execute("INSERT INTO kv VALUES ('a', '1')")
        .expect("insert");
    assert_eq!(
        query_row(&mut primary, "SELECT * FROM group_last_commit()"),
        ["1", "1"]
    );
    let mut replica = group.client(1);
    let applied = query_row(&mut replica, "SELECT * FROM group_wait_applied(1, 1, 20000)");
    assert_eq!(applied, ["t", "1", "1"]);
    assert_eq!(
        query_row(&mut replica, "SELECT value FROM kv WHERE key = 'a'"),
        ["1"]
    );
    let received = query_row(&mut replica, "SELECT * FROM group_wait_received(1, 2, 20)");
    assert_eq!(received, ["f", "1", "1"]);
    let other_term = query_row(&mut replica, "SELECT * FROM group_wait_received(2, 1, 20)");
    assert_eq!(other_term[0], "f");
}

/// Guards against a term that is granted to two owners, and against a promotion without the fence.
#[test]
fn a_slot_grants_a_term_to_one_owner() {
    let group = TestGroup::start(1);
    let mut client = group.client(0);
    let mut first_column = |sql: &str| query_row(&mut client, sql)[0].clone();
    assert_eq!(first_column("SELECT * FROM group_fence(2, 'home-a/1')"), "t");
    assert_eq!(first_column("SELECT * FROM group_fence(2, 'home-b/1')"), "f");
    assert_eq!(first_column("SELECT * FROM group_fence(2, 'home-a/1')"), "t");
    assert_eq!(first_column("SELECT * FROM group_fence(1, 'home-a/1')"), "f");
    assert_eq!(first_column("SELECT * FROM group_promote(2, 'home-b/1')"), "f");
    assert_eq!(first_column("SELECT * FROM group_promote(1, 'home-a/1')"), "f");
    assert_eq!(first_column("SELECT * FROM group_promote(2, 'home-a/1')"), "t");
    assert_eq!(
        first_column("SELECT * FROM group_fence(2, 'home-a/1')"),
        "t",
        "the owner may repeat its request"
    );
    assert_eq!(
        query_row(&mut client, "SELECT * FROM group_status()"),
        ["s0", "primary", "2", "2", "0", "0", "1:0,2:0"]
    );
}

/// Guards against a primary that commits after it was fenced, here a transaction that began before the fence.
#[test]
fn a_fenced_primary_refuses_the_commit() {
    let group = TestGroup::start(2);
    let mut client = group.client(0);
    client
        .batch_execute("BEGIN; INSERT INTO ledger VALUES ('p-1', 5)")
        .expect("the slot is still the primary");
    query_row(&mut group.client(0), "SELECT * FROM group_fence(2, 'home/1')");
    let error = client
        .batch_execute("COMMIT")
        .expect_err("the slot is no longer the primary");
    assert_eq!(sqlstate(&error), "25006");
    assert_eq!(query_row(&mut client, "SELECT count(*) FROM ledger"), ["0"]);
}

/// Guards against records that a deposed primary committed on its own and that stay in its log or its tables after it
/// rejoins the group as a replica.
#[test]
fn a_deposed_primary_truncates_its_log_and_follows() {
    let group = TestGroup::start(3);
    let mut old = group.client(0);
    old.batch_execute("INSERT INTO kv VALUES ('shared', '1')")
        .expect("insert");
    for slot in [1, 2] {
        let reached = query_row(
            &mut group.client(slot),
            "SELECT * FROM group_wait_applied(1, 1, 20000)",
        );
        assert_eq!(reached[0], "t");
    }
    partition(&group, 0, true);
    promote(&group, &[1, 2], 1, 2);
    old.batch_execute("INSERT INTO kv VALUES ('lost', '1'); INSERT INTO kv VALUES ('lost-too', '1')")
        .expect("the deposed primary accepts writes until it learns of the new term");
    old.batch_execute("INSERT INTO kv VALUES ('shared', 'overwritten')")
        .expect("insert");
    let mut new = group.client(1);
    new.batch_execute("INSERT INTO kv VALUES ('new', '2')")
        .expect("insert");
    assert_eq!(
        query_row(&mut old, "SELECT * FROM group_status()")[1..5],
        ["primary", "1", "1", "3"]
    );

    partition(&group, 0, false);
    let reached = query_row(&mut old, "SELECT * FROM group_wait_applied(2, 2, 20000)");
    assert_eq!(reached[0], "t");
    assert_eq!(
        query_row(&mut old, "SELECT * FROM group_status()"),
        ["s0", "replica", "2", "2", "2", "2", "1:0,2:1"]
    );
    assert_eq!(query_row(&mut old, "SELECT count(*) FROM kv"), ["2"]);
    assert_eq!(
        query_row(&mut old, "SELECT value FROM kv WHERE key = 'shared'"),
        ["1"]
    );
    let error = old
        .batch_execute("INSERT INTO kv VALUES ('a', 'b')")
        .expect_err("replica");
    assert_eq!(sqlstate(&error), "25006");
}

/// Guards against an apply lag without effect, with which tests of stale reads would pass without testing anything.
#[test]
fn apply_lag_delays_reads_on_a_replica() {
    let group = TestGroup::start(2);
    let mut faults = group.group.faults(1);
    faults.apply_lag_ms = 3_600_000;
    group.group.set_faults(1, faults);
    group
        .client(0)
        .batch_execute("INSERT INTO kv VALUES ('a', '1')")
        .expect("insert");
    let mut replica = group.client(1);
    wait_until("the replica to receive the record", || {
        query_row(&mut replica, "SELECT * FROM group_status()")[4] == "1"
    });
    assert_eq!(query_row(&mut replica, "SELECT count(*) FROM kv"), ["0"]);
    promote(&group, &[0, 1], 1, 2);
    assert_eq!(
        query_row(&mut replica, "SELECT count(*) FROM kv"),
        ["1"],
        "a promotion applies all received records"
    );
}

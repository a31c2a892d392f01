//! Statements, logins and connection faults of the group stand-in over the `PostgreSQL` protocol.

mod common;

use common::{TestGroup, query_row, sqlstate, wait_until};
use std::time::{Duration, Instant};

/// Guards against statements that read data of another organisation.
#[test]
fn organisations_see_only_their_own_rows() {
    let group = TestGroup::start(1);
    let mut client = group.client(0);
    client
        .batch_execute(
            "INSERT INTO kv VALUES ('pass-1', 'paid'); SET wasabiyard.organisation = 'zoo-daugavpils'",
        )
        .expect("insert");
    assert_eq!(query_row(&mut client, "SELECT count(*) FROM kv"), ["0"]);
    client.batch_execute("DISCARD ALL").expect("discard");
    assert_eq!(query_row(&mut client, "SELECT count(*) FROM kv"), ["0"]);
}

/// Guards against wrong parameter types in the extended query protocol.
#[test]
fn extended_queries_take_text_and_integer_parameters() {
    let group = TestGroup::start(1);
    let mut client = group.client(0);
    client
        .execute(
            "INSERT INTO ledger (amount, id) VALUES ($1, $2)",
            &[&1500_i64, &"p-1"],
        )
        .expect("insert");
    let statement = client
        .prepare("SELECT id, amount FROM ledger WHERE id = $1")
        .expect("prepare");
    for _ in 0..2 {
        let row = client.query_one(&statement, &[&"p-1"]).expect("select");
        assert_eq!((row.get::<_, &str>(0), row.get::<_, i64>(1)), ("p-1", 1500));
    }
    let rows = client
        .query("SELECT generate_series(1, $1)", &[&100_000_i32])
        .expect("series");
    assert_eq!(rows.len(), 100_000);
    assert_eq!(rows[99_999].get::<_, i32>(0), 100_000);
}

/// Guards against reads of uncommitted data, and against a failed transaction that is partly committed.
#[test]
fn transactions_are_isolated_and_atomic() {
    let group = TestGroup::start(1);
    let (mut one, mut two) = (group.client(0), group.client(0));
    let mut transaction = one.transaction().expect("begin");
    transaction
        .batch_execute("INSERT INTO booking VALUES ('sat-10', 'Aiko')")
        .expect("insert");
    assert_eq!(query_row(&mut two, "SELECT count(*) FROM booking"), ["0"]);
    transaction.commit().expect("commit");
    let error = two
        .batch_execute(
            "BEGIN; INSERT INTO kv VALUES ('a', 'b'); INSERT INTO booking VALUES ('sat-10', 'Ren')",
        )
        .expect_err("the slot is taken");
    assert_eq!(sqlstate(&error), "23505");
    let error = two.batch_execute("SELECT 1").expect_err("the block failed");
    assert_eq!(sqlstate(&error), "25P02");
    two.batch_execute("COMMIT").expect("COMMIT ends the failed block");
    assert_eq!(query_row(&mut two, "SELECT count(*) FROM kv"), ["0"]);
    assert_eq!(query_row(&mut two, "SELECT artist FROM booking"), ["Aiko"]);
}

/// Guards against a replica that accepts writes, and against a login with a wrong password.
#[test]
fn replicas_refuse_writes_and_wrong_passwords() {
    let group = TestGroup::start(2);
    let error = group
        .client(1)
        .batch_execute("INSERT INTO kv VALUES ('a', 'b')")
        .expect_err("s1 is a replica");
    assert_eq!(sqlstate(&error), "25006");
    let error = group
        .connect(0, "the caller's key")
        .err()
        .expect("wrong password");
    assert_eq!(sqlstate(&error), "28P01");
}

/// Guards against a `CancelRequest` that does not end the running statement or breaks its connection.
#[test]
fn cancel_ends_a_running_statement() {
    let group = TestGroup::start(1);
    let mut client = group.client(0);
    let token = client.cancel_token();
    let started = Instant::now();
    let canceller = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(300));
        token
            .cancel_query(postgres::NoTls)
            .expect("the cancel request is sent");
    });
    let error = client
        .batch_execute("SELECT sleep(60000)")
        .expect_err("cancelled");
    assert_eq!(sqlstate(&error), "57014");
    assert!(started.elapsed() < Duration::from_secs(50));
    canceller.join().expect("no panic");
    client
        .batch_execute("SELECT 1")
        .expect("the connection still works");
}

/// Guards against faults without effect: the connection limit, the silence of open connections and the end of all
/// connections when the slot goes down.
#[test]
fn connection_faults_take_effect() {
    let group = TestGroup::start(1);
    let mut first = group.client(0);
    let mut faults = group.group.faults(0);
    faults.cap = 2;
    faults.silence = 1;
    group.group.set_faults(0, faults);
    let waiting = std::thread::spawn(move || first.batch_execute("SELECT 1").is_ok());
    let mut second = group.client(0);
    let error = group
        .connect(0, "secret")
        .err()
        .expect("the connection limit is reached");
    assert_eq!(sqlstate(&error), "53300");
    second.batch_execute("SELECT 1").expect("new connections work");
    assert!(!waiting.is_finished());
    faults.down = true;
    group.group.set_faults(0, faults);
    wait_until("the second connection to be closed", || {
        second.batch_execute("SELECT 1").is_err()
    });
}

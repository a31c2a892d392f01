//! Sessions of callers: transactions, batches of extended query messages, failures and termination.

mod entry_fixture;

use entry_fixture::{Client, Fixture, frame, snapshot, startup};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use wasabiyard_wire::ReadBound;
use wasabiyardd::counters::{self, Counter};
use wasabiyardd::snapshot::{AdmissionState, Snapshot};

fn parse(name: &str, sql: &str) -> Vec<u8> {
    frame(b'P', format!("{name}\0{sql}\0\0\0").as_bytes())
}

fn bind(name: &str) -> Vec<u8> {
    frame(b'B', format!("\0{name}\0\0\0\0\0\0\0").as_bytes())
}

fn batch(messages: &[Vec<u8>]) -> Vec<u8> {
    [messages.concat(), frame(b'S', b"")].concat()
}

fn execute() -> Vec<u8> {
    frame(b'E', &[0; 5])
}

/// Guards against a read that misses a write of its own session because the token lost the position of the write.
#[test]
fn token_advances_with_each_write_and_bounds_the_next_read() {
    let fixture = Fixture::new();
    let mut client = fixture.login("pay");
    client.query("INSERT a");
    let token = client.parameters["wasabiyard.session"].clone();
    assert_eq!(
        client.query("SHOW wasabiyard.session").rows,
        std::slice::from_ref(&token)
    );
    client.query("INSERT b");
    assert_ne!(client.parameters["wasabiyard.session"], token);
    let options = format!("-c wasabiyard.route=gate -c wasabiyard.session={token}");
    let mut resumed =
        Client::login(fixture.address, "zoo", "key-zoo", "membership", &options).expect("a session");
    resumed.query("SELECT 1");
    let opens = fixture.home.opens.lock().expect("lock").clone();
    let bounds: Vec<_> = opens.iter().map(|open| open.bound).collect();
    let first = wasabiyard_model::LogPoint::new(1, 1);
    assert_eq!(
        bounds,
        [ReadBound::Primary, ReadBound::Primary, ReadBound::AtLeast(first)]
    );
}

/// Guards against a read from a replica for a caller that presented no token, which could miss what the caller wrote
/// through another connection.
#[test]
fn only_a_caller_with_a_token_reads_from_replicas_before_its_first_write() {
    let fixture = Fixture::new();
    let mut client = fixture.login("gate");
    client.query("SELECT 1");
    let token = client.query("SHOW wasabiyard.session").rows.concat();
    client.query(&format!("SET wasabiyard.session = '{token}'"));
    client.query("SELECT 1");
    client.query("RESET wasabiyard.session");
    client.query("SELECT 1");
    let opens = fixture.home.opens.lock().expect("lock").clone();
    let bounds: Vec<_> = opens.iter().map(|open| open.bound).collect();
    let any = ReadBound::AtLeast(wasabiyard_model::LogPoint::default());
    assert_eq!(bounds, [ReadBound::Primary, any, ReadBound::Primary]);
}

/// Guards against a transaction block that is spread over several streams, or continues after it was lost.
#[test]
fn a_lost_transaction_block_ignores_statements_until_it_ends() {
    let fixture = Fixture::new();
    let mut client = fixture.login("pay");
    assert_eq!(client.query("BEGIN").status, Some('T'));
    assert_eq!(client.query("SELECT 1").status, Some('T'));
    let lost = client.query("LOSE");
    assert_eq!((lost.error.as_deref(), lost.status), (Some("WU001"), Some('E')));
    let ignored = client.query("INSERT a");
    assert_eq!(
        (ignored.error.as_deref(), ignored.status),
        (Some("25P02"), Some('E'))
    );
    let ended = client.query("COMMIT");
    assert_eq!(
        (ended.tags, ended.status),
        (vec!["ROLLBACK".to_owned()], Some('I'))
    );
    assert_eq!(fixture.home.statements(), ["BEGIN", "SELECT 1", "LOSE"]);
    assert_eq!(fixture.home.opens.lock().expect("lock").len(), 1);
}

/// Guards against a request that runs twice, and against a refusal that a safe retry would have avoided.
#[test]
fn only_refused_and_repeatable_requests_are_sent_again() {
    let fixture = Fixture::new();
    let mut client = fixture.login("pay");
    fixture.home.refusals_left.store(1, Ordering::SeqCst);
    assert_eq!(
        client.query("INSERT a").error,
        None,
        "a refused request is retried"
    );
    assert_eq!(client.query("LOSE").error.as_deref(), Some("WU001"));
    assert_eq!(fixture.home.statements(), ["INSERT a", "LOSE"]);
    // A request on a repeatable route is retried until the budget of ten retries is used up.
    let mut client = fixture.login("again");
    assert_eq!(client.query("LOSE").error.as_deref(), Some("WU001"));
    let sent = fixture.home.statements().len() - 2;
    assert!((2..=11).contains(&sent), "sent {sent} times");
}

/// Guards against a statement that reaches a database although it exceeds the rate, and against a transaction block
/// that cannot end because of the rate.
#[test]
fn rate_refusals_reach_no_home_and_let_blocks_end() {
    let fixture = Fixture::new();
    let mut client = fixture.login("pay");
    client.query("BEGIN");
    fixture.home.rate_exhausted.store(1, Ordering::SeqCst);
    let refused = fixture.login("pay").query("INSERT a");
    assert_eq!(
        (refused.error.as_deref(), refused.status),
        (Some("WN001"), Some('I'))
    );
    assert_eq!(client.query("COMMIT").error, None);
    assert_eq!(fixture.home.statements(), ["BEGIN", "COMMIT"]);
}

/// Guards against statements that run one by one because the BEGIN sent in front of them was refused.
#[test]
fn statements_pipelined_after_a_refused_begin_do_not_run() {
    let fixture = Fixture::new();
    let mut client = fixture.login("pay");
    fixture.home.rate_exhausted.store(1, Ordering::SeqCst);
    let texts = ["BEGIN\0", "INSERT a\0", "COMMIT\0"];
    client.send(&texts.map(|text| frame(b'Q', text.as_bytes())).concat());
    let begin = client.read_response();
    assert_eq!((begin.error.as_deref(), begin.status), (Some("WN001"), Some('E')));
    assert_eq!(client.read_response().error.as_deref(), Some("25P02"));
    assert_eq!(client.read_response().status, Some('I'));
    // A caller that waits for the response learns of the refusal, so it is not in a block.
    let alone = client.query("BEGIN");
    assert_eq!((alone.error.as_deref(), alone.status), (Some("WN001"), Some('I')));
    assert_eq!(fixture.home.statements(), Vec::<String>::new());
}

/// Guards against an instance that accepts callers while it is out of service, or accepts none after its return.
#[test]
fn callers_port_is_closed_while_out_of_service() {
    let fixture = Fixture::new();
    let mut client = fixture.login("pay");
    fixture.entry.snapshots.publish(Snapshot {
        admission: AdmissionState::OutOfService,
        ..snapshot(1, "key-zoo")
    });
    assert_eq!(client.read_response().error.as_deref(), Some("57P01"));
    wait_until(|| TcpStream::connect(fixture.address).is_err());
    fixture.entry.snapshots.publish(snapshot(1, "key-zoo"));
    wait_until(|| TcpStream::connect(fixture.address).is_ok());
    assert!(fixture.serves_callers());
}

/// Guards against a prepared statement that is missing on the slot connection of a later transaction, and against the
/// completion of a message that the caller did not send.
#[test]
fn prepared_statements_outlive_their_transaction() {
    let fixture = Fixture::new();
    let mut client = fixture.login("pay");
    client.send(&batch(&[parse("s1", "SELECT 1"), frame(b'D', b"Ss1\0")]));
    assert_eq!(client.read_response().types, "1nZ");
    client.send(&batch(&[bind("s1"), execute()]));
    assert_eq!(client.read_response().types, "2CZ");
    assert_eq!(fixture.home.statements(), ["SELECT 1", "SELECT 1"]);
    client.send(&batch(&[parse("s2", "BAD"), bind("s2"), execute()]));
    assert_eq!(client.read_response().types, "EZ");
    client.send(&batch(&[
        parse("s3", "SELECT 3"),
        bind("s1"),
        execute(),
        bind("s3"),
        execute(),
    ]));
    assert_eq!(client.read_response().types, "12C2CZ");
    // The entry answers statements about its own variables with the messages that a database sends.
    let show = parse("", "SHOW wasabiyard.route");
    client.send(&batch(&[show, bind(""), frame(b'D', b"P\0"), execute()]));
    let response = client.read_response();
    assert_eq!(
        (response.types.as_str(), response.rows),
        ("12TDCZ", vec!["pay".to_owned()])
    );
}

/// Guards against responses that are lost, reordered or mixed when the caller sends requests without waiting for them.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let fixture = Fixture::new();
    let mut client = fixture.login("pay");
    let mut bytes = Vec::new();
    for n in 0..200 {
        bytes.extend(frame(b'Q', format!("SELECT {n}\0").as_bytes()));
        bytes.extend(batch(&[parse("", "SELECT x"), bind(""), execute()]));
    }
    client.send(&bytes);
    for n in 0..200 {
        assert_eq!(client.read_response().tags, [format!("SELECT {n}")]);
        assert_eq!(client.read_response().types, "12CZ");
    }
}

/// Guards against unbounded memory: a caller that reads slowly must not make the entry buffer its whole response.
#[test]
fn a_large_answer_waits_for_its_caller() {
    const ROWS: usize = 200_000;
    let fixture = Fixture::new();
    let mut client = fixture.login("pay");
    let before = resident_bytes();
    client.send(&frame(b'Q', format!("ROWS {ROWS}\0").as_bytes()));
    std::thread::sleep(Duration::from_millis(500));
    let grown = resident_bytes().saturating_sub(before);
    assert!(grown < 8 * 1024 * 1024, "the process grew by {grown} bytes");
    let response = client.read_response();
    assert_eq!((response.rows.len(), response.status), (ROWS, Some('I')));
}

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").expect("Linux");
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<usize>().ok());
    pages.expect("a number") * 4_096
}

/// Guards against an error message that is written into the middle of a row.
#[test]
fn a_failure_within_a_message_closes_the_connection() {
    let fixture = Fixture::new();
    let response = fixture.login("pay").query("HALF");
    assert_eq!((response.error, response.status), (None, None));
}

/// Guards against COPY data that is taken for requests, since the entry does not support COPY.
#[test]
fn copy_into_a_table_is_refused() {
    let fixture = Fixture::new();
    let mut client = fixture.login("pay");
    let response = client.query("COPY kv FROM STDIN");
    assert_eq!((response.types.as_str(), response.status), ("EZ", Some('I')));
    client.send(&[frame(b'd', b"1\t2\n"), frame(b'c', b"")].concat());
    assert_eq!(client.query("SELECT 1").error, None);
}

/// Guards against a statement that keeps running after its caller cancelled it or disconnected.
#[test]
fn cancel_and_a_closed_connection_reach_the_home() {
    let fixture = Fixture::new();
    let mut client = fixture.login("pay");
    client.send(&frame(b'Q', b"SILENT\0"));
    let mut other = Client::connect(fixture.address);
    let code = 80_877_102;
    let wrong = [&client.cancel_key[..4], &[0; 4]].concat();
    Client::connect(fixture.address).send(&startup(code, &wrong));
    wait_until(|| fixture.home.statements() == ["SILENT"]);
    assert_eq!(fixture.home.cancelled.load(Ordering::SeqCst), 0);
    other.send(&startup(code, &client.cancel_key));
    assert_eq!(client.read_response().error.as_deref(), Some("57014"));
    client.send(&frame(b'Q', b"SILENT\0"));
    wait_until(|| fixture.home.statements().len() == 2);
    drop(client);
    wait_until(|| fixture.home.abandoned.load(Ordering::SeqCst) == 1);
}

/// Guards against a caller that waits forever for a home that never responds.
#[test]
fn an_unresponsive_home_is_reported_as_outcome_unknown_at_the_deadline() {
    let fixture = Fixture::new();
    let response = fixture.login("pay").query("SILENT");
    assert_eq!(
        (response.error.as_deref(), response.status),
        (Some("WU002"), Some('I'))
    );
}

/// Guards against a withdrawn key that still works, and against a stop of the process that breaks a transaction.
#[test]
fn sessions_end_between_transactions() {
    let fixture = Fixture::new();
    let (mut idle, mut busy) = (fixture.login("pay"), fixture.login("pay"));
    busy.query("BEGIN");
    fixture.entry.snapshots.publish(snapshot(2, "another key"));
    assert_eq!(idle.read_response().error.as_deref(), Some("WN010"));
    assert_eq!(busy.query("INSERT a").error, None);
    let last = busy.query("COMMIT");
    assert_eq!((last.error, last.status), (None, Some('I')));
    assert_eq!(busy.read_response().error.as_deref(), Some("WN010"));
    // A stop of the process ends sessions in the same way.
    fixture.entry.snapshots.publish(snapshot(3, "key-zoo"));
    let (mut idle, mut busy) = (fixture.login("pay"), fixture.login("pay"));
    busy.query("BEGIN");
    fixture.entry.drain_notifier.drain();
    assert_eq!(idle.read_response().error.as_deref(), Some("57P01"));
    assert_eq!(busy.query("COMMIT").error, None);
    assert_eq!(busy.read_response().error.as_deref(), Some("57P01"));
}

/// Guards against an instance that accepts work while it cannot know whether keys are still in force.
#[test]
fn a_cut_off_instance_refuses_statements_and_logins() {
    let fixture = Fixture::new();
    let mut client = fixture.login("pay");
    let refused = counters::get(Counter::NotRun);
    fixture.entry.snapshots.publish(Snapshot {
        admission: AdmissionState::CutOff,
        ..snapshot(1, "key-zoo")
    });
    assert_eq!(client.query("INSERT a").error.as_deref(), Some("WN009"));
    assert!(counters::get(Counter::NotRun) > refused);
    let login = Client::login(
        fixture.address,
        "zoo",
        "key-zoo",
        "membership",
        "-c wasabiyard.route=pay",
    );
    assert_eq!(login.err().as_deref(), Some("WN009"));
    assert_eq!(fixture.home.statements(), Vec::<String>::new());
}

fn wait_until<F>(condition: F)
where
    F: Fn() -> bool,
{
    let deadline = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "the condition did not hold within 20 s"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

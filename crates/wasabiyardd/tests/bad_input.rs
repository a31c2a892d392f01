//! Callers that break the protocol, present wrong credentials or send random bytes.

mod entry_fixture;

use entry_fixture::{Client, Fixture, MAX_MESSAGE, frame, startup};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};
use wasabiyard_model::{LogPoint, NotRun};
use wasabiyard_session::{SessionId, SessionToken};

const SESSION_KEY: &[u8] = b"0123456789abcdef";

fn login_error(fixture: &Fixture, user: &str, key: &str, database: &str, options: &str) -> String {
    let refusal = Client::login(fixture.address, user, key, database, options);
    refusal.err().expect("the login should be refused")
}

fn token(organisation: &str, key: &[u8]) -> String {
    let mut token = SessionToken::empty(organisation, SessionId::random(&mut SmallRng::seed_from_u64(1)));
    token.advance("riga-1", LogPoint::new(3, 77));
    token.encode(key)
}

/// Guards against a login that succeeds with wrong credentials or names, or fails without the SQLSTATE of the reason.
#[test]
fn wrong_credentials_and_names_are_rejected_with_an_sqlstate() {
    let fixture = Fixture::new();
    let route = "-c wasabiyard.route=pay";
    assert_eq!(
        login_error(&fixture, "zoo", "key-other", "membership", route),
        "28P01"
    );
    assert_eq!(login_error(&fixture, "zoo", "", "membership", route), "28P01");
    assert_eq!(
        login_error(&fixture, "nobody", "key-zoo", "membership", route),
        "28P01"
    );
    assert_eq!(login_error(&fixture, "zoo", "key-zoo", "nothing", route), "3D000");
    assert_eq!(
        login_error(&fixture, "zoo", "key-zoo", "membership", "-c wasabiyard.route=no"),
        "WN007"
    );
    assert_eq!(
        login_error(&fixture, "zoo", "key-zoo", "membership", "-c work_mem=1"),
        "42704"
    );
    assert_eq!(
        login_error(&fixture, "zoo", "key-zoo", "membership", "-c"),
        "08P01"
    );
    // A route that allows anonymous callers needs no key, but gives no access to other routes.
    let mut open = Client::login(fixture.address, "", "", "membership", "-c wasabiyard.route=gate")
        .expect("the route allows anonymous callers");
    assert_eq!(open.query("SELECT 1").error, None);
    assert_eq!(open.query("SET wasabiyard.route = 'pay'").error, None);
    assert_eq!(open.query("SELECT 1").error.as_deref(), Some("WN015"));
    assert!(fixture.serves_callers());
}

/// Guards against forged tokens, with which a session may not see its own writes, and against tokens that continue the
/// session of another organisation.
#[test]
fn forged_and_foreign_session_tokens_are_refused() {
    let fixture = Fixture::new();
    let with = |token: &str| format!("-c wasabiyard.route=pay -c wasabiyard.session={token}");
    let good = token("zoo", SESSION_KEY);
    let mut forged = good.clone();
    forged.replace_range(10..11, if &good[10..11] == "A" { "B" } else { "A" });
    let bad = [
        "x",
        "%%%%",
        &good[..20],
        &forged,
        &token("other", SESSION_KEY),
        &token("zoo", b"k"),
    ];
    for text in bad {
        assert_eq!(
            login_error(&fixture, "zoo", "key-zoo", "membership", &with(text)),
            "WN008",
            "{text}"
        );
        let mut client = fixture.login("pay");
        let response = client.query(&format!("SET wasabiyard.session = '{text}'"));
        assert_eq!(response.error.as_deref(), Some("WN008"), "{text}");
        assert_eq!(client.query("SELECT 1").error, None);
    }
    Client::login(fixture.address, "zoo", "key-zoo", "membership", &with(&good)).expect("a good token");
}

/// Guards against a caller that leaves its organisation: slots separate organisations by the variable
/// `wasabiyard.organisation`, so no statement of a caller may change it.
#[test]
fn statements_that_could_change_the_organisation_do_not_reach_the_home() {
    let fixture = Fixture::new();
    let mut client = fixture.login("pay");
    let texts = [
        "SET wasabiyard.organisation = 'other'",
        "SELECT 1; SET Wasabiyard.Organisation = 'other'",
        "SELECT set_config('x', 'other', false)",
        "SET U&\"\\0077asabiyard\".organisation = 'other'",
        "DISCARD ALL",
        "SELECT 1; /* c */ RESET ALL",
    ];
    for text in texts {
        assert_eq!(client.query(text).error.as_deref(), Some("42501"), "{text}");
        let batch = [
            frame(b'P', format!("\0{text}\0\0\0").as_bytes()),
            frame(b'B', &[0; 8]),
            frame(b'E', &[0; 5]),
            frame(b'S', b""),
        ];
        client.send(&batch.concat());
        assert!(client.read_response().error.is_some(), "{text}");
    }
    assert_eq!(fixture.home.statements(), Vec::<String>::new());
    assert_eq!(client.query("INSERT reset and discard as data").error, None);
}

/// Guards against memory that a caller can claim with the length in a header, and against overflow of that length.
#[test]
fn oversized_and_unknown_messages_end_the_connection_with_an_error() {
    let fixture = Fixture::new();
    let cases: [(Vec<u8>, &str); 6] = [
        (
            frame(b'Q', &vec![b' '; MAX_MESSAGE]),
            NotRun::BadMessage.sqlstate(),
        ),
        (vec![b'Q', 0xff, 0xff, 0xff, 0xff], NotRun::BadMessage.sqlstate()),
        (vec![b'Q', 0, 0, 0, 3], "08P01"),
        (frame(b'!', b""), "08P01"),
        (frame(b'Q', b"no end"), "08P01"),
        (frame(b'P', b"a\0b\0\xff\xff"), "08P01"),
    ];
    for (bytes, sqlstate) in cases {
        let mut client = fixture.login("pay");
        client.send(&bytes);
        let response = client.read_response();
        assert_eq!(response.error.as_deref(), Some(sqlstate), "{:?}", &bytes[..5]);
        assert_eq!(response.status, None, "the connection ends");
    }
    assert_eq!(fixture.home.statements(), Vec::<String>::new());
}

/// Guards against a panic, or a task that is never released, when a caller disconnects in the middle of a message.
#[test]
fn truncated_messages_leak_no_caller_task() {
    let fixture = Fixture::new();
    let login = startup(196_608, b"user\0zoo\0database\0membership\0\0");
    let query = frame(b'Q', b"SELECT 1\0");
    for cut in 0..login.len() {
        Client::connect(fixture.address).send(&login[..cut]);
    }
    for cut in 0..query.len() {
        fixture.login("pay").send(&query[..cut]);
    }
    assert_eq!(fixture.home.statements(), Vec::<String>::new());
    assert!(fixture.serves_callers());
    wait_until_no_callers(&fixture);
}

/// Guards against a panic of the message parsers, at the start of a connection and within a session.
#[test]
fn random_bytes_end_the_connection_and_leak_no_caller_task() {
    let fixture = Fixture::new();
    let mut rng = SmallRng::seed_from_u64(7);
    for round in 0..300 {
        let mut bytes = vec![0; rng.random_range(1..200)];
        rng.fill(bytes.as_mut_slice());
        let mut client = if round % 2 == 0 {
            Client::connect(fixture.address)
        } else {
            fixture.login("pay")
        };
        if round % 4 == 1 {
            // A valid header takes the random bytes to the parsers of message bodies.
            let tag = b"QPBDECHSXpdcf"[rng.random_range(0..13)];
            bytes = frame(tag, &bytes);
        }
        client.send(&bytes);
        drop(client.socket.shutdown(std::net::Shutdown::Write));
        while client.receive().is_some() {}
    }
    assert!(fixture.serves_callers());
    wait_until_no_callers(&fixture);
}

fn wait_until_no_callers(fixture: &Fixture) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while fixture.entry.caller_count() > 0 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(
        fixture.entry.caller_count(),
        0,
        "tasks of callers that were not released"
    );
}

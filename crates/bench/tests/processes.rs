//! End-to-end tests on real processes: the daemons with a standard client library, and the demonstration in the README.

use postgres::{Client, NoTls, SimpleQueryMessage};
use wasabiyard_bench::demo::demo;
use wasabiyard_bench::launcher::{Fleet, FleetSpec};

const API_KEY: &str = "key-of-zoo-riga";

fn connect(fleet: &Fleet, instance: usize, route: &str, session: &str) -> Client {
    let session = if session.is_empty() {
        String::new()
    } else {
        format!(" -c wasabiyard.session={session}")
    };
    let options = format!("-c wasabiyard.route={route}{session}");
    let address = fleet.instances()[instance].callers;
    let mut config = Client::configure();
    config
        .host("127.0.0.1")
        .port(address.port())
        .user("zoo-riga")
        .password(API_KEY);
    config.dbname("membership").options(&options);
    config.connect(NoTls).expect("the library connects")
}

fn session_token(client: &mut Client) -> String {
    let rows = client
        .simple_query("SHOW wasabiyard.session")
        .expect("the instance answers SHOW");
    let text = rows.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    text.expect("a token")
}

/// Guards against protocol deviations that the client of this workspace tolerates but a standard library does not: covers
/// prepared statements, parameters, transactions, errors, and a session that continues on another instance.
#[test]
fn unmodified_client_library_works() {
    let fleet = Fleet::launch(FleetSpec::one_service(2, 1_000)).expect("the processes start");
    let mut writer = connect(&fleet, 0, "renew", "");
    let insert = writer
        .prepare("INSERT INTO kv (key, value) VALUES ($1, $2)")
        .expect("prepared");
    assert_eq!(
        writer.execute(&insert, &[&"family-1", &"2027"]).expect("written"),
        1
    );

    let mut transaction = writer.transaction().expect("begun");
    transaction
        .execute(&insert, &[&"family-2", &"2028"])
        .expect("written");
    transaction.commit().expect("committed");
    let mut transaction = writer.transaction().expect("begun");
    transaction
        .execute(&insert, &[&"family-3", &"2029"])
        .expect("written");
    transaction.rollback().expect("rolled back");

    let refused = writer
        .simple_query("SET wasabiyard.route = 'no-such-route'; ")
        .and_then(|_| writer.simple_query("SELECT value FROM kv WHERE key = 'family-1'"));
    let code = refused
        .expect_err("the route is unknown")
        .code()
        .map(|c| c.code().to_owned());
    assert_eq!(code.as_deref(), Some("WN007"));
    writer
        .simple_query("SET wasabiyard.route = 'renew'")
        .expect("the session goes on");

    let session = session_token(&mut writer);
    let mut reader = connect(&fleet, 1, "gate", &session);
    let select = reader
        .prepare("SELECT value FROM kv WHERE key = $1")
        .expect("prepared");
    let value = |client: &mut Client, key: &str| -> Vec<String> {
        let rows = client.query(&select, &[&key]).expect("read");
        rows.iter().map(|row| row.get(0)).collect()
    };
    assert_eq!(value(&mut reader, "family-1"), ["2027"]);
    assert_eq!(value(&mut reader, "family-2"), ["2028"]);
    assert!(
        value(&mut reader, "family-3").is_empty(),
        "a transaction that was rolled back left a row"
    );
}

/// Guards against a `demo` command, as given in the README, that no longer works.
#[test]
fn demonstration_ends_with_a_read_from_a_replica() {
    let steps = demo(|_| ()).expect("the demonstration succeeds");
    assert!(steps.last().is_some_and(|step| step.result.contains("a replica")));
}

//! A group stand-in whose slots listen on free ports of the test process, and clients for it.

use async_io::Async;
use postgres::{Client, Config, NoTls};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wasabiyard_standin::group::{Credentials, Group, SlotFaults, replicate_slot, serve_slot};
use wasabiyard_standin::runtime;

pub struct TestGroup {
    pub group: Arc<Group>,
    pub addresses: Vec<SocketAddr>,
}

impl TestGroup {
    pub fn start(slots: usize) -> Self {
        let credentials = Credentials {
            user: "proxy".to_owned(),
            password: "secret".to_owned(),
        };
        let group = Arc::new(Group::new(slots, credentials, SlotFaults::default()));
        let ex = runtime::spawn(2).expect("threads start");
        let mut addresses = Vec::new();
        for index in 0..slots {
            let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
            addresses.push(listener.get_ref().local_addr().expect("the listener is bound"));
            ex.spawn(serve_slot(Arc::clone(&ex), Arc::clone(&group), index, listener))
                .detach();
            ex.spawn(replicate_slot(Arc::clone(&group), index)).detach();
        }
        Self { group, addresses }
    }

    pub fn connect(&self, slot: usize, password: &str) -> Result<Client, postgres::Error> {
        Config::new()
            .host("127.0.0.1")
            .port(self.addresses[slot].port())
            .user("proxy")
            .password(password)
            .connect_timeout(Duration::from_secs(10))
            .connect(NoTls)
    }

    pub fn client(&self, slot: usize) -> Client {
        let mut client = self.connect(slot, "secret").expect("login");
        client
            .batch_execute("SET wasabiyard.organisation = 'zoo-riga'")
            .expect("SET works");
        client
    }
}

/// Runs a query and returns its first row as text; NULL becomes the empty text.
pub fn query_row(client: &mut Client, sql: &str) -> Vec<String> {
    let messages = client.simple_query(sql).expect("the query works");
    let row = messages.iter().find_map(|message| match message {
        postgres::SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let row = row.expect("one row");
    (0..row.len())
        .map(|i| row.get(i).unwrap_or("").to_owned())
        .collect()
}

/// Polls until `check` returns true, and panics after 20 seconds. The timeout is far above the usual duration, so that
/// a busy machine does not fail the test.
pub fn wait_until(awaited: &str, mut check: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !check() {
        assert!(Instant::now() < deadline, "timed out waiting for {awaited}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// SQLSTATE of an error that the slot sent.
pub fn sqlstate(error: &postgres::Error) -> &str {
    error.code().map_or("no SQLSTATE", |code| code.code())
}

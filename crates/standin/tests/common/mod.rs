//! A group of slots on free ports of this process, and clients for them.

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
        let ex = runtime::spawn(2).expect("threads");
        let mut addresses = Vec::new();
        for index in 0..slots {
            let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
            addresses.push(listener.get_ref().local_addr().expect("bound"));
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

/// The text columns of the only row.
pub fn row(client: &mut Client, sql: &str) -> Vec<String> {
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

/// Waits until `check` holds. The bound is far above what is needed, so that a busy machine does not matter.
pub fn wait_until(what: &str, mut check: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !check() {
        assert!(Instant::now() < deadline, "{what} did not happen");
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub fn code(error: &postgres::Error) -> &str {
    error.code().map_or("no SQLSTATE", |code| code.code())
}

//! An entry with a scripted home behind it, and a client that sends raw protocol messages.

#![allow(dead_code, reason = "each test file uses a part of the fixture")]

mod client;
mod scripted_home;

pub use client::{Client, frame, startup};
pub use scripted_home::ScriptedHome;

use futures_rustls::TlsAcceptor;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use wasabiyard_model::{Incarnation, InstanceId, KeyDigest, Manifest, NotRun};
use wasabiyardd::entry::{CancelTable, DrainNotifier, Entry, Listener};
use wasabiyardd::link::{Links, LocalPeer, ServeStream};
use wasabiyardd::runtime::Runtime;
use wasabiyardd::settings::Settings;
use wasabiyardd::snapshot::{AdmissionState, Home, Snapshot, SnapshotCell};

pub const MAX_MESSAGE: usize = 4_096;

pub struct Fixture {
    pub entry: Arc<Entry>,
    pub home: Arc<ScriptedHome>,
    pub address: SocketAddr,
    _listener: Listener,
    _runtime: Runtime,
}

pub fn manifest(zoo_key: &str) -> Manifest {
    let key = |key: &str| KeyDigest::compute(b"saltsalt", key.as_bytes());
    let text = format!(
        "[service membership]\ndatabases = riga-1\n\
         [organisation zoo]\nkeys = {}\nrate = 100\nburst = 100\nservices = membership\n\
         [organisation other]\nkeys = {}\nrate = 100\nburst = 100\nservices = membership\n\
         [route pay]\nservice = membership\naccess = write\ntimeout = 2s\n\
         [route again]\nservice = membership\naccess = write\nrepeatable = true\ntimeout = 2s\n\
         [route gate]\nservice = membership\naccess = read\nopen = true\n",
        key(zoo_key),
        key("key-other"),
    );
    Manifest::parse(&text).expect("a valid manifest")
}

pub fn snapshot(version: u64, zoo_key: &str) -> Snapshot {
    let home = Home {
        instance: InstanceId::from("e1"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        local: true,
    };
    Snapshot {
        admission: AdmissionState::Open,
        manifest: Arc::new(manifest(zoo_key)),
        manifest_version: version,
        homes: HashMap::from([("riga-1".to_owned(), home)]),
        session_key: Arc::from(*b"0123456789abcdef"),
        ..Snapshot::default()
    }
}

pub fn settings() -> Settings {
    let text = format!(
        "[instance]\nid = e1\nfailure_domain = a\n\
         [listen]\ncallers = 127.0.0.1:0\n[tls]\nallow_cleartext_keys = true\n\
         [platform]\naddress = 127.0.0.1:1\n[backend]\nuser = u\npassword = p\n\
         [fleet]\nsecret = 0123456789abcdef\n[traffic]\nmax_callers = 50\nmax_message = {MAX_MESSAGE}\n",
    );
    Settings::parse(&text).expect("valid settings")
}

impl Fixture {
    pub fn new() -> Self {
        Self::with(settings(), None)
    }

    pub fn with(settings: Settings, tls: Option<TlsAcceptor>) -> Self {
        let runtime = Runtime::open(2).expect("threads");
        let executor = runtime.executor();
        let settings = Arc::new(settings);
        let home = Arc::new(ScriptedHome::default());
        let serving_home = Arc::clone(&home);
        let serve: ServeStream =
            Arc::new(move |id, open, endpoint| Arc::clone(&serving_home).serve(id, open, endpoint));
        let (control, _) = async_channel::unbounded();
        let local = LocalPeer {
            instance: settings.instance.id.clone(),
            incarnation: Incarnation(1),
            failure_domain: "a".to_owned(),
            address: settings.listen.peers,
            secret: settings.fleet.secret.clone(),
        };
        let snapshots = Arc::new(SnapshotCell::default());
        snapshots.publish(snapshot(1, "key-zoo"));
        let rate_limiting_home = Arc::clone(&home);
        let entry = Arc::new(Entry {
            links: Links::new(local, Arc::clone(&executor), Arc::clone(&serve), control),
            settings,
            snapshots,
            serve_local: serve,
            take_token: Arc::new(move |_, _, _| rate_limiting_home.take_token().ok_or(NotRun::Rate)),
            cancels: Arc::new(CancelTable::default()),
            drain_notifier: Arc::new(DrainNotifier::default()),
            tls,
            executor: Arc::clone(&executor),
            callers: AtomicUsize::new(0),
            requests: AtomicU64::new(0),
        });
        let watched_entry = Arc::clone(&entry);
        executor
            .spawn(async move { watched_entry.drain_notifier.run(&watched_entry.snapshots).await })
            .detach();
        let listener = Listener::open(&entry).expect("a free port");
        Self {
            address: listener.address(),
            entry,
            home,
            _listener: listener,
            _runtime: runtime,
        }
    }

    /// Opens a session of organisation `zoo` on a route.
    pub fn login(&self, route: &str) -> Client {
        Client::login(
            self.address,
            "zoo",
            "key-zoo",
            "membership",
            &format!("-c wasabiyard.route={route}"),
        )
        .expect("a session")
    }

    /// Whether the entry still accepts a caller and answers its statement.
    pub fn serves_callers(&self) -> bool {
        self.login("pay").query("SELECT 1").tags == ["SELECT 1"]
    }
}

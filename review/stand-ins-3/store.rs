//! Stand-in of the platform's metadata store, without its rates and its history.

use crate::http::{self, Call, Reply};
use crate::json::Json;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which a write is carried out whose answer was lost: 1 to 6 s by `platform_lost`.
const LATENESS: Duration = Duration::from_millis(1_300);

#[derive(Debug, Default)]
struct Objects {
    revision: u64,
    by_key: BTreeMap<(String, String), (u64, Json)>,
}

/// A write whose answer is to be lost, and that is done late.
#[derive(Debug, Default)]
struct LateWrite {
    /// Kind and name of the object whose next write with a text in its `spec` is meant.
    armed: Option<(String, String, &'static str)>,
    /// When it arrived.
    arrived: Option<Instant>,
    /// When the instances sent each of their writes.
    all: Vec<Instant>,
}

/// Handle to the store; clones share their content.
#[derive(Debug, Clone, Default)]
pub struct Store {
    objects: Arc<Mutex<Objects>>,
    late: Arc<Mutex<LateWrite>>,
    /// Address of a server in its entry, and the addresses at which the instances reach it.
    own_addresses: Arc<Mutex<HashMap<String, Vec<String>>>>,
}

impl Store {
    /// Lets each instance find an address of its own in the entry of a server, so that the paths can be cut one by one.
    pub fn give_each_its_own(&self, addresses: &[SocketAddr]) {
        let addresses: Vec<_> = addresses.iter().map(SocketAddr::to_string).collect();
        let mut own = self.own_addresses.lock().expect("no panic under this lock");
        own.insert(addresses[0].clone(), addresses);
    }

    /// A document as the instance `node` reads it.
    fn as_read_by(&self, node: usize, document: &mut Json) {
        match document {
            Json::Text(text) => {
                let own = self.own_addresses.lock().expect("no panic under this lock");
                if let Some(addresses) = own.get(text) {
                    text.clone_from(&addresses[node]);
                }
            }
            Json::List(items) => items.iter_mut().for_each(|item| self.as_read_by(node, item)),
            Json::Object(fields) => fields
                .iter_mut()
                .for_each(|(_, value)| self.as_read_by(node, value)),
            _ => {}
        }
    }

    /// Serves the store to the instance `node` on a loopback port.
    pub fn listen(&self, node: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = self.clone();
        http::serve(listener, move |call| {
            let mut reply = store.handle(call);
            if call.path.contains("/servers") {
                store.as_read_by(node, &mut reply.body);
            }
            reply
        });
        Ok(address)
    }

    /// Writes an object without a condition, as the operator and the databases do.
    pub fn write(&self, kind: &str, name: &str, spec: Json) {
        self.lock().set(kind, name, Some(spec));
    }

    /// The `spec` of an object; `Null` if there is none.
    pub fn read(&self, kind: &str, name: &str) -> Json {
        let objects = self.lock();
        let object = objects.by_key.get(&(kind.to_owned(), name.to_owned()));
        object.map_or(Json::Null, |(_, spec)| spec.clone())
    }

    /// Loses the answer to the next write of an object whose `spec` contains `text`, and carries the write out late.
    pub fn delay_write(&self, kind: &str, name: &str, text: &'static str) {
        self.late().armed = Some((kind.to_owned(), name.to_owned(), text));
    }

    /// Number of writes of the instances, without new objects and removals, from half of `span` before `at` to half of it after.
    pub fn writes_about(&self, at: Instant, span: Duration) -> usize {
        let late = self.late();
        let times = late.all.iter();
        times
            .filter(|t| **t + span / 2 >= at && **t <= at + span / 2)
            .count()
    }

    /// When the delayed write arrived.
    pub fn delayed_at(&self) -> Option<Instant> {
        self.late().arrived
    }

    fn late(&self) -> std::sync::MutexGuard<'_, LateWrite> {
        self.late.lock().expect("no panic under this lock")
    }

    /// Whether a write is the one that is to be delayed; if so, it is carried out later if its condition still holds.
    fn delays(&self, kind: &str, name: &str, expected: Option<u64>, spec: &Json) -> bool {
        let mut late = self.late();
        late.all.push(Instant::now());
        let is_meant = late
            .armed
            .as_ref()
            .is_some_and(|(k, n, text)| k == kind && n == name && spec.to_string().contains(text));
        if is_meant {
            late.armed = None;
            late.arrived = Some(Instant::now());
            let (store, kind, name, spec) = (self.clone(), kind.to_owned(), name.to_owned(), spec.clone());
            thread::spawn(move || {
                thread::sleep(LATENESS);
                store.lock().write_if(&kind, &name, expected, Some(spec));
            });
        }
        is_meant
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Objects> {
        self.objects.lock().expect("no panic under this lock")
    }

    fn handle(&self, call: &Call) -> Reply {
        let Some(rest) = call.path.strip_prefix("/wasabiyard/objects/") else {
            return Reply::new(404, Json::Null);
        };
        let mut objects = self.lock();
        match (call.method.as_str(), rest.split_once('/')) {
            ("GET", None) => objects.list(rest),
            ("GET", Some((kind, name))) => objects.get(kind, name),
            ("POST", None) => {
                let name = call.body.get("meta").get("name").as_text().to_owned();
                objects.write_if(rest, &name, Some(0), Some(call.body.get("spec").clone()))
            }
            ("PUT", Some((kind, name))) => {
                let revision = call.body.get("meta").get("revision").as_number();
                if self.delays(kind, name, revision, call.body.get("spec")) {
                    return Reply::lost();
                }
                objects.write_if(kind, name, revision, Some(call.body.get("spec").clone()))
            }
            ("DELETE", Some((kind, name))) => {
                let revision = call.query.strip_prefix("revision=").and_then(|r| r.parse().ok());
                objects.write_if(kind, name, revision, None)
            }
            _ => Reply::new(404, Json::Null),
        }
    }
}

impl Objects {
    fn set(&mut self, kind: &str, name: &str, spec: Option<Json>) {
        let key = (kind.to_owned(), name.to_owned());
        if spec.is_some() && self.by_key.get(&key).map(|(_, known)| known) == spec.as_ref() {
            // A write that changes nothing does not increase the revision.
            return;
        }
        self.revision += 1;
        match spec {
            Some(spec) => drop(self.by_key.insert(key, (self.revision, spec))),
            None => drop(self.by_key.remove(&key)),
        }
    }

    fn list(&self, kind: &str) -> Reply {
        let items = self.by_key.iter().filter(|((k, _), _)| k == kind);
        let items = items.map(|((_, name), (revision, spec))| document(name, *revision, spec));
        Reply::new(
            200,
            Json::object([
                ("items", Json::List(items.collect())),
                ("has_more", Json::Bool(false)),
                ("at_revision", Json::number(self.revision)),
            ]),
        )
    }

    fn get(&self, kind: &str, name: &str) -> Reply {
        match self.by_key.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => Reply::new(200, document(name, *revision, spec)),
            None => Reply::new(404, Json::Null),
        }
    }

    /// Writes an object, or removes it without a `spec`, if its revision is the expected one; 0 means that it must not exist.
    fn write_if(&mut self, kind: &str, name: &str, expected: Option<u64>, spec: Option<Json>) -> Reply {
        let key = (kind.to_owned(), name.to_owned());
        let current = self.by_key.get(&key).map_or(0, |(revision, _)| *revision);
        if expected.is_some_and(|e| e != current) {
            let found = self.get(kind, name);
            return Reply::new(if found.status == 200 { 409 } else { found.status }, found.body);
        }
        let removes = spec.is_none();
        self.set(kind, name, spec);
        if removes {
            Reply::new(200, Json::Null)
        } else {
            self.get(kind, name)
        }
    }
}

fn document(name: &str, revision: u64, spec: &Json) -> Json {
    Json::object([
        (
            "meta",
            Json::object([
                ("name", Json::text(name)),
                ("revision", Json::number(revision)),
                ("created", Json::number(1)),
                ("finalizers", Json::List(Vec::new())),
                ("deletion_pending", Json::Bool(false)),
            ]),
        ),
        ("spec", spec.clone()),
        ("status", Json::Null),
    ])
}

//! Stand-in of a service: one primary and replicas with asynchronous replication, behind the line protocol.

use crate::json::Json;
use crate::store::Store;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Time from an accepted order to promote until it takes effect.
const PROMOTION_DELAY: Duration = Duration::from_millis(600);
const CUT_CHECK_PERIOD: Duration = Duration::from_millis(5);
/// Time for which a former primary goes on after a promotion, counted from when it can reach the new one.
const STEP_DOWN_DELAY: Duration = Duration::from_secs(1);
const REPLICATION_PERIOD: Duration = Duration::from_millis(8);
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_200);
/// Time that a read, a write or a commit takes.
const STATEMENT_TIME: Duration = Duration::from_millis(5);

/// A committed write.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub term: u64,
    pub item: String,
    pub data: String,
}

/// A commit as its server carried it out.
#[derive(Debug, Clone)]
pub struct Commit {
    pub at: Instant,
    pub server: String,
    pub term: u64,
    pub item: String,
    pub data: String,
}

#[derive(Debug, Clone)]
pub struct Server {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    pub primary: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    pub draining: bool,
    born: u64,
}

impl Server {
    /// Term and number of the last entry.
    fn position(&self) -> String {
        format!("{}.{}", self.log.last().map_or(1, |e| e.term), self.log.len())
    }

    fn holds(&self, term: u64, number: usize) -> bool {
        number == 0 || self.log.get(number - 1).is_some_and(|e| e.term == term)
    }
}

#[derive(Debug, Default)]
struct State {
    servers: Vec<Server>,
    /// Term and time of each promotion that took effect.
    promotions: Vec<(u64, Instant)>,
    commits: Vec<Commit>,
    /// A server that is cut off from an instance, given by its number, until a time.
    cut: Option<(usize, usize, Instant)>,
    sequence: u64,
}

/// Handle to a service; clones share it.
#[derive(Debug, Clone)]
pub struct Service {
    pub name: String,
    state: Arc<Mutex<State>>,
    digests: Arc<AtomicU64>,
    store: Store,
}

impl Service {
    /// Starts one server in each zone, the first as the primary, and keeps their entries in the store up to date.
    /// Each of `nodes` instances gets an address of its own for each server.
    pub fn open(name: &str, zones: &[&str], nodes: usize, store: &Store) -> Result<Self> {
        let service = Self {
            name: name.to_owned(),
            state: Arc::default(),
            digests: Arc::default(),
            store: store.clone(),
        };
        for (i, zone) in zones.iter().enumerate() {
            let listeners: Vec<_> = (0..nodes)
                .map(|_| TcpListener::bind("127.0.0.1:0"))
                .collect::<Result<_>>()?;
            let addresses: Vec<_> = listeners
                .iter()
                .map(TcpListener::local_addr)
                .collect::<Result<_>>()?;
            store.give_each_its_own(&addresses);
            service.lock().servers.push(Server {
                id: format!("i-{name}-{i}"),
                zone: (*zone).to_owned(),
                address: addresses[0],
                primary: i == 0,
                term: 1,
                log: Vec::new(),
                draining: false,
                born: 1_700_000_000_000 + i as u64,
            });
            for (node, listener) in listeners.into_iter().enumerate() {
                let service = service.clone();
                thread::spawn(move || {
                    for stream in listener.incoming().flatten() {
                        let connection = Connection::new(service.clone(), i, node);
                        // Clients may drop connections at any time.
                        thread::spawn(move || connection.serve(stream).is_ok());
                    }
                });
            }
        }
        let replicator = service.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(REPLICATION_PERIOD);
                replicator.replicate();
            }
        });
        let heart = service.clone();
        thread::spawn(move || {
            loop {
                heart.publish();
                thread::sleep(HEARTBEAT_PERIOD);
            }
        });
        Ok(service)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    pub fn servers(&self) -> Vec<Server> {
        self.lock().servers.clone()
    }

    pub fn promotions(&self) -> Vec<(u64, Instant)> {
        self.lock().promotions.clone()
    }

    pub fn commits(&self) -> Vec<Commit> {
        self.lock().commits.clone()
    }

    /// Cuts the path between a server and an instance in both directions. What is sent meanwhile arrives afterwards.
    pub fn cut(&self, id: &str, node: usize, until: Instant) {
        let mut state = self.lock();
        let server = state.servers.iter().position(|s| s.id == id);
        state.cut = server.map(|server| (server, node, until));
    }

    /// Waits while a server is cut off from an instance.
    fn pass(&self, server: usize, node: usize) {
        let is_cut = || {
            let cut = self.lock().cut;
            cut.is_some_and(|(s, n, until)| s == server && n == node && Instant::now() < until)
        };
        while is_cut() {
            thread::sleep(CUT_CHECK_PERIOD);
        }
    }

    /// Lets a server announce that it leaves.
    pub fn drain(&self, id: &str) {
        for server in self.lock().servers.iter_mut().filter(|s| s.id == id) {
            server.draining = true;
        }
        self.publish();
    }

    /// Writes the entries of all servers.
    fn publish(&self) {
        let (servers, sequence) = {
            let mut state = self.lock();
            state.sequence += 1;
            (state.servers.clone(), state.sequence)
        };
        for server in servers {
            let role = if server.primary { "primary" } else { "replica" };
            let state = if server.draining { "draining" } else { "ready" };
            let entry = Json::object([
                ("service", Json::text(&self.name)),
                ("address", Json::text(&server.address.to_string())),
                ("zone", Json::text(&server.zone)),
                ("version", Json::text("v1")),
                ("capacity", Json::number(3)),
                ("state", Json::text(state)),
                ("warmup_left_ms", Json::number(0)),
                ("db_role", Json::text(role)),
                ("sequence", Json::number(sequence)),
                ("born", Json::number(server.born)),
            ]);
            self.store.write("servers", &server.id, entry);
        }
    }

    /// Carries out an order to promote a server. Returns whether it is accepted.
    pub fn promote(&self, id: &str) -> bool {
        {
            let state = self.lock();
            let newest = state.servers.iter().map(|s| s.term).max();
            let Some(server) = state.servers.iter().find(|s| s.id == id) else {
                return false;
            };
            if server.primary && Some(server.term) == newest {
                return true;
            }
        }
        let (service, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(PROMOTION_DELAY);
            {
                let mut state = service.lock();
                let term = state.servers.iter().map(|s| s.term).max().unwrap_or(0) + 1;
                for server in state.servers.iter_mut().filter(|s| s.id == id) {
                    server.primary = true;
                    server.term = term;
                }
                state.promotions.push((term, Instant::now()));
            }
            service.publish();
        });
        true
    }

    /// Copies the log of the newest primary to the others. A former primary follows it after a while.
    fn replicate(&self) {
        let mut changed = false;
        {
            let mut state = self.lock();
            let Some(leader) = state
                .servers
                .iter()
                .filter(|s| s.primary)
                .max_by_key(|s| s.term)
                .cloned()
            else {
                return;
            };
            let promoted_at = state.promotions.iter().find(|(term, _)| *term == leader.term);
            let steps_down = promoted_at.is_none_or(|(_, at)| at.elapsed() > STEP_DOWN_DELAY);
            for server in state
                .servers
                .iter_mut()
                .filter(|s| s.id != leader.id && s.term <= leader.term)
            {
                if server.primary && !steps_down {
                    continue;
                }
                if !server.primary && server.term == leader.term && server.log.len() == leader.log.len() {
                    continue;
                }
                changed |= server.primary;
                server.primary = false;
                server.term = leader.term;
                server.log.clone_from(&leader.log);
            }
        }
        if changed {
            self.publish();
        }
    }

    fn digest(&self) -> String {
        format!("d{:x}", self.digests.fetch_add(1, Ordering::Relaxed))
    }
}

/// One connection to a server.
struct Connection {
    service: Service,
    index: usize,
    /// Number of the instance at the other end.
    node: usize,
    /// Prepared names, and whether their statements write.
    prepared: HashMap<String, bool>,
    /// Whether the open transaction is read-only, and its writes.
    transaction: Option<(bool, Vec<(String, String)>)>,
    failed: bool,
}

/// The lines of an answer, or the code of an error.
type Answer = std::result::Result<(Vec<String>, String), String>;

impl Connection {
    fn new(service: Service, index: usize, node: usize) -> Self {
        Self {
            service,
            index,
            node,
            prepared: HashMap::new(),
            transaction: None,
            failed: false,
        }
    }

    fn serve(mut self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let Some(startup) = read_line(&mut reader)? else {
            return Ok(());
        };
        let words: Vec<_> = startup.split(' ').collect();
        let id = self.service.lock().servers[self.index].id.clone();
        if words.len() < 3 || words[1] != self.service.name || words.get(3).is_some_and(|w| **w != *id) {
            return writer.write_all(format!("ERROR WRONGNODE {id}\r\n").as_bytes());
        }
        self.service.pass(self.index, self.node);
        writer.write_all(format!("READY I {}\r\n", self.position()).as_bytes())?;
        while let Some(line) = read_line(&mut reader)? {
            let Some(rest) = line.strip_prefix("QUERY ") else {
                return Ok(());
            };
            let (_, text) = rest.split_once(' ').unwrap_or((rest, ""));
            self.service.pass(self.index, self.node);
            let answer = self.run(text);
            let status = match (&self.transaction, self.failed) {
                (None, _) => 'I',
                (Some(_), false) => 'T',
                (Some(_), true) => 'E',
            };
            let mut out = String::new();
            match answer {
                Ok((rows, digest)) => {
                    for row in rows {
                        out.push_str(&format!("DATAROW {row}\r\n"));
                    }
                    out.push_str(&format!("COMPLETE {digest}\r\n"));
                }
                Err(code) => out.push_str(&format!("ERROR {code} {id}\r\n")),
            }
            out.push_str(&format!("READY {status} {}\r\n", self.position()));
            self.service.pass(self.index, self.node);
            writer.write_all(out.as_bytes())?;
        }
        Ok(())
    }

    fn position(&self) -> String {
        self.service.lock().servers[self.index].position()
    }

    fn run(&mut self, text: &str) -> Answer {
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTERLSN ") {
            let (point, statement) = rest.split_once(' ').unwrap_or((rest, ""));
            let (term, number) = point.split_once('.').unwrap_or(("0", "0"));
            let holds = self.service.lock().servers[self.index]
                .holds(term.parse().unwrap_or(0), number.parse().unwrap_or(usize::MAX));
            if !holds {
                return Err("LAGGING".to_owned());
            }
            text = statement;
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        if self.failed && !matches!(word, "ROLLBACK" | "COMMIT") {
            return Err("MALFORMED".to_owned());
        }
        match word {
            "STATUS" => Ok((vec![self.status()], "-".to_owned())),
            "STEPDOWN" => {
                let term: u64 = rest.parse().unwrap_or(0);
                {
                    let mut state = self.service.lock();
                    let server = &mut state.servers[self.index];
                    if server.primary && server.term < term {
                        server.primary = false;
                    }
                }
                Ok((vec![self.status()], "-".to_owned()))
            }
            "SET" | "DEALLOC" => done(),
            "DISCARD" => {
                self.prepared.clear();
                done()
            }
            "PREPARE" => {
                let mut words = rest.split(' ');
                let name = words.next().unwrap_or_default().to_owned();
                let writes = words.next() == Some("WRITE");
                self.prepared.insert(name, writes);
                done()
            }
            "BEGIN" => {
                let read_only = rest == "READ";
                if !read_only && !self.is_primary() {
                    return Err("READONLY".to_owned());
                }
                self.transaction = Some((read_only, Vec::new()));
                done()
            }
            "ROLLBACK" => {
                self.transaction = None;
                self.failed = false;
                done()
            }
            "COMMIT" => self.commit(),
            "READ" => self.read(rest),
            "WRITE" => {
                let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
                self.write(item, data)
            }
            "EXECUTE" => {
                let mut words = rest.splitn(3, ' ');
                let name = words.next().unwrap_or_default();
                let item = words.next().unwrap_or_default();
                let Some(writes) = self.prepared.get(name).copied() else {
                    return Err("NOSTMT".to_owned());
                };
                if writes {
                    self.write(item, words.next().unwrap_or_default())
                } else {
                    self.read(item)
                }
            }
            _ => Err("MALFORMED".to_owned()),
        }
    }

    fn status(&self) -> String {
        let state = self.service.lock();
        let server = &state.servers[self.index];
        let role = if server.primary { "primary" } else { "replica" };
        format!("{role} {} {} 0 0 0 1", server.term, server.position())
    }

    fn is_primary(&self) -> bool {
        self.service.lock().servers[self.index].primary
    }

    fn read(&mut self, item: &str) -> Answer {
        thread::sleep(STATEMENT_TIME);
        if let Some((false, _)) = &self.transaction
            && !self.is_primary()
        {
            return self.fail("READONLY");
        }
        let state = self.service.lock();
        let log = &state.servers[self.index].log;
        let found = log.iter().rev().find(|e| e.item == item);
        let row = found.map_or_else(|| "none".to_owned(), |e| e.data.clone());
        drop(state);
        Ok((vec![row], self.service.digest()))
    }

    fn write(&mut self, item: &str, data: &str) -> Answer {
        thread::sleep(STATEMENT_TIME);
        if !self.is_primary() || self.transaction.as_ref().is_some_and(|(read_only, _)| *read_only) {
            return self.fail("READONLY");
        }
        let write = (item.to_owned(), data.to_owned());
        match &mut self.transaction {
            Some((_, writes)) => writes.push(write),
            None => {
                if !self.append(vec![write]) {
                    return Err("READONLY".to_owned());
                }
            }
        }
        Ok((Vec::new(), self.service.digest()))
    }

    fn commit(&mut self) -> Answer {
        thread::sleep(STATEMENT_TIME);
        let transaction = self.transaction.take();
        if std::mem::take(&mut self.failed) {
            return Err("ABORTED".to_owned());
        }
        let Some((_, writes)) = transaction else {
            return Err("MALFORMED".to_owned());
        };
        if !writes.is_empty() && !self.append(writes) {
            return Err("READONLY".to_owned());
        }
        Ok((Vec::new(), self.service.digest()))
    }

    fn fail(&mut self, code: &str) -> Answer {
        self.failed = self.transaction.is_some();
        Err(code.to_owned())
    }

    /// Commits writes, if the server leads.
    fn append(&self, writes: Vec<(String, String)>) -> bool {
        let mut state = self.service.lock();
        let server = &mut state.servers[self.index];
        if !server.primary {
            return false;
        }
        let (id, term) = (server.id.clone(), server.term);
        let entries = writes.into_iter().map(|(item, data)| Entry { term, item, data });
        let entries: Vec<_> = entries.collect();
        server.log.extend(entries.iter().cloned());
        let at = Instant::now();
        state.commits.extend(entries.into_iter().map(|e| Commit {
            at,
            server: id.clone(),
            term,
            item: e.item,
            data: e.data,
        }));
        true
    }
}

fn done() -> Answer {
    Ok((Vec::new(), "-".to_owned()))
}

/// Reads a line that ends with CR LF, without its end; `None` at the end of the connection.
pub fn read_line(reader: &mut BufReader<TcpStream>) -> Result<Option<String>> {
    let mut line = Vec::new();
    loop {
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        if line.ends_with(b"\r\n") {
            line.truncate(line.len() - 2);
            return Ok(String::from_utf8(line).ok());
        }
    }
}

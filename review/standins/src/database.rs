//! Stand-in of one service: a primary and its replicas, as PROTOCOL.md describes databases.

use crate::record::Record;
use crate::slots::Slots;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which a new connection occupies a slot.
const HANDSHAKE: Duration = Duration::from_millis(12);
/// Time for which a status query occupies a slot.
const STATUS_WORK: Duration = Duration::from_micros(500);
/// Time from an order to promote until the database leads.
pub const PROMOTE_TIME: Duration = Duration::from_millis(600);
/// Time after which a former primary steps down, once it can reach the new one.
const STEP_DOWN_AFTER: Duration = Duration::from_secs(1);
/// Interval of the replication thread.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(1);
/// Interval at which a connection without traffic checks whether its database still runs.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait of a commit for the replica that has to receive it.
const SYNC_TIMEOUT: Duration = Duration::from_secs(5);

/// Figures of a service.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    pub slots: usize,
    pub queue: usize,
    pub max_connections: usize,
    /// Replicas that have to receive a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// Age at which a replica applies what it has received.
    pub apply_lag: Duration,
}

/// A commit in a log.
#[derive(Debug)]
pub struct Commit {
    pub term: u64,
    /// Id of the statement that committed it.
    pub id: String,
    writes: Vec<(String, String)>,
    at: Instant,
}

struct Database {
    id: String,
    address: SocketAddr,
    zone: String,
    primary: bool,
    term: u64,
    /// Commits with the times at which they were received.
    log: Vec<(Arc<Commit>, Instant)>,
    running: bool,
    /// Number of crashes; a connection from before the last one is cut.
    crashes: u64,
    /// Whether it receives the commits of the primary.
    receives: bool,
    /// Whether it is partitioned from the other databases, the instances and the store.
    cut: bool,
    /// Since when it has been able to reach a primary of a later term.
    reaches_later_primary: Option<Instant>,
    /// Time that a commit takes over the network.
    network: Duration,
    draining: bool,
    connections: usize,
    refused_connections: u64,
    busy_answers: u64,
    slots: Arc<Slots>,
}

/// A write that a database has committed.
#[derive(Debug, Clone)]
pub struct Committed {
    pub server: String,
    pub term: u64,
    pub id: String,
    pub at: Instant,
}

/// A promotion that has taken effect.
#[derive(Debug, Clone)]
pub struct Promotion {
    pub server: String,
    pub term: u64,
    pub at: Instant,
    /// Ids of the commits in the log of the database when it began to lead.
    pub log: Vec<String>,
}

struct State {
    databases: Vec<Database>,
    committed: Vec<Committed>,
    promotions: Vec<Promotion>,
}

/// Handle to a service, shared by all connections of its databases.
#[derive(Clone)]
pub struct Group {
    pub service: Arc<str>,
    pub sizes: Sizes,
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    record: Record,
}

/// What a database tells of itself in service discovery.
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub primary: bool,
    pub draining: bool,
}

enum Transaction {
    None,
    Open {
        read_only: bool,
        writes: Vec<(String, String)>,
    },
    Failed,
}

struct Session {
    number: usize,
    crashes: u64,
    tenant: String,
    values: HashMap<String, String>,
    prepared: HashMap<String, (bool, String)>,
    transaction: Transaction,
}

type Reply = Result<(Vec<String>, String), &'static str>;

impl Group {
    /// Starts a service with one database in each of `zones`; the first one is the primary.
    pub fn open(service: &str, zones: &[&str], sizes: Sizes, record: Record) -> std::io::Result<Self> {
        let group = Self {
            service: Arc::from(service),
            sizes,
            state: Arc::new(Mutex::new(State {
                databases: Vec::new(),
                committed: Vec::new(),
                promotions: Vec::new(),
            })),
            changed: Arc::new(Condvar::new()),
            record,
        };
        let first = Arc::new(Commit {
            term: 1,
            id: "first".to_owned(),
            writes: Vec::new(),
            at: Instant::now(),
        });
        for (number, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            group.lock().databases.push(Database {
                id: format!("i-{service}-{}", char::from(b'a' + number as u8)),
                address: listener.local_addr()?,
                zone: (*zone).to_owned(),
                primary: number == 0,
                term: 1,
                log: vec![(Arc::clone(&first), Instant::now())],
                running: true,
                crashes: 0,
                receives: true,
                cut: false,
                reaches_later_primary: None,
                network: Duration::from_millis(1),
                draining: false,
                connections: 0,
                refused_connections: 0,
                busy_answers: 0,
                slots: Arc::new(Slots::new(sizes.slots, sizes.queue)),
            });
            let acceptor = group.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = acceptor.clone();
                    thread::spawn(move || group.serve(number, &stream));
                }
            });
        }
        let replicator = group.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(REPLICATION_INTERVAL);
                replicator.replicate();
            }
        });
        Ok(group)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// What the databases that run tell of themselves.
    pub fn entries(&self) -> Vec<Entry> {
        let state = self.lock();
        let running = state.databases.iter().filter(|d| d.running && !d.cut);
        let entries = running.map(|d| Entry {
            id: d.id.clone(),
            address: d.address,
            zone: d.zone.clone(),
            primary: d.primary,
            draining: d.draining,
        });
        entries.collect()
    }

    pub fn id(&self, number: usize) -> String {
        self.lock().databases[number].id.clone()
    }

    /// Lets a database receive the commits of the primary, or not.
    pub fn set_receives(&self, number: usize, receives: bool) {
        self.lock().databases[number].receives = receives;
    }

    /// Partitions a database from the other databases, the instances and the store, or ends that. What was sent to it
    /// meanwhile arrives then.
    pub fn set_cut(&self, number: usize, cut: bool) {
        self.lock().databases[number].cut = cut;
        self.changed.notify_all();
    }

    /// Waits while a database is partitioned. Returns whether the connection has not been cut by a crash.
    fn wait_for_link(&self, number: usize, crashes: u64) -> bool {
        let mut state = self.lock();
        while state.databases[number].cut && state.databases[number].crashes == crashes {
            state = self.changed.wait_timeout(state, POLL_INTERVAL).unwrap().0;
        }
        state.databases[number].crashes == crashes
    }

    pub fn set_draining(&self, number: usize, draining: bool) {
        self.lock().databases[number].draining = draining;
    }

    /// Ends the process of a database: its connections are cut and new ones refused.
    pub fn crash(&self, number: usize) {
        let mut state = self.lock();
        let database = &mut state.databases[number];
        database.running = false;
        database.crashes += 1;
        drop(state);
        self.changed.notify_all();
    }

    /// Starts a database again that has crashed. It comes back with its log, as a replica if another one was promoted.
    pub fn restart(&self, number: usize) {
        let mut state = self.lock();
        let newest = state.databases.iter().map(|d| d.term).max().unwrap_or(0);
        let database = &mut state.databases[number];
        database.running = true;
        database.primary &= database.term == newest;
    }

    /// Log positions, connections and refusals of all databases, for the record.
    pub fn describe(&self) -> String {
        let state = self.lock();
        let databases = state.databases.iter().map(|d| {
            format!(
                "{} {}{} received {} connections {} TOOMANY {} BUSY {}",
                d.id,
                if d.primary { "primary" } else { "replica" },
                if d.running { "" } else { " (down)" },
                position(&d.log),
                d.connections,
                d.refused_connections,
                d.busy_answers
            )
        });
        databases.collect::<Vec<_>>().join("; ")
    }

    /// The writes that databases have committed, in order.
    pub fn committed(&self) -> Vec<Committed> {
        self.lock().committed.clone()
    }

    /// The promotions that have taken effect, in order.
    pub fn promotions(&self) -> Vec<Promotion> {
        self.lock().promotions.clone()
    }

    /// Orders the promotion of a database. The return is the status of the platform's answer.
    pub fn promote(&self, id: &str) -> u16 {
        let state = self.lock();
        let Some(number) = state.databases.iter().position(|d| d.id == id && d.running) else {
            return 409;
        };
        let newest = state.databases.iter().map(|d| d.term).max();
        if state.databases[number].primary && Some(state.databases[number].term) == newest {
            return 200;
        }
        drop(state);
        let group = self.clone();
        thread::spawn(move || {
            thread::sleep(PROMOTE_TIME);
            group.lead(number);
        });
        200
    }

    /// Lets a database lead the next term with what it has received.
    fn lead(&self, number: usize) {
        let mut state = self.lock();
        let newest = state.databases.iter().map(|d| d.term).max().unwrap_or(0);
        let leads = state.databases[number].primary && state.databases[number].term == newest;
        if !state.databases[number].running || leads {
            return;
        }
        let term = newest + 1;
        let database = &mut state.databases[number];
        database.primary = true;
        database.term = term;
        let database = &state.databases[number];
        let promotion = Promotion {
            server: database.id.clone(),
            term,
            at: Instant::now(),
            log: database.log.iter().map(|(c, _)| c.id.clone()).collect(),
        };
        self.record.note(&format!(
            "database: {} leads term {term} with what it has received, up to {}",
            database.id,
            position(&database.log)
        ));
        state.promotions.push(promotion);
        drop(state);
        self.changed.notify_all();
    }

    /// Lets the replicas receive what the primary has committed, and rolls back what it does not have.
    fn replicate(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let leading = state
            .databases
            .iter()
            .enumerate()
            .filter(|(_, d)| d.running && d.primary && !d.cut);
        let Some((primary, _)) = leading.max_by_key(|(_, d)| d.term) else {
            return;
        };
        let log = state.databases[primary].log.clone();
        let term = state.databases[primary].term;
        let mut received = false;
        for (number, database) in state.databases.iter_mut().enumerate() {
            if number == primary || !database.running || database.cut {
                database.reaches_later_primary = None;
                continue;
            }
            if database.primary {
                // A former primary notices a later one, and steps down a second after it can reach it.
                let since = *database.reaches_later_primary.get_or_insert(now);
                if now.duration_since(since) < STEP_DOWN_AFTER {
                    continue;
                }
                database.primary = false;
                self.record.note(&format!(
                    "database: {} steps down, since {} leads term {term}",
                    database.id, primary
                ));
            }
            // A replica takes nothing from a primary of an earlier term than it has seen.
            if !database.receives || database.term > term {
                continue;
            }
            database.term = term;
            let common = database
                .log
                .iter()
                .zip(&log)
                .take_while(|((a, _), (b, _))| Arc::ptr_eq(a, b));
            let common = common.count();
            database.log.truncate(common);
            for (commit, _) in &log[common..] {
                if now.duration_since(commit.at) < database.network {
                    break;
                }
                database.log.push((Arc::clone(commit), now));
                received = true;
            }
        }
        drop(state);
        if received {
            self.changed.notify_all();
        }
    }

    /// Adds a commit to the log of the primary `number`, and waits until enough replicas have received it. `None` when
    /// the database stopped meanwhile, so that the outcome is not told.
    fn commit(
        &self,
        number: usize,
        crashes: u64,
        id: &str,
        writes: Vec<(String, String)>,
    ) -> Option<Result<(), &'static str>> {
        let mut state = self.lock();
        let database = &mut state.databases[number];
        if database.crashes != crashes {
            return None;
        }
        if !database.primary {
            return Some(Err("READONLY"));
        }
        let now = Instant::now();
        let commit = Arc::new(Commit {
            term: database.term,
            id: id.to_owned(),
            writes,
            at: now,
        });
        let index = database.log.len();
        database.log.push((Arc::clone(&commit), now));
        let give_up = now + SYNC_TIMEOUT;
        loop {
            if state.databases[number].crashes != crashes || Instant::now() >= give_up {
                return None;
            }
            let others = state.databases.iter().enumerate().filter(|(n, _)| *n != number);
            let holders = others.filter(|(_, d)| d.log.get(index).is_some_and(|(c, _)| Arc::ptr_eq(c, &commit)));
            if holders.count() >= self.sizes.sync_replicas {
                let server = state.databases[number].id.clone();
                self.record
                    .line(&format!("run     {server} commit {}.{} {id}", commit.term, index + 1));
                state.committed.push(Committed {
                    server,
                    term: commit.term,
                    id: id.to_owned(),
                    at: now,
                });
                return Some(Ok(()));
            }
            state = self.changed.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
        }
    }

    fn serve(&self, number: usize, stream: &TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        let crashes = {
            let mut state = self.lock();
            let database = &mut state.databases[number];
            if !database.running {
                return;
            }
            database.connections += 1;
            database.crashes
        };
        let _ended = self.run_session(number, crashes, stream);
        self.lock().databases[number].connections -= 1;
        let _closed = stream.shutdown(Shutdown::Both);
    }

    /// Serves a connection until it ends. Errors of the connection end it, which is usual.
    fn run_session(&self, number: usize, crashes: u64, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_read_timeout(Some(POLL_INTERVAL))?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let Some(line) = self.read_line(number, crashes, &mut reader)? else {
            return Ok(());
        };
        if !self.wait_for_link(number, crashes) {
            return Ok(());
        }
        let words: Vec<_> = line.split(' ').collect();
        let (id, slots) = {
            let state = self.lock();
            let database = &state.databases[number];
            (database.id.clone(), Arc::clone(&database.slots))
        };
        if words.len() < 3
            || words[0] != "STARTUP"
            || words[1] != &*self.service
            || words.get(3).is_some_and(|w| *w != id)
        {
            return writer.write_all(b"ERROR WRONGNODE -\r\n");
        }
        {
            let mut state = self.lock();
            let database = &mut state.databases[number];
            if database.connections > self.sizes.max_connections {
                database.refused_connections += 1;
                drop(state);
                self.record
                    .line(&format!("refused {id} STARTUP of {} with TOOMANY", words[2]));
                return writer.write_all(b"ERROR TOOMANY -\r\n");
            }
        }
        slots.occupy_patiently(HANDSHAKE);
        let mut session = Session {
            number,
            crashes,
            tenant: words[2].to_owned(),
            values: HashMap::new(),
            prepared: HashMap::new(),
            transaction: Transaction::None,
        };
        writer.write_all(format!("READY I {}\r\n", self.applied_position(number)).as_bytes())?;
        while let Some(line) = self.read_line(number, crashes, &mut reader)? {
            if line == "TERMINATE" {
                return Ok(());
            }
            let Some(("QUERY", rest)) = line.split_once(' ') else {
                return Ok(());
            };
            if !self.wait_for_link(number, crashes) {
                return Ok(());
            }
            let (query_id, text) = rest.split_once(' ').unwrap_or((rest, ""));
            let Some(reply) = self.run_query(&mut session, &slots, query_id, text) else {
                return Ok(());
            };
            if !self.wait_for_link(number, crashes) {
                return Ok(());
            }
            let mut out = String::new();
            match reply {
                Ok((rows, digest)) => {
                    for row in rows {
                        out.push_str(&format!("DATAROW {row}\r\n"));
                    }
                    out.push_str(&format!("COMPLETE {digest}\r\n"));
                }
                Err(code) => out.push_str(&format!("ERROR {code} -\r\n")),
            }
            let status = match session.transaction {
                Transaction::None => 'I',
                Transaction::Open { .. } => 'T',
                Transaction::Failed => 'E',
            };
            out.push_str(&format!("READY {status} {}\r\n", self.applied_position(number)));
            writer.write_all(out.as_bytes())?;
        }
        Ok(())
    }

    /// The next line; `None` when the connection ended or the database stopped.
    fn read_line(
        &self,
        number: usize,
        crashes: u64,
        reader: &mut BufReader<TcpStream>,
    ) -> std::io::Result<Option<String>> {
        let mut line = String::new();
        loop {
            match reader.read_line(&mut line) {
                Ok(0) => return Ok(None),
                Ok(_) if line.ends_with('\n') => return Ok(Some(line.trim_end().to_owned())),
                Ok(_) => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) => return Err(e),
            }
            if self.lock().databases[number].crashes != crashes {
                return Ok(None);
            }
        }
    }

    /// Runs one query. `None` when it gets no answer.
    fn run_query(&self, session: &mut Session, slots: &Slots, id: &str, text: &str) -> Option<Reply> {
        let done = |digest: &str| Some(Ok((Vec::new(), digest.to_owned())));
        let (condition, text) = match text.strip_prefix("AFTERLSN ").and_then(|t| t.split_once(' ')) {
            Some((condition, text)) => (Some(condition), text),
            None => (None, text),
        };
        let words: Vec<_> = text.splitn(4, ' ').collect();
        if matches!(session.transaction, Transaction::Failed) && !matches!(words[0], "ROLLBACK" | "COMMIT") {
            return Some(Err("MALFORMED"));
        }
        let is_primary = self.lock().databases[session.number].primary;
        match words[0] {
            "BEGIN" => {
                let read_only = words.get(1) == Some(&"READ");
                if !read_only && !is_primary {
                    return Some(Err("READONLY"));
                }
                if condition.is_some_and(|c| !self.has_applied(session.number, c)) {
                    return Some(Err("LAGGING"));
                }
                session.transaction = Transaction::Open {
                    read_only,
                    writes: Vec::new(),
                };
                done("-")
            }
            "ROLLBACK" => {
                session.transaction = Transaction::None;
                done("-")
            }
            "COMMIT" => {
                if !slots.occupy(Duration::from_millis(1)) {
                    return Some(self.busy(session.number));
                }
                match std::mem::replace(&mut session.transaction, Transaction::None) {
                    Transaction::Open { writes, .. } if !writes.is_empty() => {
                        let committed = self.commit(session.number, session.crashes, id, writes)?;
                        Some(committed.map(|()| (Vec::new(), digest(id))))
                    }
                    Transaction::Open { .. } => done(&digest(id)),
                    _ => Some(Err("ABORTED")),
                }
            }
            "SET" => {
                let value = words.get(2..).unwrap_or_default().join(" ");
                session.values.insert(words.get(1)?.to_string(), value);
                done("-")
            }
            "DISCARD" => {
                session.values.clear();
                session.prepared.clear();
                done("-")
            }
            "PREPARE" => {
                let (name, mode, shape) = (words.get(1)?, words.get(2)?, words.get(3)?);
                session
                    .prepared
                    .insert(name.to_string(), (*mode == "WRITE", shape.to_string()));
                done("-")
            }
            "DEALLOC" => match session.prepared.remove(*words.get(1)?) {
                Some(_) => done("-"),
                None => Some(Err("NOSTMT")),
            },
            "STATUS" => {
                if !slots.occupy(STATUS_WORK) {
                    return Some(self.busy(session.number));
                }
                self.record.line(&format!(
                    "status  {} {}",
                    self.id(session.number),
                    self.status(session.number)
                ));
                Some(Ok((vec![self.status(session.number)], "-".to_owned())))
            }
            "STEPDOWN" => {
                let term = words.get(1)?.parse::<u64>().ok()?;
                let mut state = self.lock();
                let database = &mut state.databases[session.number];
                if database.term < term {
                    database.primary = false;
                }
                drop(state);
                Some(Ok((vec![self.status(session.number)], "-".to_owned())))
            }
            "EXECUTE" => {
                let Some((writes, _)) = session.prepared.get(*words.get(1)?).cloned() else {
                    return Some(Err("NOSTMT"));
                };
                let (item, data) = (
                    words.get(2).copied().unwrap_or_default(),
                    words.get(3).copied().unwrap_or_default(),
                );
                self.run_statement(session, slots, id, writes, item, data, condition)
            }
            "READ" | "WRITE" => {
                let (item, data) = (
                    words.get(1).copied().unwrap_or_default(),
                    words.get(2).copied().unwrap_or_default(),
                );
                self.run_statement(session, slots, id, words[0] == "WRITE", item, data, condition)
            }
            _ => Some(Err("MALFORMED")),
        }
    }

    fn run_statement(
        &self,
        session: &mut Session,
        slots: &Slots,
        id: &str,
        writes: bool,
        item: &str,
        data: &str,
        condition: Option<&str>,
    ) -> Option<Reply> {
        let number = session.number;
        let in_plain_transaction = matches!(session.transaction, Transaction::Open { read_only: false, .. });
        let refused = writes || in_plain_transaction;
        if refused && !self.lock().databases[number].primary {
            if !matches!(session.transaction, Transaction::None) {
                session.transaction = Transaction::Failed;
            }
            return Some(Err("READONLY"));
        }
        if condition.is_some_and(|c| !self.has_applied(number, c)) {
            return Some(Err("LAGGING"));
        }
        if !slots.occupy(work_time(id)) {
            return Some(self.busy(number));
        }
        let server = self.id(number);
        self.record.line(&format!(
            "run     {server} {id} {} {item} for {} with {:?}",
            if writes { "WRITE" } else { "READ" },
            session.tenant,
            session.values
        ));
        if !writes {
            let value = self.read(number, item);
            return Some(Ok((vec![value], digest(id))));
        }
        match &mut session.transaction {
            Transaction::Open { writes, .. } => {
                writes.push((item.to_owned(), data.to_owned()));
                Some(Ok((Vec::new(), digest(id))))
            }
            _ => {
                let writes = vec![(item.to_owned(), data.to_owned())];
                let committed = self.commit(number, session.crashes, id, writes)?;
                Some(committed.map(|()| (Vec::new(), digest(id))))
            }
        }
    }

    fn busy(&self, number: usize) -> Reply {
        self.lock().databases[number].busy_answers += 1;
        Err("BUSY")
    }

    /// Number of commits that a database has applied.
    fn applied(&self, database: &Database) -> usize {
        if database.primary {
            return database.log.len();
        }
        let now = Instant::now();
        let due = |received: &Instant| now.duration_since(*received) >= self.sizes.apply_lag;
        database.log.iter().take_while(|(_, received)| due(received)).count()
    }

    fn applied_position(&self, number: usize) -> String {
        let state = self.lock();
        let database = &state.databases[number];
        let applied = self.applied(database);
        position(&database.log[..applied])
    }

    fn has_applied(&self, number: usize, position: &str) -> bool {
        let Some((term, index)) = position.split_once('.') else {
            return false;
        };
        let (Ok(term), Ok(index)) = (term.parse::<u64>(), index.parse::<usize>()) else {
            return false;
        };
        let state = self.lock();
        let database = &state.databases[number];
        let log = &database.log[..self.applied(database)];
        index > 0 && log.get(index - 1).is_some_and(|(c, _)| c.term == term)
    }

    fn read(&self, number: usize, item: &str) -> String {
        let state = self.lock();
        let database = &state.databases[number];
        let applied = database.log[..self.applied(database)].iter().rev();
        let found = applied
            .flat_map(|(c, _)| c.writes.iter().rev())
            .find(|(i, _)| i == item);
        found.map_or("-", |(_, data)| data.as_str()).to_owned()
    }

    fn status(&self, number: usize) -> String {
        let state = self.lock();
        let database = &state.databases[number];
        format!(
            "{} {} {} 0 {} {} {}",
            if database.primary { "primary" } else { "replica" },
            database.term,
            position(&database.log),
            self.sizes.apply_lag.as_millis(),
            database.slots.busy(),
            database.connections
        )
    }
}

fn digest(id: &str) -> String {
    format!("d.{id}")
}

/// Work of a statement: the mean that SYSTEM.md gives for its kind of request, spread by half around it.
fn work_time(id: &str) -> Duration {
    let mean = match id.split('-').next() {
        Some("gate") => 40,
        Some("gift") => 24,
        _ => 8,
    };
    let hash = id
        .bytes()
        .fold(7_u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
    Duration::from_micros(mean * (500 + hash % 1_000))
}

/// Position of the last commit of a log.
fn position(log: &[(Arc<Commit>, Instant)]) -> String {
    log.last()
        .map_or("-".to_owned(), |(commit, _)| format!("{}.{}", commit.term, log.len()))
}

//! Callers: each holds a session, writes one item after the other, and opens a new session when one ends.

use crate::database::read_line;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub const KEY: &str = "key-1";
/// Longest wait for an answer, beyond the length of any run.
const ANSWER_LIMIT: Duration = Duration::from_secs(120);
/// Pause between two statements of a caller.
const PAUSE: Duration = Duration::from_millis(20);
/// Pause before a new session.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A statement and its answer.
#[derive(Debug, Clone)]
pub struct Answered {
    /// Number of the instance.
    pub node: usize,
    pub item: String,
    pub data: String,
    /// The line of the result.
    pub result: String,
}

impl Answered {
    pub fn is_success(&self) -> bool {
        self.result.starts_with("COMPLETE ")
    }
}

/// A session with an instance.
pub struct Session {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Session {
    pub fn open(address: SocketAddr, database: &str) -> std::io::Result<Self> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(ANSWER_LIMIT))?;
        let mut session = Self {
            reader: BufReader::new(writer.try_clone()?),
            writer,
        };
        session
            .writer
            .write_all(format!("STARTUP {database} {KEY}\r\n").as_bytes())?;
        let line = read_line(&mut session.reader)?.unwrap_or_default();
        if line.starts_with("READY") {
            Ok(session)
        } else {
            Err(std::io::Error::other(line))
        }
    }

    /// The connection, for a peer that keeps to no turns.
    pub fn into_stream(self) -> TcpStream {
        self.writer
    }

    /// Runs a statement. Returns its rows, its result and the last line.
    pub fn run(&mut self, id: &str, text: &str) -> std::io::Result<(Vec<String>, String, String)> {
        self.writer
            .write_all(format!("QUERY {id} {text}\r\n").as_bytes())?;
        let (mut rows, mut result) = (Vec::new(), String::new());
        loop {
            let line = read_line(&mut self.reader)?.ok_or_else(|| std::io::Error::other("closed"))?;
            if let Some(row) = line.strip_prefix("DATAROW ") {
                rows.push(row.to_owned());
            } else if line.starts_with("READY") {
                return Ok((rows, result, line));
            } else {
                result = line;
            }
        }
    }
}

/// Callers that write until they are stopped.
pub struct Writers {
    stop: Arc<AtomicBool>,
    answered: Arc<Mutex<Vec<Answered>>>,
    unanswered: Arc<AtomicUsize>,
}

impl Writers {
    /// Starts `count` callers at each instance.
    pub fn start(nodes: &[SocketAddr], count: usize, database: &str) -> Self {
        let writers = Self {
            stop: Arc::default(),
            answered: Arc::default(),
            unanswered: Arc::default(),
        };
        for (node, address) in nodes.iter().enumerate() {
            for caller in 0..count {
                let (stop, answered) = (Arc::clone(&writers.stop), Arc::clone(&writers.answered));
                let unanswered = Arc::clone(&writers.unanswered);
                let (address, database) = (*address, database.to_owned());
                thread::spawn(move || {
                    let mut number = 0;
                    while !stop.load(Ordering::Relaxed) {
                        let Ok(mut session) = Session::open(address, &database) else {
                            thread::sleep(RETRY_PAUSE);
                            continue;
                        };
                        while !stop.load(Ordering::Relaxed) {
                            number += 1;
                            let item = format!("item-{node}-{caller}");
                            let data = format!("{number}");
                            let id = format!("{node:04x}{caller:04x}{number:08x}");
                            let Ok((_, result, _)) = session.run(&id, &format!("WRITE {item} {data}")) else {
                                unanswered.fetch_add(1, Ordering::Relaxed);
                                break;
                            };
                            answered.lock().expect("no panic under this lock").push(Answered {
                                node,
                                item,
                                data,
                                result,
                            });
                            thread::sleep(PAUSE);
                        }
                    }
                });
            }
        }
        writers
    }

    pub fn answered(&self) -> Vec<Answered> {
        self.answered.lock().expect("no panic under this lock").clone()
    }

    /// Number of statements whose session ended before their answer.
    pub fn unanswered(&self) -> usize {
        self.unanswered.load(Ordering::Relaxed)
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

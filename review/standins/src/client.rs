//! Stand-in of requesters: sessions that run operations as SYSTEM.md and PROTOCOL.md describe them.

use crate::record::Record;
use std::io::{BufRead, BufReader, Error, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time in which a session must be open.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a requester gives an answer up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Retries of an operation.
const RETRIES: u32 = 2;

/// Answer to one statement: its rows, its digest or error code, and the state after it.
pub struct Answer {
    pub rows: Vec<String>,
    pub result: Result<String, String>,
    pub state: char,
}

/// An open session.
pub struct Session {
    reader: BufReader<TcpStream>,
    record: Record,
}

impl Session {
    /// Connects and logs in. The inner error is the code of a refused login.
    pub fn open(node: SocketAddr, host: &str, key: &str, record: &Record) -> Result<Result<Self, String>, Error> {
        let stream = TcpStream::connect_timeout(&node, LOGIN_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LOGIN_TIMEOUT))?;
        let mut session = Self {
            reader: BufReader::new(stream),
            record: record.clone(),
        };
        session
            .reader
            .get_mut()
            .write_all(format!("STARTUP {host} {key}\r\n").as_bytes())?;
        let line = session.line()?;
        session.reader.get_ref().set_read_timeout(Some(ANSWER_TIMEOUT))?;
        match line.split_once(' ') {
            Some(("READY", _)) => Ok(Ok(session)),
            Some(("ERROR", rest)) => Ok(Err(rest.split(' ').next().unwrap_or_default().to_owned())),
            _ => Err(Error::new(ErrorKind::InvalidData, line)),
        }
    }

    fn line(&mut self) -> Result<String, Error> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// Sends a statement and reads its answer.
    pub fn query(&mut self, id: &str, text: &str) -> Result<Answer, Error> {
        self.record.line(&format!("sent    {id} {text}"));
        let answer = self.exchange(id, text);
        match &answer {
            Ok(a) => self
                .record
                .line(&format!("answer  {id} {:?} {:?} {}", a.result, a.rows, a.state)),
            Err(e) => self.record.line(&format!("answer  {id} none: {e}")),
        }
        answer
    }

    fn exchange(&mut self, id: &str, text: &str) -> Result<Answer, Error> {
        self.reader
            .get_mut()
            .write_all(format!("QUERY {id} {text}\r\n").as_bytes())?;
        let mut rows = Vec::new();
        let mut result = None;
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "DATAROW" => rows.push(rest.to_owned()),
                "COMPLETE" => result = Some(Ok(rest.to_owned())),
                "ERROR" => result = Some(Err(rest.split(' ').next().unwrap_or_default().to_owned())),
                "READY" => {
                    let result = result.ok_or(ErrorKind::InvalidData)?;
                    let state = rest.chars().next().unwrap_or('?');
                    return Ok(Answer { rows, result, state });
                }
                _ => return Err(Error::new(ErrorKind::InvalidData, line)),
            }
        }
    }
}

/// What the requesters have seen.
#[derive(Clone, Default)]
pub struct Seen {
    /// Commits that were acknowledged, by the id of the statement that committed, with the times of the answers.
    pub acknowledged: Arc<Mutex<Vec<(String, Instant)>>>,
    served: Arc<Mutex<(u64, u64)>>,
}

impl Seen {
    /// Operations that succeeded, and operations that were given up.
    pub fn served(&self) -> (u64, u64) {
        *self.served.lock().unwrap()
    }
}

/// Kind of a requester's operations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// `renew`: 20% writes, 25% transactions.
    Primary,
    /// `gate`: 10% transactions that only read.
    Bounded,
    /// `gift`: 12% writes, 12% transactions.
    Own,
}

/// One requester with a long session.
#[derive(Clone)]
pub struct Requester {
    pub name: String,
    pub host: String,
    pub key: String,
    pub kind: Kind,
    pub nodes: Vec<SocketAddr>,
    /// Mean time between two operations.
    pub interval: Duration,
    pub time_limit: Duration,
    /// When the requester leaves, if it does so before the end of the run.
    pub until: Option<Instant>,
    pub seed: u64,
}

impl Requester {
    /// Runs operations until `stop` is set.
    pub fn run(mut self, seen: &Seen, record: &Record, stop: &AtomicBool) {
        let mut session = None;
        let mut number = 0;
        thread::sleep(self.interval.mul_f64(self.fraction()));
        while !stop.load(Ordering::Relaxed) && self.until.is_none_or(|until| Instant::now() < until) {
            number += 1;
            let started = Instant::now();
            let shape = self.next() % 100;
            let length = 2 + self.next() % 11;
            let mut ok = false;
            for attempt in 0..=RETRIES {
                if started.elapsed() >= self.time_limit {
                    break;
                }
                if session.is_none() {
                    let choice = self.next() as usize % self.nodes.len();
                    let node = self.nodes[choice];
                    session = Session::open(node, &self.host, &self.key, record)
                        .ok()
                        .and_then(Result::ok);
                }
                let Some(open) = &mut session else {
                    continue;
                };
                let id = format!("{}.{number}.{attempt}", self.name);
                let outcome = self.attempt(open, &id, shape, length, seen);
                if !matches!(outcome, Ok((_, 'I'))) {
                    session = None;
                }
                match outcome {
                    Ok((Ok(()), _)) => {
                        ok = true;
                        break;
                    }
                    Ok((Err(code), _)) if is_promise(&code) => {}
                    _ => break,
                }
            }
            {
                let mut served = seen.served.lock().unwrap();
                if ok {
                    served.0 += 1;
                } else {
                    served.1 += 1;
                }
            }
            let pause = self.interval.mul_f64(2.0 * self.fraction());
            thread::sleep(pause.saturating_sub(started.elapsed()));
        }
    }

    /// Runs one operation. Returns how it ended, and the state of the session after it.
    fn attempt(
        &mut self,
        session: &mut Session,
        id: &str,
        shape: u64,
        length: u64,
        seen: &Seen,
    ) -> Result<(Result<(), String>, char), Error> {
        let (writes, transactions) = match self.kind {
            Kind::Primary => (20, 25),
            Kind::Bounded => (0, 10),
            Kind::Own => (12, 12),
        };
        let item = format!("{:x}", self.next() % 2000);
        if shape < transactions {
            return self.transaction(session, id, &item, length, seen);
        }
        if shape < transactions + writes {
            let answer = session.query(&format!("{id}.w"), &format!("WRITE {item} v{id}"))?;
            if answer.result.is_ok() {
                seen.acknowledged
                    .lock()
                    .unwrap()
                    .push((format!("{id}.w"), Instant::now()));
            }
            return Ok((answer.result.map(drop), answer.state));
        }
        let answer = session.query(&format!("{id}.r"), &format!("READ {item}"))?;
        Ok((answer.result.map(drop), answer.state))
    }

    fn transaction(
        &mut self,
        session: &mut Session,
        id: &str,
        item: &str,
        length: u64,
        seen: &Seen,
    ) -> Result<(Result<(), String>, char), Error> {
        let writes = match self.kind {
            Kind::Primary => true,
            Kind::Bounded => false,
            Kind::Own => length % 2 == 0,
        };
        let begin = session.query(&format!("{id}.b"), if writes { "BEGIN" } else { "BEGIN READ" })?;
        if begin.result.is_err() {
            return Ok((begin.result.map(drop), begin.state));
        }
        for step in 0..length {
            let write = writes && step + 1 == length;
            let text = if write {
                format!("WRITE {item} v{id}")
            } else {
                format!("READ {item}")
            };
            let answer = session.query(&format!("{id}.{step}"), &text)?;
            if answer.result.is_err() {
                return Ok((answer.result.map(drop), answer.state));
            }
            thread::sleep(Duration::from_millis(50 + self.next() % 200));
        }
        let commit = session.query(&format!("{id}.c"), "COMMIT")?;
        if commit.result.is_ok() && writes {
            seen.acknowledged
                .lock()
                .unwrap()
                .push((format!("{id}.c"), Instant::now()));
        }
        Ok((commit.result.map(drop), commit.state))
    }

    /// The next number of a small generator.
    fn next(&mut self) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.seed >> 33
    }

    fn fraction(&mut self) -> f64 {
        (self.next() % 10_000) as f64 / 10_000.0
    }
}

/// Whether an answer promises that nothing of the operation is kept.
fn is_promise(code: &str) -> bool {
    matches!(
        code,
        "BUSY" | "ABORTED" | "LAGGING" | "READONLY" | "WRONGNODE" | "TOOMANY"
    )
}

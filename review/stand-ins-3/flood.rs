//! A few peers send statements ahead, in pieces of many, and read the answers. Meanwhile one ordinary caller sends one
//! statement, and the platform asks whether the instance is ready.
//!
//! The check depends on no time: the ordinary request has to be answered before the peers have got a million answers more.

use crate::caller::Session;
use crate::fleet::{DATABASE, Fleet};
use crate::node::TERMINATE;
use crate::{Run, Verdict};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Peers that send ahead.
const PEERS: usize = 4;
/// A statement that the instance answers by itself.
const STATEMENT: &str = "SET colour blue";
/// Statements that a peer sends in one piece.
const PIECE: usize = 2_000;
/// Answers to the peers after which the ordinary request is sent.
const FIRST_ANSWERS: u64 = 10_000;
/// Answers to the peers after that by which the ordinary request must be answered.
const MAX_ANSWERS_AHEAD: u64 = 1_000_000;
/// Time after which a run that has not decided says nothing.
const RUN_LIMIT: Duration = Duration::from_secs(75);
/// `grace_s` of the settings.
const GRACE: Duration = Duration::from_secs(6);
const POLL_PERIOD: Duration = Duration::from_millis(10);
/// Time for which the peers go on in a run without the disruption.
const CALM_TIME: Duration = Duration::from_secs(3);

pub fn run(run: &Run<'_>) -> std::io::Result<Verdict> {
    let mut fleet = Fleet::open(run, 3)?;
    let address = fleet.nodes[0].callers;
    let mut ordinary = Session::open(address, DATABASE)?;
    ordinary.run("before", "WRITE item before")?;
    let peers = Peers::start(address, run.trouble)?;
    fleet.record.line(&format!(
        "{}: {PEERS} peers begin, they send ahead: {}",
        fleet.nodes[0].name, run.trouble
    ));
    let begun = Instant::now();
    while peers.answers() < FIRST_ANSWERS && (run.trouble || begun.elapsed() < CALM_TIME) {
        if begun.elapsed() > RUN_LIMIT {
            return Err(std::io::Error::other("the peers got too few answers"));
        }
        thread::sleep(POLL_PERIOD);
    }
    let before = peers.answers();
    let (statement, probe) = (Flag::default(), Flag::default());
    fleet
        .record
        .line("one ordinary caller sends WRITE item during; the platform asks for readiness");
    let is_answered = statement.clone();
    thread::spawn(move || {
        let answered = ordinary.run("during", "WRITE item during");
        is_answered.set(answered.is_ok_and(|(_, result, _)| result.starts_with("COMPLETE ")));
    });
    let (is_ready, readiness) = (probe.clone(), fleet.nodes[0].readiness());
    thread::spawn(move || is_ready.set(crate::node::is_ready_at(readiness, RUN_LIMIT)));
    while !statement.is_set() && peers.answers() - before < MAX_ANSWERS_AHEAD {
        if begun.elapsed() > RUN_LIMIT {
            return Err(std::io::Error::other("the peers got too few answers"));
        }
        thread::sleep(POLL_PERIOD);
    }
    let is_broken = !statement.is_set();
    fleet.record.line(&format!(
        "after {} more answers to the peers: statement answered: {}, probe answered: {}",
        peers.answers() - before,
        statement.is_set(),
        probe.is_set()
    ));
    fleet.nodes[0].signal(TERMINATE, &fleet.record);
    let signalled = Instant::now();
    while fleet.nodes[0].ended().is_none() && signalled.elapsed() < GRACE {
        thread::sleep(POLL_PERIOD);
    }
    let ended = fleet.nodes[0].ended().is_some();
    fleet.record.line(&format!(
        "{}: has ended within grace_s: {ended}",
        fleet.nodes[0].name
    ));
    peers.stop();
    if is_broken {
        fleet
            .record
            .line("Fault: the program answers the peers only, and nobody else");
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

#[derive(Debug, Clone, Default)]
struct Flag(Arc<AtomicBool>);

impl Flag {
    fn set(&self, value: bool) {
        self.0.store(value, Ordering::SeqCst);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

struct Peers {
    stop: Flag,
    /// Lines of the answers; each answer has two.
    lines: Arc<AtomicU64>,
}

impl Peers {
    fn start(address: SocketAddr, send_ahead: bool) -> std::io::Result<Self> {
        let peers = Self {
            stop: Flag::default(),
            lines: Arc::default(),
        };
        let sessions = (0..PEERS).map(|_| Session::open(address, DATABASE));
        let sessions: Vec<_> = sessions.collect::<Result<_, _>>()?;
        for session in sessions {
            if send_ahead {
                peers.send_ahead(session)?;
            } else {
                peers.take_turns(session);
            }
        }
        Ok(peers)
    }

    fn answers(&self) -> u64 {
        self.lines.load(Ordering::Relaxed) / 2
    }

    /// Sends one statement after the other, each after the answer to the last one.
    fn take_turns(&self, mut session: Session) {
        let (stop, lines) = (self.stop.clone(), Arc::clone(&self.lines));
        thread::spawn(move || {
            while !stop.is_set() && session.run("1", STATEMENT).is_ok() {
                lines.fetch_add(2, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(1));
            }
        });
    }

    /// Sends statements as fast as the instance takes them.
    fn send_ahead(&self, session: Session) -> std::io::Result<()> {
        let mut writer = session.into_stream();
        let mut reader = writer.try_clone()?;
        let (ended, lines) = (self.stop.clone(), Arc::clone(&self.lines));
        thread::spawn(move || {
            let mut buf = vec![0; 1 << 18];
            while let Ok(len) = reader.read(&mut buf) {
                let count = buf[..len].iter().filter(|byte| **byte == b'\n').count();
                lines.fetch_add(count as u64, Ordering::Relaxed);
                if len == 0 || ended.is_set() {
                    break;
                }
            }
        });
        let stop = self.stop.clone();
        thread::spawn(move || {
            let piece = format!("QUERY 1 {STATEMENT}\r\n").repeat(PIECE);
            while !stop.is_set() && writer.write_all(piece.as_bytes()).is_ok() {}
            // The instance may have closed it.
            let _closed = writer.shutdown(Shutdown::Both);
        });
        Ok(())
    }

    fn stop(&self) {
        self.stop.set(true);
    }
}

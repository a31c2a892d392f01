//! A few callers send statements ahead, in pieces of many, and read the answers. Meanwhile an ordinary caller sends one
//! statement, the platform asks whether the instance is ready, and then tells it to stop.

use crate::caller::Session;
use crate::fleet::{DATABASE, Fleet};
use crate::node::{TERMINATE, is_ready_at};
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
/// Time for which they send before the platform stops the instance.
const FLOOD_TIME: Duration = Duration::from_secs(20);
/// `grace_s` of the settings.
const GRACE: Duration = Duration::from_secs(6);
/// Time from one question of the platform to the next.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
const POLL_PERIOD: Duration = Duration::from_millis(10);

pub fn run(run: &Run<'_>) -> std::io::Result<Verdict> {
    let mut fleet = Fleet::open(run, 3)?;
    let record = fleet.record.clone();
    let node = &mut fleet.nodes[0];
    let mut ordinary = Session::open(node.callers, DATABASE)?;
    ordinary.run("before", "WRITE item before")?;
    let peers = Peers::start(node.callers, run.trouble)?;
    record.line(&format!(
        "{}: {PEERS} callers begin, they send ahead: {}",
        node.name, run.trouble
    ));
    thread::sleep(PROBE_PERIOD);
    let statement = Flag::default();
    record.line("an ordinary caller sends WRITE item during");
    let is_answered = statement.clone();
    thread::spawn(move || {
        let answered = ordinary.run("during", "WRITE item during");
        is_answered.set(answered.is_ok_and(|(_, result, _)| result.starts_with("COMPLETE ")));
    });
    let begun = Instant::now();
    let (mut probes, mut ready) = (0, 0);
    while begun.elapsed() < FLOOD_TIME {
        let asked = Instant::now();
        probes += 1;
        ready += u32::from(is_ready_at(node.readiness(), PROBE_PERIOD));
        thread::sleep(PROBE_PERIOD.saturating_sub(asked.elapsed()));
    }
    let is_answered = statement.is_set();
    record.line(&format!(
        "after {} answers to the {PEERS} callers: the ordinary statement is answered: {is_answered}; {ready} of {probes} \
         questions of the platform are answered",
        peers.answers()
    ));
    node.signal(TERMINATE, &record);
    let signalled = Instant::now();
    while !node.has_ended() && signalled.elapsed() < GRACE {
        thread::sleep(POLL_PERIOD);
    }
    let has_ended = node.has_ended();
    record.line(&format!("{}: has ended within grace_s: {has_ended}", node.name));
    peers.stop();
    let is_broken = !is_answered && !has_ended;
    if is_broken {
        record.line("Fault: the process hangs");
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

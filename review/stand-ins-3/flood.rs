//! A few peers flood an instance with statements, without a wait for the answers, which they read all the while.

use crate::caller::{Answered, Session, Writers};
use crate::fleet::{DATABASE, Fleet};
use crate::node::TERMINATE;
use crate::{Run, Verdict};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Peers that flood the instance.
const PEERS: usize = 4;
const FLOOD_TIME: Duration = Duration::from_secs(15);
/// Time after the start of the flood at which the platform stops the instance.
const SIGTERM_AFTER: Duration = Duration::from_secs(8);
/// `grace_s` of the settings.
const GRACE: Duration = Duration::from_secs(6);
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time without any answer to others from which the instance counts as hung: five times the `timeout_ms` of the route.
const HANG: Duration = Duration::from_secs(5);
/// A statement that the instance answers by itself.
const STATEMENT: &str = "SET colour blue";
/// Statements that the peer sends at once.
const BATCH: usize = 2_000;

pub fn run(run: &Run<'_>) -> std::io::Result<Verdict> {
    let mut fleet = Fleet::open(run, 3)?;
    let writers = Writers::start(&fleet.addresses(), 4, DATABASE);
    thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    let flood = Flood::start(fleet.nodes[0].callers, run.trouble)?;
    fleet.record.line(&format!(
        "{}: {PEERS} peers begin, flood: {}",
        fleet.nodes[0].name, run.trouble
    ));
    let mut probes = Vec::new();
    let mut stopped = false;
    while started.elapsed() < FLOOD_TIME && fleet.nodes[0].ended().is_none() {
        let asked = Instant::now();
        if !stopped {
            let ready = fleet.nodes[0].is_ready();
            fleet.record.line(&format!(
                "{}: probe of its readiness, 200: {ready}",
                fleet.nodes[0].name
            ));
            probes.push(ready);
        }
        if !stopped && started.elapsed() >= SIGTERM_AFTER {
            fleet.nodes[0].signal(TERMINATE, &fleet.record);
            stopped = true;
        }
        thread::sleep(PROBE_PERIOD.saturating_sub(asked.elapsed()));
    }
    let ended_after = started.elapsed();
    let ended = fleet.nodes[0].ended();
    flood.stop();
    thread::sleep(Duration::from_secs(1));
    writers.stop();
    fleet.record.line(&format!(
        "the peers sent {} statements and received {} bytes of answers",
        flood.sent.load(Ordering::Relaxed),
        flood.received.load(Ordering::Relaxed)
    ));
    let record = &fleet.record;
    let until = started + SIGTERM_AFTER;
    let answered = writers.answered();
    for node in 0..fleet.nodes.len() {
        let gap = longest_gap(&answered, node, started, until);
        record.line(&format!(
            "{}: longest time without an answer to its other callers, in the first {SIGTERM_AFTER:?}: {gap:?}",
            fleet.nodes[node].name
        ));
    }
    let unanswered = probes.iter().filter(|ready| !**ready).count();
    record.line(&format!(
        "{unanswered} of {} probes were not answered",
        probes.len()
    ));
    let is_hung = longest_gap(&answered, 0, started, until) >= HANG;
    let overstays = ended.is_none() && ended_after >= SIGTERM_AFTER + GRACE;
    record.line(&format!(
        "{}: ended within grace_s after SIGTERM: {}",
        fleet.nodes[0].name, !overstays
    ));
    if is_hung {
        record.line("Fault: the program does not hand back the processor; it answers nobody but the peers");
    }
    Ok(if is_hung { Verdict::Broken } else { Verdict::Held })
}

/// The longest span without an answer from an instance.
fn longest_gap(answered: &[Answered], node: usize, from: Instant, to: Instant) -> Duration {
    let mut times: Vec<_> = answered
        .iter()
        .filter(|a| a.node == node)
        .map(|a| a.answered)
        .collect();
    times.retain(|at| *at > from && *at < to);
    times.push(to);
    times.sort();
    let mut last = from;
    let mut longest = Duration::ZERO;
    for at in times {
        longest = longest.max(at - last);
        last = at;
    }
    longest
}

struct Flood {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl Flood {
    fn start(address: SocketAddr, pipelines: bool) -> std::io::Result<Self> {
        let flood = Self {
            stop: Arc::default(),
            sent: Arc::default(),
            received: Arc::default(),
        };
        let sessions = (0..PEERS).map(|_| Session::open(address, DATABASE));
        let sessions: Vec<_> = sessions.collect::<Result<_, _>>()?;
        for session in sessions {
            if pipelines {
                flood.pipeline(session)?;
            } else {
                flood.take_turns(session);
            }
        }
        Ok(flood)
    }

    /// Sends one statement after the other, each after the answer to the last one.
    fn take_turns(&self, mut session: Session) {
        let (stop, sent) = (Arc::clone(&self.stop), Arc::clone(&self.sent));
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) && session.run("1", STATEMENT).is_ok() {
                sent.fetch_add(1, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(1));
            }
        });
    }

    /// Sends statements as fast as the instance takes them.
    fn pipeline(&self, session: Session) -> std::io::Result<()> {
        let mut writer = session.into_stream();
        let mut reader = writer.try_clone()?;
        let (ended, received) = (Arc::clone(&self.stop), Arc::clone(&self.received));
        thread::spawn(move || {
            let mut buf = vec![0; 1 << 20];
            while let Ok(len) = reader.read(&mut buf) {
                received.fetch_add(len as u64, Ordering::Relaxed);
                if len == 0 || ended.load(Ordering::Relaxed) {
                    break;
                }
            }
        });
        let (stop, sent) = (Arc::clone(&self.stop), Arc::clone(&self.sent));
        thread::spawn(move || {
            let batch = format!("QUERY 1 {STATEMENT}\r\n").repeat(BATCH);
            while !stop.load(Ordering::Relaxed) && writer.write_all(batch.as_bytes()).is_ok() {
                sent.fetch_add(BATCH as u64, Ordering::Relaxed);
            }
            // The instance may have closed it.
            let _closed = writer.shutdown(Shutdown::Both);
        });
        Ok(())
    }

    fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

//! Crowds of callers that do not behave, at two instances in turn, and a platform that ends each process above the memory
//! of its machine.

use crate::caller::Writers;
use crate::fleet::{DATABASE, Fleet};
use crate::node::Memory;
use crate::{CROWD, Run, Verdict};
use std::io::{Error, Result};
use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};

/// `limits.memory_mb` of the settings.
const MEMORY_LIMIT: usize = 260 << 20;
/// Instances that a crowd comes to, and how often. The rule counts two machines whose processes end three times.
const STRUCK: usize = 2;
const ROUNDS: u32 = 3;
/// Longest stay of a crowd, with its logins.
const ROUND_LIMIT: Duration = Duration::from_secs(12);
/// Length of a round without a crowd.
const CALM_ROUND: Duration = Duration::from_secs(3);
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Time from the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const READY_LIMIT: Duration = Duration::from_secs(3);
const MIB: usize = 1 << 20;

pub fn run(run: &Run<'_>) -> Result<Verdict> {
    let mut fleet = Fleet::open(run, 3)?;
    let writers = Writers::start(&fleet.addresses(), 2, DATABASE);
    let mut ends = [0_u32; STRUCK];
    for _ in 0..ROUNDS {
        for (node, ends) in ends.iter_mut().enumerate() {
            let crowd = run.trouble.then(|| open_crowd(&fleet, node)).transpose()?;
            let limit = if run.trouble { ROUND_LIMIT } else { CALM_ROUND };
            if exceeds_memory(&fleet, node, crowd.as_ref(), limit)? {
                *ends += 1;
                end_and_restart(&mut fleet, node, crowd)?;
            }
        }
    }
    writers.stop();
    fleet.record.line(&format!(
        "ordinary callers: {} statements answered, {} without an answer; processes ended by the platform: {ends:?}",
        writers.answered().len(),
        writers.unanswered()
    ));
    let is_broken = ends.iter().all(|ends| *ends >= ROUNDS);
    if is_broken {
        fleet
            .record
            .line("Fault: the processes of two machines ended three times each, above their memory");
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

fn open_crowd(fleet: &Fleet, node: usize) -> Result<Crowd> {
    let node = &fleet.nodes[node];
    let process = Command::new(std::env::current_exe()?)
        .args([CROWD, &node.callers.to_string()])
        .spawn()?;
    fleet.record.line(&format!("a crowd comes to {}", node.name));
    Ok(Crowd(process))
}

/// Watches an instance for `limit` at most. Returns whether it comes to need more than its memory.
fn exceeds_memory(fleet: &Fleet, node: usize, crowd: Option<&Crowd>, limit: Duration) -> Result<bool> {
    let node = &fleet.nodes[node];
    let begun = Instant::now();
    let mut most = Memory::default();
    while begun.elapsed() < limit {
        thread::sleep(CHECK_PERIOD);
        let memory = node.memory()?;
        if memory.total() > most.total() {
            most = memory;
        }
        if most.total() > MEMORY_LIMIT {
            break;
        }
    }
    fleet.record.line(&format!(
        "{}: {} connections of callers, {} MiB resident and {} MiB received and not read",
        node.name,
        most.connections,
        most.resident / MIB,
        most.unread / MIB
    ));
    if crowd.is_some() && most.connections < 1_000 {
        return Err(Error::other("the crowd could not connect"));
    }
    Ok(most.total() > MEMORY_LIMIT)
}

/// Ends the process as the platform does, and starts it again.
fn end_and_restart(fleet: &mut Fleet, node: usize, crowd: Option<Crowd>) -> Result<()> {
    let record = fleet.record.clone();
    let node = &mut fleet.nodes[node];
    record.line(&format!(
        "platform: {} is above its memory and is killed",
        node.name
    ));
    node.kill()?;
    drop(crowd);
    thread::sleep(RESTART_DELAY);
    node.start()?;
    let begun = Instant::now();
    while !node.is_ready() {
        if begun.elapsed() > READY_LIMIT {
            return Err(Error::other("an instance did not become ready again"));
        }
        thread::sleep(CHECK_PERIOD);
    }
    record.line(&format!("{} is ready again", node.name));
    Ok(())
}

/// The process of a crowd, which ends with this handle.
struct Crowd(Child);

impl Drop for Crowd {
    fn drop(&mut self) {
        // It may have ended already.
        let _ended = self.0.kill();
        let _status = self.0.wait();
    }
}

//! A holder of the failover duty whose write of the new primary gets no answer and is done late. It decides on the record
//! that it knows, and writes on the version of the one that it reads meanwhile.

use crate::caller::Writers;
use crate::fleet::{DATABASE, Fleet, SERVICE};
use crate::stale_order::check_writes;
use crate::{Run, Verdict};
use std::io::{Error, Result};
use std::thread;
use std::time::{Duration, Instant};

/// Span of time whose writes are counted, the length of `platform_lost`.
const LOSS_SPAN: Duration = Duration::from_millis(4_500);
/// Length of the cut between the new primary and the holder.
const CUT_TIME: Duration = Duration::from_secs(5);
const REPLACEMENT_LIMIT: Duration = Duration::from_secs(15);
/// Time from the record of the new primary to the end of the run.
const END_AFTER: Duration = Duration::from_secs(7);
const CALLERS_PER_INSTANCE: usize = 8;
const POLL_PERIOD: Duration = Duration::from_millis(2);
const LOG_TEXTS: [&str; 5] = [
    "primary record service",
    "promotion ordered",
    "replacing primary",
    "primary change failed",
    "successor chosen",
];

pub fn run(run: &Run<'_>) -> Result<Verdict> {
    let fleet = Fleet::open(run, 3)?;
    let record = &fleet.record;
    let writers = Writers::start(&fleet.addresses(), CALLERS_PER_INSTANCE, DATABASE);
    thread::sleep(Duration::from_secs(2));
    let old = fleet.primary().ok_or_else(|| Error::other("no primary"))?;
    if run.trouble {
        fleet
            .store
            .delay_write("wasabiyard", &format!("primary-{SERVICE}"), "serving");
    }
    record.line(&format!("planned: {old} is draining"));
    fleet.service.drain(&old);
    let mut cut_off = None;
    if run.trouble {
        let lost_at = await_some(|| fleet.store.delayed_at())?;
        let new = leader(&fleet).ok_or_else(|| Error::other("no new primary"))?;
        record.line(&format!(
            "store: no answer to the write of the record that {new} is the primary; it is done late"
        ));
        let holder = fleet
            .holder()
            .ok_or_else(|| Error::other("nobody holds the duty"))?;
        fleet.service.cut(&new, holder, Instant::now() + CUT_TIME);
        record.line(&format!(
            "{new} is cut off from {} for {} s",
            fleet.nodes[holder].name,
            CUT_TIME.as_secs()
        ));
        cut_off = Some(holder);
        thread::sleep(LOSS_SPAN / 2);
        record.line(&format!(
            "store: 1 of {} writes within {} s was not answered",
            fleet.store.writes_about(lost_at, LOSS_SPAN),
            LOSS_SPAN.as_secs_f64()
        ));
    } else {
        await_some(|| fleet.primary().filter(|p| *p != old))?;
    }
    thread::sleep(END_AFTER);
    writers.stop();
    for node in &fleet.nodes {
        for line in node.log_lines(&LOG_TEXTS) {
            record.line(&format!("log of {}: {line}", node.name));
        }
    }
    let is_broken = check_writes(&fleet, &writers, |node, _| Some(node) == cut_off);
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// The server that leads the newest term.
fn leader(fleet: &Fleet) -> Option<String> {
    let servers = fleet.service.servers().into_iter().filter(|s| s.primary);
    servers.max_by_key(|s| s.term).map(|s| s.id)
}

fn await_some<T, F>(look: F) -> Result<T>
where
    F: Fn() -> Option<T>,
{
    let begun = Instant::now();
    while begun.elapsed() < REPLACEMENT_LIMIT {
        if let Some(found) = look() {
            return Ok(found);
        }
        thread::sleep(POLL_PERIOD);
    }
    Err(Error::other("the primary was not replaced"))
}

//! A holder of the failover duty that stands still while it connects to the platform, and sends its order when it runs
//! again, after its successor has sent one with a higher fence number.

use crate::caller::Writers;
use crate::fleet::{DATABASE, Fleet, SERVICE};
use crate::node::{CONTINUE, STOP};
use crate::{Run, Verdict};
use std::thread;
use std::time::{Duration, Instant};

/// Time from the record of the chosen server to the freeze.
const FREEZE_AFTER: Duration = Duration::from_millis(1_050);
/// Length of the freeze.
const FREEZE_TIME: Duration = Duration::from_secs(4);
/// Time from the record to the second step of the replacement.
const SECOND_STEP_AFTER: Duration = Duration::from_millis(1_500);
/// Time from the record until the platform takes connections again.
const REOPEN_AFTER: Duration = Duration::from_millis(2_500);
/// Time from the record to the end of the run.
const END_AFTER: Duration = Duration::from_secs(12);
const CHOICE_LIMIT: Duration = Duration::from_secs(10);
/// `thaw_ms` of the settings.
const THAW: Duration = Duration::from_millis(300);

pub fn run(run: &Run<'_>) -> std::io::Result<Verdict> {
    let fleet = Fleet::open(run, 3)?;
    let record = &fleet.record;
    let writers = Writers::start(&fleet.addresses(), 2, DATABASE);
    thread::sleep(Duration::from_secs(2));
    let holder = fleet
        .holder()
        .ok_or_else(|| std::io::Error::other("nobody holds the duty"))?;
    let primary = fleet
        .primary()
        .ok_or_else(|| std::io::Error::other("no primary"))?;
    record.line(&format!(
        "{} holds the duty; the primary is {primary}",
        fleet.nodes[holder].name
    ));
    if run.trouble {
        fleet.platform.close();
    }
    record.line(&format!("planned: {primary} is draining"));
    fleet.service.drain(&primary);
    let chosen_at = await_choice(&fleet)?;
    let (frozen_at, thawed_at) = follow_plan(&fleet, run.trouble, holder, chosen_at);
    wait_until(chosen_at + END_AFTER);
    writers.stop();
    for node in &fleet.nodes {
        for line in node.log_lines(&["failover lease fence", "promotion ordered", "replacing primary"]) {
            record.line(&format!("log of {}: {line}", node.name));
        }
    }
    let is_frozen =
        |node: usize, at: Instant| run.trouble && node == holder && at >= frozen_at && at <= thawed_at + THAW;
    let is_broken = check_fences(&fleet) | check_writes(&fleet, &writers, is_frozen);
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Waits until the holder has recorded the server that it is about to promote.
fn await_choice(fleet: &Fleet) -> std::io::Result<Instant> {
    let begun = Instant::now();
    loop {
        let leadership = fleet.store.read("wasabiyard", &format!("primary-{SERVICE}"));
        let chosen = leadership
            .get("leadership")
            .get("promoting")
            .get("candidate")
            .as_text()
            .to_owned();
        if !chosen.is_empty() {
            fleet.record.line(&format!("the holder has chosen {chosen}"));
            return Ok(Instant::now());
        }
        if begun.elapsed() > CHOICE_LIMIT {
            return Err(std::io::Error::other("the primary was not replaced"));
        }
        thread::sleep(Duration::from_millis(2));
    }
}

/// Carries out the rest of the plan. Returns the times at which the holder stood still and ran again.
fn follow_plan(fleet: &Fleet, trouble: bool, holder: usize, chosen_at: Instant) -> (Instant, Instant) {
    let second = "i-members-1";
    if !trouble {
        wait_until(chosen_at + SECOND_STEP_AFTER);
        fleet.record.line(&format!("planned: {second} is draining"));
        fleet.service.drain(second);
        return (chosen_at, chosen_at);
    }
    wait_until(chosen_at + FREEZE_AFTER);
    fleet.nodes[holder].signal(STOP, &fleet.record);
    let frozen_at = Instant::now();
    wait_until(chosen_at + SECOND_STEP_AFTER);
    fleet.record.line(&format!("planned: {second} is draining"));
    fleet.service.drain(second);
    wait_until(chosen_at + REOPEN_AFTER);
    fleet.platform.reopen();
    wait_until(frozen_at + FREEZE_TIME);
    fleet.nodes[holder].signal(CONTINUE, &fleet.record);
    (frozen_at, Instant::now())
}

fn wait_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Whether the platform got a lower fence number than it had seen.
fn check_fences(fleet: &Fleet) -> bool {
    let mut highest = 0;
    let mut is_broken = false;
    for order in fleet.platform.orders() {
        if order.fence < highest {
            is_broken = true;
            fleet.record.line(&format!(
                "ONE broken: {} sent fence {} at {:.3}, after the platform had seen {highest}",
                order.holder,
                order.fence,
                fleet.record.seconds(order.at)
            ));
        }
        highest = highest.max(order.fence);
    }
    is_broken
}

/// Whether a write was acknowledged that a former primary had committed after a promotion had taken effect.
pub fn check_writes<F>(fleet: &Fleet, writers: &Writers, is_frozen: F) -> bool
where
    F: Fn(usize, Instant) -> bool,
{
    let promotions = fleet.service.promotions();
    for (term, at) in &promotions {
        let seconds = fleet.record.seconds(*at);
        fleet
            .record
            .line(&format!("promotion to term {term} took effect at {seconds:.3}"));
    }
    let answered = writers.answered();
    let leader = fleet
        .service
        .servers()
        .into_iter()
        .filter(|s| s.primary)
        .max_by_key(|s| s.term);
    let log = leader.map(|s| s.log).unwrap_or_default();
    let (mut acknowledged, mut late, mut lost) = (0, 0, 0);
    let commits = fleet.service.commits();
    for write in answered.iter().filter(|a| a.is_success()) {
        acknowledged += 1;
        let Some(commit) = commits
            .iter()
            .find(|c| c.item == write.item && c.data == write.data)
        else {
            continue;
        };
        let superseded = promotions
            .iter()
            .any(|(term, at)| *term > commit.term && *at < commit.at);
        if superseded && !is_frozen(write.node, commit.at) {
            late += 1;
            if late <= 5 {
                fleet.record.line(&format!(
                    "ONE broken: WRITE {} {} acknowledged by {}; committed at {} in term {} at {:.3}, after a later term had begun",
                    write.item,
                    write.data,
                    fleet.nodes[write.node].name,
                    commit.server,
                    commit.term,
                    fleet.record.seconds(commit.at)
                ));
            }
        }
        lost += usize::from(!log.iter().any(|e| e.item == write.item && e.data == write.data));
    }
    fleet.record.line(&format!(
        "{} writes answered, {acknowledged} acknowledged; {late} of them committed at a former primary after a promotion; \
         {lost} of them not in the log of the last primary",
        answered.len()
    ));
    late > 0
}

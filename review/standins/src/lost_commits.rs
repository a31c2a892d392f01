//! Cases `lost-commits` and `lost-commits-draining`: a service with `sync_replicas` 1. One replica receives nothing for a
//! while, and the primary crashes meanwhile. The other replica runs, and holds every acknowledged commit. In the second case
//! it has said before that it leaves.

use crate::Outcome;
use crate::client::Kind;
use crate::database::{Group, Sizes};
use crate::fleet::{Fleet, Placement, ZONES, config};
use crate::record::Record;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Figures of `members` in SYSTEM.md, but for `sync_replicas`.
const SIZES: Sizes = Sizes {
    slots: 3,
    queue: 24,
    max_connections: 21,
    sync_replicas: 1,
    apply_lag: Duration::from_millis(60),
};
/// Instances, as many as in the deployment of SYSTEM.md.
const INSTANCES: u8 = 7;
/// Time for which the replica receives nothing.
const DEAF_TIME: Duration = Duration::from_millis(6_500);
/// Time from the start of that until the primary crashes.
const CRASH_AFTER: Duration = Duration::from_secs(4);

/// Time for which the primary is down: `srv_crash` in the site file.
const DOWN_TIME: Duration = Duration::from_secs(7);
/// More load during a burst, as a part of the usual one: `burst` in the site file, x 1.7.
const BURST_LOAD: f64 = 0.7;
/// Length of the burst: `burst` in the site file.
const BURST_TIME: Duration = Duration::from_secs(3);
/// Time from the start of the burst until the primary crashes.
const BURST_BEFORE_CRASH: Duration = Duration::from_millis(1_800);

pub fn run(root: &Path, record: &Record, trouble: bool, draining: bool) -> Outcome {
    let group = match Group::open("members", &ZONES[..3], SIZES, record.clone()) {
        Ok(group) => group,
        Err(e) => return Outcome::NotRun(e.to_string()),
    };
    let promote = Arc::new(|group: &Group, id: &str, _fence: u64| group.promote(id));
    let placement = Placement {
        instances: INSTANCES,
        zones: &ZONES,
    };
    let config = config(SIZES.sync_replicas);
    let fleet = match Fleet::start(root, record, group.clone(), &placement, &config, promote) {
        Ok(fleet) => fleet,
        Err(e) => return Outcome::NotRun(e),
    };
    // What falls on one of the three services of the deployment of SYSTEM.md.
    spawn_load(&fleet, 1.0, None);
    thread::sleep(Duration::from_secs(8));
    record.note(&group.describe());
    if trouble && draining {
        group.set_draining(1, true);
        record.note(&format!(
            "planned: {} says that it leaves; it runs on for more than drain_ms",
            group.id(1)
        ));
    }
    if trouble {
        group.set_receives(2, false);
        record.note(&format!("disruption: {} receives nothing", group.id(2)));
    }
    thread::sleep(CRASH_AFTER - BURST_BEFORE_CRASH);
    if trouble && !draining {
        spawn_load(&fleet, BURST_LOAD, Some(Instant::now() + BURST_TIME));
        record.note(&format!("disruption: a burst, for {} s", BURST_TIME.as_secs()));
    }
    thread::sleep(BURST_BEFORE_CRASH);
    record.note(&group.describe());
    if trouble {
        group.crash(0);
        record.note(&format!("disruption: the primary {} crashes", group.id(0)));
    }
    let crashed_at = Instant::now();
    for _ in 0..25 {
        thread::sleep(Duration::from_millis(100));
        record.line(&group.describe());
    }
    thread::sleep(DEAF_TIME - CRASH_AFTER - Duration::from_millis(2_500));
    if trouble {
        group.set_receives(2, true);
        record.note(&format!("disruption over: {} receives again", group.id(2)));
    }
    thread::sleep(DOWN_TIME.saturating_sub(crashed_at.elapsed()));
    if trouble {
        group.restart(0);
        record.note(&format!("disruption over: {} runs again", group.id(0)));
    }
    thread::sleep(Duration::from_secs(2));
    record.note(&group.describe());
    let outcome = check(&fleet, record, trouble);
    fleet.end();
    outcome
}

/// Starts requesters with a part of the usual load.
fn spawn_load(fleet: &Fleet, part: f64, until: Option<Instant>) {
    let spawn = |kind, host, sessions: f64, per_second: f64, time_limit| {
        let sessions = (sessions * part).round() as usize;
        let time_limit = Duration::from_secs(time_limit);
        fleet.spawn_requesters_until(until, kind, host, "k-zoo", sessions, per_second * part, time_limit);
    };
    spawn(Kind::Primary, "renew", 18.0, 18.0, 1);
    spawn(Kind::Bounded, "gate", 18.0, 18.0, 4);
    spawn(Kind::Own, "gift", 61.0, 84.0, 1);
}

/// Whether each commit that was acknowledged before a database began to lead is in its log.
fn check(fleet: &Fleet, record: &Record, trouble: bool) -> Outcome {
    let (served, given_up) = fleet.seen.served();
    let acknowledged = fleet.seen.acknowledged.lock().unwrap().clone();
    record.note(&format!(
        "{served} operations served, {given_up} given up, {} commits acknowledged",
        acknowledged.len()
    ));
    if acknowledged.len() < 50 {
        return Outcome::NotRun("hardly any commit was acknowledged".to_owned());
    }
    let promotions = fleet.group.promotions();
    if trouble && promotions.is_empty() {
        return Outcome::NotRun("no database was promoted".to_owned());
    }
    let mut broken = false;
    for promotion in &promotions {
        let missing = |(commit, acked): &&(String, Instant)| *acked < promotion.at && !promotion.log.contains(commit);
        let lost: Vec<_> = acknowledged
            .iter()
            .filter(missing)
            .map(|(commit, _)| commit.as_str())
            .collect();
        record.note(&format!(
            "{} was promoted; acknowledged commits that its log lacks: {}",
            promotion.server,
            lost.len()
        ));
        for commit in &lost {
            record.line(&format!("lost    {commit}"));
        }
        broken |= !lost.is_empty();
    }
    if broken { Outcome::Broken } else { Outcome::Held }
}

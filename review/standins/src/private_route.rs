//! Case `private-route`: a route that is open to callers without a key is removed, and added again as one that asks for a
//! key. A session that was opened without a key stays open meanwhile.

use crate::Outcome;
use crate::client::Session;
use crate::database::{Group, Sizes};
use crate::fleet::{Fleet, Placement, ZONES, config};
use crate::record::Record;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Figures of `members` in SYSTEM.md.
const SIZES: Sizes = Sizes {
    slots: 3,
    queue: 24,
    max_connections: 21,
    sync_replicas: 0,
    apply_lag: Duration::from_millis(60),
};
const INSTANCES: u8 = 3;
/// A key that no configuration ever holds.
const UNKNOWN_KEY: &str = "k-nobody";
/// `config_apply_ms` of SYSTEM.md.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
/// Time between two versions of the configuration.
const VERSION_INTERVAL: Duration = Duration::from_secs(2);

pub fn run(root: &Path, record: &Record, trouble: bool) -> Outcome {
    let group = match Group::open("members", &ZONES[..3], SIZES, record.clone()) {
        Ok(group) => group,
        Err(e) => return Outcome::NotRun(e.to_string()),
    };
    let promote = Arc::new(|group: &Group, id: &str, _fence: u64| group.promote(id));
    let placement = Placement {
        instances: INSTANCES,
        zones: &ZONES,
    };
    let private = config(SIZES.sync_replicas);
    let open = private.replacen("\"public\":false", "\"public\":true", 1);
    let removed = {
        let start = private.find("{\"name\":\"r-gate\"").unwrap();
        let end = private[start..].find("},").unwrap() + start + 2;
        format!("{}{}", &private[..start], &private[end..])
    };
    let fleet = match Fleet::start(root, record, group, &placement, &open, promote) {
        Ok(fleet) => fleet,
        Err(e) => return Outcome::NotRun(e),
    };
    let outcome = check(&fleet, record, trouble, &removed, &private);
    fleet.end();
    outcome
}

fn check(fleet: &Fleet, record: &Record, trouble: bool, removed: &str, private: &str) -> Outcome {
    let open = |node: &crate::node::Node| Session::open(node.callers, "gate", UNKNOWN_KEY, record);
    let mut sessions = Vec::new();
    for (number, node) in fleet.nodes.iter().enumerate() {
        let Ok(Ok(mut session)) = open(node) else {
            return Outcome::NotRun(format!("{} refused a session on the open route", node.name));
        };
        let Ok(answer) = session.query(&format!("gate-before-{number}"), "READ 1") else {
            return Outcome::NotRun("no answer on the open route".to_owned());
        };
        record.note(&format!(
            "{}: a session without a key reads: {:?}",
            node.name, answer.result
        ));
        sessions.push(session);
    }
    if trouble {
        fleet
            .store
            .write("config", "main", &removed.replace("\"version\":7", "\"version\":8"));
        record.note("operator: version 8, without the route, is acknowledged");
        thread::sleep(VERSION_INTERVAL);
        fleet
            .store
            .write("config", "main", &private.replace("\"version\":7", "\"version\":9"));
        record.note("operator: version 9, with the route again, not public, is acknowledged");
    }
    thread::sleep(CONFIG_APPLY * 2);
    let mut served = 0;
    for (number, (node, session)) in fleet.nodes.iter().zip(&mut sessions).enumerate() {
        let login = open(node).map(|login| login.map(drop));
        record.note(&format!("{}: a new session with the same key: {login:?}", node.name));
        let answer = session.query(&format!("gate-after-{number}"), "READ 1");
        let result = answer.map(|a| a.result);
        record.note(&format!(
            "{}: the session from before reads, {} ms after the last version: {result:?}",
            node.name,
            2 * CONFIG_APPLY.as_millis()
        ));
        served += usize::from(matches!(result, Ok(Ok(_))));
    }
    if trouble && served > 0 {
        Outcome::Broken
    } else if !trouble && served < sessions.len() {
        Outcome::NotRun("a session was not served on the open route".to_owned())
    } else {
        Outcome::Held
    }
}

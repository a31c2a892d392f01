//! Failover policy: when a primary is replaced, and by which backend server.

use std::sync::Arc;
use std::time::Duration;
use wasabiyard_gateway::control::{
    FailoverReason, ReachabilityReports, ServerContacts, failover_reason, heartbeat_period,
    only_passes_log_on,
};
use wasabiyard_gateway::{BackendServer, ClusterSnapshot, Configuration, PrimaryRecord, Role, ServiceRule};
use wasabiyard_model::{Incarnation, InstanceId, Time};
use wasabiyard_platform::{ListedInstance, ListedState};

const NOW: Time = Time::from_millis(10_000);

fn server(id: &str, role: Role) -> Arc<BackendServer> {
    Arc::new(BackendServer {
        id: id.into(),
        service: "members".into(),
        address: "10.0.0.1:5000".parse().expect("an address"),
        domain: "riga-a".into(),
        capacity: 3,
        draining: false,
        role,
        started_ms: 1,
        warmup_left_ms: 0,
    })
}

fn instance(name: &str) -> ListedInstance {
    ListedInstance {
        id: InstanceId::from(name),
        incarnation: Incarnation(1),
        address: "10.0.0.9:7560".to_owned(),
        domain: "riga-a".to_owned(),
        state: ListedState::Live,
    }
}

fn snapshot() -> ClusterSnapshot {
    let mut snapshot = ClusterSnapshot::default();
    for (id, role) in [("p", Role::Primary), ("r1", Role::Replica), ("r2", Role::Replica)] {
        snapshot.servers.insert(id.into(), server(id, role));
    }
    let record = PrimaryRecord::first("p".into());
    snapshot.primaries.insert("members".into(), record);
    snapshot.members = ["a", "b", "c", "d", "e", "f", "g"].map(instance).to_vec();
    snapshot
}

/// Reports of the instances `unable_to_reach` that they cannot reach the primary, and empty ones of `healthy`.
fn reports(unable_to_reach: &[&str], healthy: &[&str], at: Time) -> ReachabilityReports {
    let mut reports = ReachabilityReports::default();
    for name in unable_to_reach {
        let contacts = ServerContacts {
            unreachable: vec!["p".into()],
            reached: Vec::new(),
        };
        reports.on_report(InstanceId::from(*name), contacts, at);
    }
    for name in healthy {
        reports.on_report(InstanceId::from(*name), ServerContacts::default(), at);
    }
    reports
}

/// A listed role lags behind a promotion: the old primary is listed as primary for a while, and returning to it would
/// lose the newest commits.
#[test]
fn a_listed_role_does_not_replace_the_recorded_primary() {
    let mut snapshot = snapshot();
    snapshot.servers.insert("p".into(), server("p", Role::Replica));
    snapshot.servers.insert("r1".into(), server("r1", Role::Primary));
    let reports = reports(&[], &["a", "b", "c", "d", "e", "f", "g"], NOW);
    assert_eq!(failover_reason("members", &snapshot, &reports, NOW), None);
}

/// A primary that is a replica refuses writes without counting as lost. It is asked once it has been listed as a replica for
/// longer than the list lags, and not over and over.
#[test]
fn a_primary_that_stays_listed_as_a_replica_is_asked() {
    let mut snapshot = snapshot();
    let mut reports = ReachabilityReports::default();
    reports.on_server_list(&snapshot, NOW);
    assert!(!reports.may_be_deposed("p", NOW + Duration::from_secs(9)));
    snapshot.servers.insert("p".into(), server("p", Role::Replica));
    reports.on_server_list(&snapshot, NOW);
    reports.on_server_list(&snapshot, NOW + Duration::from_secs(1));
    assert!(!reports.may_be_deposed("p", NOW + Duration::from_secs(1)));
    let later = NOW + Duration::from_secs(2);
    assert!(reports.may_be_deposed("p", later));
    assert!(!reports.may_be_deposed("r1", later), "a replica");
    reports.on_primary_asked("p", later);
    assert!(!reports.may_be_deposed("p", later + Duration::from_secs(1)));
    assert!(reports.may_be_deposed("p", later + Duration::from_secs(2)));
    snapshot.servers.insert("p".into(), server("p", Role::Primary));
    reports.on_server_list(&snapshot, later + Duration::from_secs(2));
    assert!(!reports.may_be_deposed("p", later + Duration::from_secs(9)));
}

/// One instance whose own network link is broken must not cause a failover for all others.
#[test]
fn one_instance_does_not_replace_the_primary() {
    let reports = reports(&["a"], &["b", "c", "d", "e", "f", "g"], NOW);
    assert_eq!(failover_reason("members", &snapshot(), &reports, NOW), None);
}

#[test]
fn a_third_of_a_fully_reporting_fleet_replaces_the_primary() {
    let reports = reports(&["a", "b", "c"], &["d", "e", "f", "g"], NOW);
    assert_eq!(
        failover_reason("members", &snapshot(), &reports, NOW),
        Some(FailoverReason::Lost)
    );
}

/// While some instances do not report, a failover blocks writes until their view leases expire, so more of the
/// reporting instances must find the primary unreachable.
#[test]
fn a_third_of_the_reporting_instances_is_not_enough_while_others_are_silent() {
    let reports = reports(&["a", "b"], &["c", "d", "e"], NOW);
    assert_eq!(failover_reason("members", &snapshot(), &reports, NOW), None);
}

/// Instances repeat their reports; one that was not repeated says nothing about the current state.
#[test]
fn old_reports_do_not_count() {
    let reports = reports(&["a", "b", "c", "d", "e"], &[], Time::from_millis(8_000));
    assert_eq!(failover_reason("members", &snapshot(), &reports, NOW), None);
}

#[test]
fn a_draining_primary_is_replaced_only_by_a_server_that_takes_new_work() {
    let mut snapshot = snapshot();
    let mut leaving = BackendServer::clone(&server("p", Role::Primary));
    leaving.draining = true;
    snapshot.servers.insert("p".into(), Arc::new(leaving));
    let none = ReachabilityReports::default();
    assert_eq!(
        failover_reason("members", &snapshot, &none, NOW),
        Some(FailoverReason::Leaving)
    );
    snapshot.domains_out = vec!["riga-a".into()];
    assert_eq!(failover_reason("members", &snapshot, &none, NOW), None);
}

/// Server entries expire while the store is unavailable and are back within two seconds of its return.
#[test]
fn a_primary_is_lost_only_after_it_was_unlisted_for_a_while() {
    let mut snapshot = snapshot();
    snapshot.servers.remove(&Arc::from("p"));
    let mut reports = ReachabilityReports::default();
    reports.on_server_list(&snapshot, NOW);
    let soon = Time::from_millis(12_000);
    let later = Time::from_millis(12_600);
    assert_eq!(failover_reason("members", &snapshot, &reports, soon), None);
    assert_eq!(
        failover_reason("members", &snapshot, &reports, later),
        Some(FailoverReason::Lost)
    );
}

/// A follower reads the server list directly while the primary's entry is missing, receives the entry again through a
/// relay, and acquires the failover lease seconds later. Replacing the healthy primary then would block writes for
/// nothing.
#[test]
fn a_primary_that_is_listed_again_is_not_gone() {
    let mut listed = snapshot();
    let mut missing = listed.clone();
    missing.servers.remove("p");
    let mut reports = reports(&[], &["a", "b", "c", "d", "e", "f", "g"], NOW);
    reports.on_server_list(&missing, Time::from_millis(1_000));
    assert_eq!(
        failover_reason("members", &missing, &reports, NOW),
        Some(FailoverReason::Lost)
    );
    assert_eq!(failover_reason("members", &listed, &reports, NOW), None);
    reports.on_server_list(&listed, NOW);
    listed.servers.remove("p");
    assert_eq!(failover_reason("members", &listed, &reports, NOW), None);
}

/// A fleet of hundreds of instances, each of which has used the primary in the last heartbeat period with a chance of one
/// in three.
fn large_fleet_reports(
    snapshot: &mut ClusterSnapshot,
    unable_to_reach: usize,
    at: Time,
) -> ReachabilityReports {
    let names: Vec<_> = (0..295).map(|i| format!("i{i:03}")).collect();
    snapshot.members = names.iter().map(|n| instance(n)).collect();
    let mut reports = ReachabilityReports::default();
    for (i, name) in names.iter().enumerate() {
        let used = i % 3 == 0;
        let contacts = match (used, i < unable_to_reach) {
            (true, true) => (vec!["p".into()], Vec::new()),
            (true, false) => (Vec::new(), vec!["p".into()]),
            (false, _) => (Vec::new(), Vec::new()),
        };
        let contacts = ServerContacts {
            unreachable: contacts.0,
            reached: contacts.1,
        };
        reports.on_report(InstanceId::from(name.as_str()), contacts, at);
    }
    reports
}

/// In a large fleet most instances have not used a primary in the last second. If they counted as reaching it, a dead
/// primary would be replaced only once it is missing from the server list, seconds later.
#[test]
fn a_dead_primary_of_a_large_fleet_is_replaced_though_few_instances_use_it() {
    let mut snapshot = snapshot();
    let reports = large_fleet_reports(&mut snapshot, 295, NOW);
    assert_eq!(
        failover_reason("members", &snapshot, &reports, NOW),
        Some(FailoverReason::Lost)
    );
}

/// A tenth of a large fleet that is cut off from a healthy primary must not replace it for all others.
#[test]
fn a_tenth_of_a_large_fleet_does_not_replace_the_primary() {
    let mut snapshot = snapshot();
    let reports = large_fleet_reports(&mut snapshot, 30, NOW);
    assert_eq!(failover_reason("members", &snapshot, &reports, NOW), None);
}

/// Two instances with broken networks are no reason to replace a primary that no other instance has used lately.
#[test]
fn two_witnesses_of_a_large_fleet_are_not_enough() {
    let mut snapshot = snapshot();
    let mut reports = large_fleet_reports(&mut snapshot, 6, NOW);
    for i in 6..295 {
        let id = InstanceId::from(&*format!("i{i:03}"));
        reports.on_report(id, ServerContacts::default(), NOW);
    }
    assert_eq!(failover_reason("members", &snapshot, &reports, NOW), None);
}

/// Heartbeats become rarer with the size of the fleet, and a report has to last until the next one. Otherwise a large
/// fleet never reports as a whole, and each change of a primary waits as if instances were silent.
#[test]
fn a_report_lasts_until_the_next_heartbeat() {
    let mut snapshot = snapshot();
    let reports = large_fleet_reports(&mut snapshot, 110, NOW);
    let next = NOW + heartbeat_period(295).mul_f64(1.5);
    assert_eq!(
        failover_reason("members", &snapshot, &reports, next),
        Some(FailoverReason::Lost)
    );
}

/// An entry that has expired while the store was away comes back. Until then its server may be the only one that holds an
/// acknowledged commit, so it must not be taken for gone.
#[test]
fn a_server_whose_entry_has_just_lapsed_is_not_gone() {
    let listed = snapshot();
    let mut missing = listed.clone();
    missing.servers.remove("r1");
    let mut reports = ReachabilityReports::default();
    reports.on_server_list(&listed, NOW);
    reports.on_server_list(&missing, NOW);
    let lapsed = |reports: &ReachabilityReports, at| {
        let ids = reports.lapsed("members", at);
        ids.map(ToString::to_string).collect::<Vec<_>>()
    };
    assert_eq!(lapsed(&reports, Time::from_millis(12_000)), ["r1"]);
    assert_eq!(lapsed(&reports, Time::from_millis(12_600)), [""; 0]);
    reports.on_server_list(&missing, Time::from_millis(12_000));
    assert_eq!(lapsed(&reports, Time::from_millis(12_000)), ["r1"]);
    reports.on_server_list(&listed, Time::from_millis(12_000));
    assert_eq!(lapsed(&reports, Time::from_millis(12_000)), [""; 0]);
}

/// The service `members` with `sync_replicas`, and the given servers on their way out.
fn snapshot_with_leaving(leaving: &[&str], sync_replicas: u32) -> ClusterSnapshot {
    let mut snapshot = snapshot();
    for id in leaving {
        let mut server = BackendServer::clone(&snapshot.servers[*id]);
        server.draining = true;
        snapshot.servers.insert((*id).into(), Arc::new(server));
    }
    let rule = ServiceRule {
        max_connections: 20,
        sync_replicas,
    };
    let mut configuration = Configuration::default();
    configuration.services.insert("members".into(), rule);
    snapshot.configuration = Some(Arc::new(configuration));
    snapshot
}

/// A server that leaves must get no work, but a service whose other servers leave too has nothing better.
#[test]
fn a_leaving_server_only_passes_its_log_on_if_another_one_stays() {
    let passes_on = |leaving, sync_replicas| {
        only_passes_log_on("members", "r1", &snapshot_with_leaving(leaving, sync_replicas))
    };
    assert!(passes_on(&["r1"], 1));
    assert!(!passes_on(&["r1"], 0));
    assert!(!passes_on(&["r2"], 1));
    assert!(!passes_on(&["p", "r1", "r2"], 1));
}

/// Nobody is better off when a leaving primary gives way to another leaving server.
#[test]
fn a_leaving_primary_is_not_replaced_by_another_leaving_server() {
    let none = ReachabilityReports::default();
    let all_leave = snapshot_with_leaving(&["p", "r1", "r2"], 1);
    assert_eq!(failover_reason("members", &all_leave, &none, NOW), None);
    let one_stays = snapshot_with_leaving(&["p", "r1"], 1);
    let reason = failover_reason("members", &one_stays, &none, NOW);
    assert_eq!(reason, Some(FailoverReason::Leaving));
}

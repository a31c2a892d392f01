//! When a primary is replaced, and by which server.

use std::sync::Arc;
use wasabiyard_gateway::control::{
    CandidateStatus, FailoverReason, ReachabilityReports, choose_candidate, failover_reason,
};
use wasabiyard_gateway::{BackendServer, Directory, PrimaryRecord, Role, ServerStatus};
use wasabiyard_model::{Incarnation, InstanceId, LogPoint, Term, Time};
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

fn directory() -> Directory {
    let mut directory = Directory::default();
    for (id, role) in [("p", Role::Primary), ("r1", Role::Replica), ("r2", Role::Replica)] {
        directory.servers.insert(id.into(), server(id, role));
    }
    let record = PrimaryRecord::first("p".into());
    directory.primaries.insert("members".into(), record);
    directory.members = ["a", "b", "c", "d", "e", "f", "g"].map(instance).to_vec();
    directory
}

fn reports(missing: &[&str], healthy: &[&str], at: Time) -> ReachabilityReports {
    let mut reports = ReachabilityReports::default();
    for name in missing {
        reports.on_report(InstanceId::from(*name), vec!["p".into()], at);
    }
    for name in healthy {
        reports.on_report(InstanceId::from(*name), Vec::new(), at);
    }
    reports
}

/// A listed role lags behind a promotion: the old primary lists itself as primary for a while, and following it would
/// bring back a server that lacks the newest commits.
#[test]
fn a_listed_role_does_not_replace_the_recorded_primary() {
    let mut directory = directory();
    directory.servers.insert("p".into(), server("p", Role::Replica));
    directory.servers.insert("r1".into(), server("r1", Role::Primary));
    let reports = reports(&[], &["a", "b", "c", "d", "e", "f", "g"], NOW);
    assert_eq!(failover_reason("members", &directory, &reports, NOW), None);
}

/// One instance whose own link is broken must not take the primary away from the others.
#[test]
fn one_instance_does_not_replace_the_primary() {
    let reports = reports(&["a"], &["b", "c", "d", "e", "f", "g"], NOW);
    assert_eq!(failover_reason("members", &directory(), &reports, NOW), None);
}

#[test]
fn a_third_of_a_fleet_in_touch_replaces_the_primary() {
    let reports = reports(&["a", "b", "c"], &["d", "e", "f", "g"], NOW);
    assert_eq!(
        failover_reason("members", &directory(), &reports, NOW),
        Some(FailoverReason::Lost)
    );
}

/// While some instances are not in touch, a change has to wait for their view leases, so it must help most others.
#[test]
fn a_third_of_the_instances_in_touch_is_not_enough_while_others_are_silent() {
    let reports = reports(&["a", "b"], &["c", "d", "e"], NOW);
    assert_eq!(failover_reason("members", &directory(), &reports, NOW), None);
}

/// Reports are repeated; one that was not says nothing of the present.
#[test]
fn old_reports_do_not_count() {
    let reports = reports(&["a", "b", "c", "d", "e"], &[], Time::from_millis(8_000));
    assert_eq!(failover_reason("members", &directory(), &reports, NOW), None);
}

#[test]
fn a_draining_primary_is_replaced_only_by_a_server_that_stays() {
    let mut directory = directory();
    let mut leaving = BackendServer::clone(&server("p", Role::Primary));
    leaving.draining = true;
    directory.servers.insert("p".into(), Arc::new(leaving));
    let none = ReachabilityReports::default();
    assert_eq!(
        failover_reason("members", &directory, &none, NOW),
        Some(FailoverReason::Leaving)
    );
    directory.domains_out = vec!["riga-a".into()];
    assert_eq!(failover_reason("members", &directory, &none, NOW), None);
}

/// Entries lapse while the store is away and are back within two seconds of its return.
#[test]
fn a_primary_is_gone_only_after_it_was_missing_for_a_while() {
    let mut directory = directory();
    directory.servers.remove(&Arc::from("p"));
    let mut reports = ReachabilityReports::default();
    reports.on_server_list(&directory, NOW);
    let soon = Time::from_millis(12_000);
    let later = Time::from_millis(12_600);
    assert_eq!(failover_reason("members", &directory, &reports, soon), None);
    assert_eq!(
        failover_reason("members", &directory, &reports, later),
        Some(FailoverReason::Lost)
    );
}

/// Acknowledged writes that the successor lacks are dropped, so the one that received most takes over.
#[test]
fn the_most_advanced_candidate_takes_over() {
    let status = |server: &str, term, position| CandidateStatus {
        server: server.into(),
        status: ServerStatus {
            primary: false,
            term: Term(term),
            received: LogPoint::new(term, position),
        },
    };
    let statuses = [status("r1", 3, 40), status("r2", 3, 41), status("r3", 2, 90)];
    let chosen = choose_candidate(&statuses).expect("a candidate");
    assert_eq!(&*chosen.server, "r2");
}

/// A follower that read the list itself while the primary's entry was missing takes the duty seconds after the entry came
/// back by way of a relay. Replacing a healthy primary holds up writes for nothing.
#[test]
fn a_primary_that_is_listed_again_is_not_gone() {
    let mut listed = directory();
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

//! The instance registry: which instances may still use a primary that is being replaced.

use std::sync::Arc;
use std::time::Duration;
use wasabiyard_gateway::VIEW_LEASE;
use wasabiyard_gateway::control::{InstanceRegistry, VIEW_LEASE_MARGIN};
use wasabiyard_model::{Incarnation, InstanceId, Time, Version};
use wasabiyard_platform::{ListedInstance, ListedState};

const START: Time = Time::from_millis(50_000);
const EPOCH: u64 = 5;

fn entry(name: &str, version: u64, state: ListedState) -> (Version, ListedInstance) {
    let instance = ListedInstance {
        id: InstanceId::from(name),
        incarnation: Incarnation(1),
        address: "10.0.0.9:7560".to_owned(),
        domain: "riga-a".to_owned(),
        state,
    };
    (Version(version), instance)
}

fn service() -> Arc<str> {
    Arc::from("members")
}

fn ids(names: &[&str]) -> Vec<InstanceId> {
    names.iter().map(|n| InstanceId::from(*n)).collect()
}

/// An instance that shuts down in order ends its sessions before it marks its entry as leaving. Waiting for its
/// view lease would block writes for seconds whenever primaries and instances are restarted in the same maintenance.
#[test]
fn a_leaving_instance_does_not_delay_a_primary_change() {
    let mut registry = InstanceRegistry::default();
    registry.on_read(
        [entry("a", 1, ListedState::Live), entry("b", 2, ListedState::Live)],
        START,
        START,
    );
    assert_eq!(
        registry.pending_releases(&service(), EPOCH, START),
        ids(&["a", "b"])
    );
    registry.on_read(
        [
            entry("a", 1, ListedState::Live),
            entry("b", 7, ListedState::Leaving),
        ],
        START,
        START,
    );
    assert_eq!(registry.pending_releases(&service(), EPOCH, START), ids(&["a"]));
    registry.on_primary_released(InstanceId::from("a"), service(), EPOCH);
    assert!(registry.pending_releases(&service(), EPOCH, START).is_empty());
    assert_eq!(registry.removable(START), [(Version(7), InstanceId::from("b"))]);
}

/// A new holder of the failover lease has no history of earlier reads. An instance that sends no heartbeats but may
/// still use a primary has to stay in the registry until its view lease has expired.
#[test]
fn a_new_holder_waits_for_a_silent_instance_that_it_never_heard_from() {
    let mut new_holder = InstanceRegistry::default();
    let listed = [
        entry("a", 1, ListedState::Live),
        entry("b", 9, ListedState::Silent),
    ];
    new_holder.on_read(listed.clone(), START, START);
    new_holder.on_primary_released(InstanceId::from("a"), service(), EPOCH);
    let lease = VIEW_LEASE + VIEW_LEASE_MARGIN;
    assert_eq!(
        new_holder.pending_releases(&service(), EPOCH, START + lease),
        ids(&["b"])
    );
    assert!(new_holder.removable(START + lease).is_empty());
    new_holder.on_read(listed, START + lease, START + lease);
    let after = START + lease + Duration::from_millis(1);
    assert!(new_holder.pending_releases(&service(), EPOCH, after).is_empty());
    assert_eq!(new_holder.removable(after), [(Version(9), InstanceId::from("b"))]);
}

/// An instance that was marked as silent, came back and was marked again may hold a newer view lease.
#[test]
fn a_silent_mark_of_another_version_restarts_the_wait() {
    let mut registry = InstanceRegistry::default();
    registry.on_read([entry("b", 9, ListedState::Silent)], START, START);
    let later = START + VIEW_LEASE;
    registry.on_read([entry("b", 14, ListedState::Silent)], later, later);
    let first_lease_over = START + VIEW_LEASE + VIEW_LEASE_MARGIN + Duration::from_millis(1);
    assert_eq!(
        registry.pending_releases(&service(), EPOCH, first_lease_over),
        ids(&["b"])
    );
}

/// A live entry without a running instance holds an unused share of rates and connections, so it is marked as silent;
/// an instance that sends heartbeats must stay live.
#[test]
fn only_instances_without_heartbeats_are_marked() {
    let mut registry = InstanceRegistry::default();
    let listed = [entry("a", 1, ListedState::Live), entry("b", 2, ListedState::Live)];
    registry.on_read(listed, START, START);
    let late = START + Duration::from_secs(9);
    registry.on_heartbeat(&InstanceId::from("a"), late);
    let marked = registry.newly_silent(late);
    assert_eq!(marked, [entry("b", 2, ListedState::Silent)]);
    assert_eq!(registry.live().len(), 2);
}

/// The marks of other instances are written in between and may take seconds: an instance that is heard from meanwhile would be
/// marked all the same, and could use no primary until it has registered again.
#[test]
fn an_instance_that_is_heard_from_before_its_mark_is_written_stays_live() {
    let mut registry = InstanceRegistry::default();
    let listed = [entry("a", 1, ListedState::Live), entry("b", 2, ListedState::Live)];
    registry.on_read(listed, START, START);
    let late = START + Duration::from_secs(9);
    assert_eq!(registry.newly_silent(late).len(), 2);
    registry.on_heartbeat(&InstanceId::from("b"), late);
    assert!(registry.is_unheard(&InstanceId::from("a"), late));
    assert!(!registry.is_unheard(&InstanceId::from("b"), late));
}

/// A process that ends after its successor has registered would mark the successor as leaving. A change of primary would not wait
/// for that one, which may still use the old primary.
#[test]
fn a_process_does_not_mark_the_entry_of_its_successor() {
    let mut registry = InstanceRegistry::default();
    let (version, former) = entry("a", 1, ListedState::Live);
    registry.on_read([(version, former.clone())], START, START);
    assert_eq!(registry.version_of_process(&former), Some(version));
    let successor = ListedInstance {
        incarnation: Incarnation(2),
        ..former.clone()
    };
    registry.on_read([(Version(3), successor.clone())], START, START);
    assert_eq!(registry.version_of_process(&former), None);
    assert_eq!(registry.version_of_process(&successor), Some(Version(3)));
}

/// Heartbeats go to the holder of the failover lease only, so a new holder has received none. If it marked all others
/// as silent, no instance could use a primary until it has registered again.
#[test]
fn a_new_holder_restarts_all_heartbeat_timeouts() {
    let mut registry = InstanceRegistry::default();
    let listed = [entry("a", 1, ListedState::Live), entry("b", 2, ListedState::Live)];
    registry.on_read(listed.clone(), START, START);
    let acquired_at = START + Duration::from_mins(1);
    registry.on_lease_acquired(acquired_at);
    registry.on_read(listed, acquired_at, acquired_at);
    assert!(registry.newly_silent(acquired_at).is_empty());
    registry.on_heartbeat(&InstanceId::from("a"), acquired_at + Duration::from_secs(7));
    let marked = registry.newly_silent(acquired_at + Duration::from_secs(9));
    assert_eq!(marked, [entry("b", 2, ListedState::Silent)]);
}

//! Who may still use a primary that is being replaced.

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

/// An instance that ends on request has closed its connections before it says so. Waiting for its view lease would hold up
/// writes for seconds whenever primaries and instances are restarted in the same maintenance.
#[test]
fn a_leaving_instance_does_not_hold_up_a_change_of_primary() {
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

/// A holder that has just started has no memory of earlier readings. An instance that cannot be heard but may still use a
/// primary has to be visible in the store until its view lease has ended.
#[test]
fn a_silent_instance_is_waited_for_by_a_holder_that_never_heard_of_it() {
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

/// An instance that was marked as silent, came back and was marked again starts a new view lease.
#[test]
fn a_mark_of_another_version_starts_the_wait_anew() {
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

/// Silent entries keep a part of rates and connections for nobody, but an instance that is heard must stay.
#[test]
fn only_instances_that_are_not_heard_are_marked() {
    let mut registry = InstanceRegistry::default();
    let listed = [entry("a", 1, ListedState::Live), entry("b", 2, ListedState::Live)];
    registry.on_read(listed, START, START);
    let late = START + Duration::from_secs(9);
    registry.on_heartbeat(&InstanceId::from("a"), late);
    let marked = registry.newly_silent(late);
    assert_eq!(marked, [entry("b", 2, ListedState::Silent)]);
    assert_eq!(registry.live().len(), 2);
}

/// Signs of life go to the holder of the duty only. An instance that takes the duty has heard nobody so far; if it marked
/// all others, no instance would have a proved primary until it has registered anew.
#[test]
fn a_new_holder_gives_everybody_time_to_be_heard() {
    let mut registry = InstanceRegistry::default();
    let listed = [entry("a", 1, ListedState::Live), entry("b", 2, ListedState::Live)];
    registry.on_read(listed.clone(), START, START);
    let taken = START + Duration::from_mins(1);
    registry.on_lease_acquired(taken);
    registry.on_read(listed, taken, taken);
    assert!(registry.newly_silent(taken).is_empty());
    registry.on_heartbeat(&InstanceId::from("a"), taken + Duration::from_secs(7));
    let marked = registry.newly_silent(taken + Duration::from_secs(9));
    assert_eq!(marked, [entry("b", 2, ListedState::Silent)]);
}

//! Limits of an instance's connections to one backend server, and of the wait for one.

use std::time::Duration;
use wasabiyard_gateway::traffic::{ConnectionLimits, connection_wait_deadline};
use wasabiyard_model::Time;

/// When machines lose power, the server keeps their connections for some seconds. If idle connections took all of the
/// server's limit, the restarted processes could not connect.
#[test]
fn idle_connections_of_a_fleet_leave_half_of_a_server_free() {
    for (server_limit, instances) in [(21, 7), (50, 6), (260, 80)] {
        let limits = ConnectionLimits::per_instance(server_limit, instances);
        assert!(
            limits.max_idle * instances as u32 <= server_limit / 2,
            "{limits:?} at {instances} instances and {server_limit} connections"
        );
    }
}

/// With fewer connections than instances, an idle connection that is kept prevents another instance from opening one.
#[test]
fn scarce_connections_are_not_kept_idle() {
    let scarce = ConnectionLimits::per_instance(79, 87);
    let ample = ConnectionLimits::per_instance(50, 6);
    assert!(scarce.idle_timeout < ample.idle_timeout / 10);
}

/// A transaction holds its connection while its caller pauses. Other callers of the instance must still be served.
#[test]
fn one_transaction_never_takes_the_last_connection_of_an_instance() {
    for (server_limit, instances) in [(0, 1), (21, 7), (21, 11), (79, 87)] {
        assert!(ConnectionLimits::per_instance(server_limit, instances).max_open >= 2);
    }
}

/// An instance without free connections must refuse a caller early enough to let it retry at a second instance, and
/// after a wait there, at a third one.
#[test]
fn a_caller_that_is_refused_twice_can_still_try_a_third_time() {
    let requested_at = Time::from_millis(5_000);
    let deadline = requested_at + Duration::from_secs(1);
    let second = connection_wait_deadline(deadline, requested_at);
    let third = connection_wait_deadline(deadline, second);
    assert!(deadline.saturating_since(third) > Duration::from_millis(300));
}

//! Connections that an instance may hold at a server.

use std::time::Duration;
use wasabiyard_gateway::traffic::{ConnectionCaps, patience_end};
use wasabiyard_model::Time;

/// A server keeps the connections of machines that lost power for some seconds. Unless idle ones leave room, the
/// processes that come back cannot connect.
#[test]
fn idle_connections_of_a_fleet_leave_half_of_a_server_free() {
    for (accepted, instances) in [(21, 7), (50, 6), (260, 80)] {
        let caps = ConnectionCaps::of(accepted, instances);
        assert!(
            caps.idle * instances as u32 <= accepted / 2,
            "{caps:?} at {instances} instances and {accepted} connections"
        );
    }
}

/// With fewer connections than instances an idle one must go before the next instance asks.
#[test]
fn scarce_connections_are_not_kept_idle() {
    let scarce = ConnectionCaps::of(79, 87);
    let ample = ConnectionCaps::of(50, 6);
    assert!(scarce.idle_time < ample.idle_time / 10);
}

/// A transaction holds a connection while its caller pauses; others must still be served.
#[test]
fn one_transaction_never_takes_the_last_connection_of_an_instance() {
    for (accepted, instances) in [(0, 1), (21, 7), (21, 11), (79, 87)] {
        assert!(ConnectionCaps::of(accepted, instances).open >= 2);
    }
}

/// An instance without free connections must leave its callers the time for an attempt at another instance, also when that
/// one makes them wait, too.
#[test]
fn a_caller_that_is_refused_twice_can_still_try_a_third_time() {
    let asked = Time::from_millis(5_000);
    let deadline = asked + Duration::from_secs(1);
    let second = patience_end(deadline, asked);
    let third = patience_end(deadline, second);
    assert!(deadline.saturating_since(third) > Duration::from_millis(300));
}

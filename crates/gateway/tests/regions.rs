//! What crosses between regions, and what stays.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_gateway::traffic::{Candidate, RegionDistances, RoundTripKind, choose_server};
use wasabiyard_model::Time;

const START: Time = Time::from_millis(200_000);

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn region(name: &str) -> Arc<str> {
    Arc::from(name)
}

/// Logins take 12 ms of a slot, and some wait for one. Neither may count as distance, nor may a kind that was measured
/// in one region only.
#[test]
fn the_distance_is_the_difference_of_the_shortest_round_trips() {
    let (north, south) = (region("north"), region("south"));
    let mut distances = RegionDistances::new(Arc::clone(&north));
    assert_eq!(distances.distance("south", START), Duration::ZERO);
    distances.record(&south, RoundTripKind::SessionCommand, ms(19), START);
    for (k, waited) in [40, 0, 90, 3].into_iter().enumerate() {
        let now = after(100 * k as u64);
        distances.record(&north, RoundTripKind::Login, ms(15 + waited), now);
        distances.record(&south, RoundTripKind::Login, ms(31 + waited), now);
    }
    assert_eq!(distances.distance("south", after(500)), ms(16));
    assert_eq!(distances.distance("north", after(500)), Duration::ZERO);
}

fn replica(distance_ms: u64, latency_ms: u64, running: u32) -> Candidate {
    Candidate {
        primary: false,
        local: distance_ms == 0,
        distance: ms(distance_ms),
        latency: ms(latency_ms),
        running,
        has_idle_connection: true,
        available: true,
        holds_point: true,
    }
}

/// With one statement running at the near server, the next read crossed to the idle one in the other region.
#[test]
fn reads_stay_in_the_region_while_a_server_there_is_fresh_and_has_room() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut choose = |near, far| choose_server(&[near, far], &mut rng);
    for _ in 0..50 {
        assert_eq!(choose(replica(0, 30, 1), replica(16, 46, 0)), Some(0));
        assert_eq!(choose(replica(0, 30, 2), replica(16, 46, 0)), Some(0));
        // Overloaded, unavailable or too old.
        assert_eq!(choose(replica(0, 300, 1), replica(16, 46, 0)), Some(1));
        let mut near = replica(0, 30, 0);
        near.available = false;
        assert_eq!(choose(near, replica(16, 46, 0)), Some(1));
        let mut near = replica(0, 30, 0);
        near.holds_point = false;
        assert_eq!(choose(near, replica(16, 46, 0)), Some(1));
    }
}

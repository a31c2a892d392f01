//! How an instance treats a backend server that fails, refuses work as overloaded, or accepts connections and nothing else.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use wasabiyard_gateway::traffic::{ServerHealth, ServerLatency};
use wasabiyard_model::Time;

const START: Time = Time::from_millis(20_000);
const ROUND_TRIP: Duration = Duration::from_millis(4);

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(5)
}

/// The process ended with an overflow when an overloaded server had refused some hundred statements in a row, and all
/// its callers lost their connections in the middle of a request.
#[test]
fn any_number_of_refusals_leaves_a_usable_latency() {
    let mut latency = ServerLatency::default();
    for _ in 0..1_000 {
        latency.on_overloaded();
    }
    assert!(latency.estimate() <= Duration::from_secs(10));
    for _ in 0..100 {
        latency.on_answer(ROUND_TRIP);
    }
    assert!(latency.estimate() < Duration::from_millis(10));
    latency.on_answer(Duration::MAX);
    assert!(latency.estimate() < Duration::from_secs(10));
}

/// Load pattern: 295 instances have work for one server that can queue 36 requests. Without pauses their attempts, each
/// with a new connection, take all its time, and the overload never ends.
#[test]
fn attempts_at_an_overloaded_server_become_rare() {
    let mut rng = rng();
    let mut health = ServerHealth::default();
    let mut now = START;
    let mut attempts = [0_u32; 5];
    for attempts in &mut attempts {
        let end = now + Duration::from_secs(1);
        while now < end {
            if health.allows_request(0, now) {
                *attempts += 1;
                now = now + ROUND_TRIP;
                health.on_overloaded(1, now, &mut rng);
            }
            now = now + ROUND_TRIP;
        }
    }
    assert!(attempts[0] <= 10, "{attempts:?}");
    assert!(attempts[4] <= 3, "{attempts:?}");
}

/// A server that has recovered must be used fully again within a second or two.
#[test]
fn a_server_that_answers_again_is_used_again() {
    let mut rng = rng();
    let mut health = ServerHealth::default();
    let mut now = START;
    for _ in 0..50 {
        health.on_overloaded(1, now, &mut rng);
    }
    now = now + Duration::from_secs(2);
    assert!(health.allows_request(0, now));
    let mut in_flight = 0;
    for _ in 0..500 {
        health.on_answer(now);
        now = now + ROUND_TRIP;
        while health.allows_request(in_flight, now) && in_flight < 4 {
            in_flight += 1;
        }
    }
    assert_eq!(in_flight, 4);
}

/// One refusal among many answers, as in a short burst, must not stop the other requests.
#[test]
fn a_single_refusal_only_lowers_the_requests_in_flight() {
    let mut health = ServerHealth::default();
    health.on_overloaded(8, START, &mut rng());
    let now = START + Duration::from_millis(31);
    assert!(health.allows_request(3, now));
    assert!(!health.allows_request(4, now));
}

/// A server that accepts connections and resets every request looked healthy after each connect: its statements were
/// sent to it again and again, and it was never reported as unreachable, so no other primary was chosen.
#[test]
fn accepting_connections_does_not_make_a_failing_server_healthy() {
    let mut health = ServerHealth::default();
    let mut now = START;
    let mut attempts = 0;
    while now < START + Duration::from_secs(3) {
        if health.allows_request(0, now) && health.allows_connect(now) {
            attempts += 1;
            health.on_connected();
            health.on_failure(now, now + ROUND_TRIP);
        }
        now = now + ROUND_TRIP;
    }
    assert!(attempts <= 10, "{attempts} attempts in 3 s");
    assert!(health.is_unreachable(now));
    health.on_answer(now);
    assert!(!health.is_unreachable(now));
    assert!(health.allows_request(5, now));
}

/// While a server fails, one request at a time tries it, whatever waits.
#[test]
fn a_failing_server_gets_one_trial_at_a_time() {
    let mut health = ServerHealth::default();
    health.on_failure(START, START + ROUND_TRIP);
    health.on_failure(START, START + ROUND_TRIP);
    let later = START + Duration::from_secs(1);
    assert!(health.allows_request(0, later));
    assert!(!health.allows_request(1, later));
}

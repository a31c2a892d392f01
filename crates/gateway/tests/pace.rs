//! How a large fleet treats a server that has started or recovered: neither overloaded nor left idle.

#[path = "pace/queueing_server.rs"]
mod queueing_server;

use queueing_server::{QueueingServer, replay};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use wasabiyard_gateway::traffic::{PaceCause, PaceEnd, PaceEvent, PaceShare, ServerPace};
use wasabiyard_model::Time;

const START: Time = Time::from_millis(20_000);
const QUICK: Duration = Duration::from_millis(25);
const FLEET: PaceShare = PaceShare {
    capacity: 4,
    instances: 85,
    senders: 85,
    warmup_left: Duration::ZERO,
};

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(7)
}

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// Each instance sent the statements that had piled up at once, which is several times what the server can queue. The
/// connections of the refused ones took more of the slots than the statements that were served.
#[test]
fn a_restart_under_load_neither_overloads_the_server_nor_leaves_it_idle() {
    for seed in 0..5 {
        let end = after(3_000);
        let paced = replay(QueueingServer::new(QUICK), 85, true, START, end, seed);
        let unpaced = replay(QueueingServer::new(QUICK), 85, false, START, end, seed);
        let compared = format!("seed {seed}: {paced:?} against {unpaced:?}");
        assert!(paced.refused * 10 < unpaced.refused, "{compared}");
        assert!(paced.served * 10 > unpaced.served * 13, "{compared}");
        assert!(paced.idle_fraction < 0.15, "{compared}");
    }
}

/// A pace that compares answers with the best of an earlier life never ends at a server that has become slower for good.
#[test]
fn a_server_that_is_slow_for_good_is_used_fully() {
    let slow = Duration::from_millis(250);
    for seed in 0..5 {
        let replayed = replay(QueueingServer::new(slow), 85, true, START, after(12_000), seed);
        assert!(replayed.idle_fraction < 0.1, "seed {seed}: {replayed:?}");
        assert_eq!(replayed.still_limited, 0, "seed {seed}: {replayed:?}");
    }
}

/// Without the pace, the first answer after a silence of 5 s let all that waited go at once.
#[test]
fn a_first_answer_after_a_silence_limits_the_pace() {
    let mut pace = ServerPace::new(FLEET);
    for k in 0..5 {
        pace.on_failure(after(k * 1_000), after(k * 1_000 + 800));
    }
    assert!(pace.allows_statement(after(5_000)));
    pace.on_answer(QUICK, after(5_000), &mut rng());
    let began = pace.take_events();
    assert!(
        matches!(
            began[..],
            [PaceEvent::Began {
                cause: PaceCause::Recovered,
                ..
            }]
        ),
        "{began:?}"
    );
    let sent = (5_000..6_000).filter(|ms| send_if_allowed(&mut pace, after(*ms)));
    let sent = sent.count();
    assert!((1..=5).contains(&sent), "{sent} statements in the first second");
    // A single lost response is no silence.
    let mut pace = ServerPace::new(FLEET);
    pace.on_failure(START, after(800));
    pace.on_answer(QUICK, after(1_500), &mut rng());
    assert!(!pace.is_limited());
}

fn send_if_allowed(pace: &mut ServerPace, now: Time) -> bool {
    let allowed = pace.allows_statement(now);
    if allowed {
        pace.on_sent(now);
    }
    allowed
}

/// One refusal while the rate rises must slow the instance down, and must not stop it: the pace still ends.
#[test]
fn a_refusal_during_the_rise_delays_the_end() {
    let mut pace = ServerPace::new(FLEET);
    pace.on_started(START, &mut rng());
    pace.on_answer(QUICK, after(400), &mut rng());
    let before = pace.turn(3, after(700)).saturating_since(after(700));
    pace.on_overloaded(after(700));
    let since = pace.turn(3, after(700)).saturating_since(after(700));
    assert!(since > before.mul_f64(1.5), "{before:?}, then {since:?}");
    pace.on_answer(QUICK, after(1_000), &mut rng());
    pace.on_answer(QUICK, after(1_600), &mut rng());
    assert!(pace.is_limited(), "the second after the refusal is not over");
    pace.end_if_due(after(2_000));
    assert!(!pace.is_limited());
}

/// A server that restarts again during its pace starts from the fair part again.
#[test]
fn a_second_restart_begins_again() {
    let mut pace = ServerPace::new(FLEET);
    pace.on_started(START, &mut rng());
    for k in 1..8 {
        pace.on_answer(QUICK, after(100 * k), &mut rng());
    }
    assert!(pace.turn(3, after(800)) < after(1_200));
    pace.on_started(after(800), &mut rng());
    assert!(pace.turn(3, after(800)) > after(2_000));
    let began = pace.take_events();
    assert_eq!(began.len(), 2, "{began:?}");
}

/// A server that reports that it warms up is quick while little is sent to it; the pace must not end on that.
#[test]
fn the_pace_lasts_as_long_as_the_server_warms_up() {
    let mut pace = ServerPace::new(PaceShare {
        warmup_left: Duration::from_secs(20),
        ..FLEET
    });
    pace.on_started(START, &mut rng());
    for k in 1..150 {
        pace.on_answer(QUICK, after(100 * k), &mut rng());
    }
    assert!(pace.is_limited());
    pace.set_share(FLEET, after(15_000));
    pace.end_if_due(after(15_000));
    assert!(!pace.is_limited());
}

/// Fleets that fit the server's queue are served as before, also when instances leave during a pace.
#[test]
fn small_fleets_have_no_limited_pace() {
    let small = PaceShare {
        instances: 31,
        senders: 31,
        ..FLEET
    };
    let mut pace = ServerPace::new(small);
    pace.on_started(START, &mut rng());
    assert!(!pace.is_limited() && pace.take_events().is_empty());
    let mut pace = ServerPace::new(FLEET);
    pace.on_started(START, &mut rng());
    pace.set_share(small, after(10));
    assert!(pace.allows_statement(after(10)));
    assert!(matches!(
        pace.take_events()[..],
        [
            PaceEvent::Began { .. },
            PaceEvent::Ended {
                cause: PaceEnd::FleetChanged,
                ..
            }
        ]
    ));
}

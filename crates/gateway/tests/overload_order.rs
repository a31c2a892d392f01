//! Whom an overload delays: decisions about the classes at servers that refuse work.

#[path = "support/crowd.rs"]
mod crowd;

use crowd::{Policy, run};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use wasabiyard_gateway::traffic::OverloadYield;
use wasabiyard_model::{PriorityClass, Time};

const START: Time = Time::from_millis(20_000);
const TOLERANCE: Duration = Duration::from_millis(50);
const QUICK: Duration = Duration::from_millis(8);

/// The most urgent route was served worst: all classes paused alike, and its target is shorter than the wait in the full
/// queue of a server.
#[test]
fn the_most_urgent_class_is_served_best_under_overload() {
    for seed in 1..=4 {
        for load in [1.2, 2.0, 3.0] {
            let ([first, second, last], used) = run(Policy::ByRank, load, seed);
            let context = format!("seed {seed}, load {load}: {first:?} {second:?} {last:?}, used {used:.2}");
            assert!(first.served_part() >= 0.9, "{context}");
            assert!(first.in_target_part() >= 0.6, "{context}");
            assert!(first.in_target_part() >= second.in_target_part(), "{context}");
            assert!(first.served_part() >= second.served_part(), "{context}");
            assert!(
                last.served > 0 && last.longest_gap < Duration::from_secs(5),
                "{context}"
            );
            assert!(used >= 0.9, "{context}");
            let ([shared, ..], _) = run(Policy::Shared, load, seed);
            assert!(
                first.in_target_part() > shared.in_target_part() + 0.3,
                "{context}"
            );
        }
    }
}

/// The order of the classes must cost nobody anything while the server has room.
#[test]
fn no_class_yields_without_an_overload() {
    let (outcomes, _) = run(Policy::ByRank, 0.7, 5);
    assert!(outcomes.iter().all(|o| o.in_target_part() > 0.97), "{outcomes:?}");
}

/// A class that waits for ever starves, and a less urgent class that waits for less goes first.
#[test]
fn pauses_are_bounded_and_ordered() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut yielding = OverloadYield::default();
    let classes: Vec<_> = PriorityClass::all().collect();
    let mut now = START;
    for step in 0..400_usize {
        now = now + Duration::from_millis(step as u64 % 7);
        yielding.on_overloaded(classes[step % 3], 1, now, &mut rng);
        if step % 5 == 0 {
            yielding.on_answer(classes[step % 2], QUICK, TOLERANCE, now, &mut rng);
        }
        let ends: Vec<_> = classes.iter().map(|c| yielding.pause_until(*c)).collect();
        // The other classes have had no turn yet.
        assert!(ends[..3].is_sorted(), "{ends:?}");
        assert!(ends[0] <= now + Duration::from_millis(120), "{ends:?} at {now:?}");
        assert!(
            ends[7] <= now + Duration::from_millis(4_800),
            "{ends:?} at {now:?}"
        );
    }
    now = now + Duration::from_millis(4_800);
    assert!(classes.iter().all(|c| yielding.allows(*c, 0, now)));
}

/// The limit on the statements in flight was the same for all: a less urgent one could take the only place.
#[test]
fn less_urgent_classes_have_a_smaller_part_in_flight() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut yielding = OverloadYield::default();
    let [first, second, third] = [0, 1, 2].map(PriorityClass::from_rank);
    yielding.on_overloaded(third, 16, START, &mut rng);
    let later = START + Duration::from_secs(5);
    let most = |class| (0..16).filter(|n| yielding.allows(class, *n, later)).count();
    assert_eq!([first, second, third].map(most), [8, 4, 2]);
}

/// Answers to urgent statements must not bring back the less urgent ones that yield to them.
#[test]
fn an_answer_ends_no_pause_of_a_less_urgent_class() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut yielding = OverloadYield::default();
    let [first, second] = [0, 1].map(PriorityClass::from_rank);
    for _ in 0..4 {
        yielding.on_overloaded(first, 1, START, &mut rng);
    }
    yielding.on_answer(first, QUICK, TOLERANCE, START, &mut rng);
    assert!(yielding.allows(first, 0, START));
    assert!(!yielding.allows(second, 0, START));
    yielding.on_answer(second, QUICK, TOLERANCE, START, &mut rng);
    assert!(yielding.allows(second, 0, START));
}

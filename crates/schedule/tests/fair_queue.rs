//! Randomised tests of the fair queue.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{NotRun, PriorityClass, Time};
use wasabiyard_schedule::{FairQueue, QueueBounds, QueuedRequest, Ticket};

const ALL_CLASSES: [PriorityClass; 3] = [
    PriorityClass::CRITICAL,
    PriorityClass::NORMAL,
    PriorityClass::BACKGROUND,
];

fn request(organisation: &str, weight: u32, class: PriorityClass, deadline: Time) -> QueuedRequest {
    QueuedRequest {
        organisation: Arc::from(organisation),
        weight,
        class,
        deadline,
    }
}

fn distant_deadline() -> Time {
    Time::from_millis(1_000_000_000)
}

/// Guards against a queue that exceeds a limit, loses a request, returns one twice, or serves an expired one.
#[test]
fn bounds_hold_and_every_request_ends_once() {
    for seed in 0..30 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let bounds = QueueBounds {
            database: 40,
            organisation: 12,
        };
        let mut queue = FairQueue::new(bounds);
        let mut queued: HashMap<u64, (Ticket, Time)> = HashMap::new();
        let mut now = Time::ZERO;
        for id in 0..5_000_u64 {
            now = now + Duration::from_micros(rng.random_range(0..2_000));
            let organisation = format!("o{}", rng.random_range(0_u32..6));
            let deadline = now + Duration::from_millis(rng.random_range(0..60));
            let entry = request(
                &organisation,
                rng.random_range(1..=9),
                ALL_CLASSES[rng.random_range(0..3)],
                deadline,
            );
            match queue.push(entry, id, now) {
                Ok(ticket) => assert!(queued.insert(id, (ticket, deadline)).is_none()),
                Err((payload, refusal)) => {
                    assert_eq!(payload, id);
                    assert_eq!(refusal == NotRun::Deadline, deadline <= now);
                }
            }
            if rng.random_bool(0.7)
                && let Some((_, id)) = queue.pop(now)
            {
                let (_, deadline) = queued.remove(&id).expect("served once");
                assert!(deadline > now, "an expired request was served");
            }
            for (id, refusal) in queue.take_dropped(now) {
                let (_, deadline) = queued.remove(&id).expect("ended once");
                assert!(refusal == NotRun::Overload || deadline <= now);
            }
            if rng.random_bool(0.1)
                && let Some(id) = queued.keys().min().copied()
            {
                let (ticket, _) = queued.remove(&id).expect("a queued request");
                assert_eq!(queue.remove(ticket), Some(id));
            }
            assert_eq!(queue.len(), queued.len());
            assert!(queue.len() <= 40 && (0..6).all(|o| queue.organisation_len(&format!("o{o}")) <= 12));
        }
    }
}

/// Guards against strict priority, which would starve lower classes: under full load, each class gets its share of
/// 16:4:1.
#[test]
fn no_class_starves() {
    let mut queue = FairQueue::default();
    let mut served = [0_u32; 3];
    for _ in 0..2_100 {
        for class in ALL_CLASSES {
            while queue.organisation_len(&format!("{class:?}")) < 100 {
                let entry = request(&format!("{class:?}"), 1, class, distant_deadline());
                queue.push(entry, (), Time::ZERO).expect("room");
            }
        }
        let (entry, ()) = queue.pop(Time::ZERO).expect("not empty");
        served[entry.class.rank()] += 1;
    }
    for (count, expected) in served.into_iter().zip([1_600_u32, 400, 100]) {
        assert!(count.abs_diff(expected) <= 2, "{served:?}");
    }
}

/// Guards against a noisy neighbour that sends at five times the rate of the others and takes their service. A flow that
/// is always backlogged may lag behind its weighted share by at most one service for each competing flow, however many
/// requests the neighbour sends.
#[test]
fn weights_hold_next_to_a_neighbour_at_five_times_its_rate() {
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let weights: Vec<u32> = (0..8).map(|_| rng.random_range(1..=10)).collect();
        let total: u32 = weights.iter().sum();
        let mut queue = FairQueue::default();
        let mut served = [0_f64; 8];
        for round in 1..=4_000_u32 {
            for (o, weight) in weights.iter().enumerate() {
                let arrivals = if o == 0 { 5 } else { 1 };
                for _ in 0..arrivals {
                    // Every organisation but the first, the noisy neighbour, limits its backlog.
                    if o == 0 || queue.organisation_len(&format!("o{o}")) < 4 {
                        let entry = request(
                            &format!("o{o}"),
                            *weight,
                            PriorityClass::NORMAL,
                            distant_deadline(),
                        );
                        let _refused = queue.push(entry, o, Time::ZERO);
                    }
                }
            }
            let (_, o) = queue.pop(Time::ZERO).expect("not empty");
            served[o] += 1.0;
            for (o, weight) in weights.iter().enumerate() {
                let share = f64::from(round) * f64::from(*weight) / f64::from(total);
                assert!(
                    served[o] >= share - 8.0,
                    "seed {seed}: o{o} was served {} times, its share is {share}",
                    served[o]
                );
            }
        }
    }
}

/// Guards against busy organisations that keep the queue full, so that every request of a light one is refused.
#[test]
fn a_full_queue_displaces_requests_for_a_light_organisation() {
    let mut queue = FairQueue::default();
    for i in 0..512 {
        let entry = request(
            &format!("busy{}", i % 4),
            1,
            PriorityClass::NORMAL,
            distant_deadline(),
        );
        queue.push(entry, "busy", Time::ZERO).expect("room");
    }
    for _ in 0..20 {
        let entry = request("light", 1, PriorityClass::NORMAL, distant_deadline());
        queue
            .push(entry, "light", Time::ZERO)
            .expect("a request of a longer flow is displaced");
    }
    assert_eq!(
        queue.take_dropped(Time::ZERO),
        vec![("busy", NotRun::Overload); 20]
    );
    let entry = request("busy0", 1, PriorityClass::NORMAL, distant_deadline());
    assert_eq!(
        queue.push(entry, "busy", Time::ZERO),
        Err(("busy", NotRun::Overload))
    );
}

/// Guards against a count that includes the whole queue for a light organisation, which would refuse its requests too
/// early, and against a count that is too low, which would let requests expire in the queue.
#[test]
fn the_number_ahead_is_off_by_at_most_two_when_nothing_arrives_later() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut queue = FairQueue::default();
        for step in 0..80 {
            let o = rng.random_range(0..5_u32);
            let entry = request(
                &format!("o{o}"),
                1 + o,
                ALL_CLASSES[rng.random_range(0..3)],
                distant_deadline(),
            );
            queue.push(entry, u32::MAX, Time::ZERO).expect("room");
            if step % 3 == 0 {
                queue.pop(Time::ZERO);
            }
        }
        let class = ALL_CLASSES[rng.random_range(0..3)];
        let ahead = queue.requests_ahead("o2", 3, class);
        queue
            .push(request("o2", 3, class, distant_deadline()), 7, Time::ZERO)
            .expect("room");
        let mut before = 0;
        while queue.pop(Time::ZERO).expect("the request is in the queue").1 != 7 {
            before += 1;
        }
        assert!(
            usize::abs_diff(before, ahead) <= 2,
            "seed {seed}: estimated {ahead}, found {before}"
        );
    }
}

/// A class must get four times the connections of the next one however many classes are in use, and the last one must not
/// starve.
#[test]
fn shares_fall_by_a_factor_of_four_from_rank_to_rank() {
    let mut queue = FairQueue::new(QueueBounds {
        database: 4_000,
        organisation: 4_000,
    });
    for class in (0..4).map(PriorityClass::from_rank) {
        for id in 0..900 {
            let entry = request("zoo", 1, class, distant_deadline());
            queue.push(entry, id, Time::ZERO).expect("the queue is not full");
        }
    }
    let mut served = [0; 4];
    for _ in 0..850 {
        let (request, _) = queue.pop(Time::ZERO).expect("a request");
        served[request.class.rank()] += 1;
    }
    assert_eq!(served, [640, 160, 40, 10]);
}

/// At a server that gets one request at a time, the most urgent one must be it, but the others must not wait for ever.
#[test]
fn urgent_requests_go_first_without_starving_others() {
    let mut queue = FairQueue::default();
    let mut id = 0;
    let mut push = |queue: &mut FairQueue<u32>, class| {
        id += 1;
        let entry = request("zoo", 1, class, distant_deadline());
        queue.push(entry, id, Time::ZERO).expect("a short queue");
    };
    for _ in 0..100 {
        push(&mut queue, PriorityClass::NORMAL);
    }
    let mut urgent_in_a_row: usize = 0;
    let mut longest: usize = 0;
    for _ in 0..200 {
        push(&mut queue, PriorityClass::CRITICAL);
        let (served, _) = queue.pop_urgent(Time::ZERO, |_| true).expect("a request");
        if served.class == PriorityClass::CRITICAL {
            urgent_in_a_row += 1;
        } else {
            assert!(
                longest > 0 || urgent_in_a_row >= 16,
                "a head start of {urgent_in_a_row}"
            );
            urgent_in_a_row = 0;
        }
        longest = longest.max(urgent_in_a_row);
    }
    assert!((16..=21).contains(&longest), "{longest}");
    let normal = queue.pop_urgent(Time::ZERO, |class| class != PriorityClass::CRITICAL);
    assert_eq!(normal.expect("a request").0.class, PriorityClass::NORMAL);
}

/// Requests of a paused class waited for their deadline although nothing could start them before it.
#[test]
fn requests_that_cannot_start_in_time_are_taken_out() {
    let mut queue = FairQueue::default();
    let at = Time::from_millis;
    for (id, class, deadline) in [
        (0, PriorityClass::CRITICAL, 100),
        (1, PriorityClass::NORMAL, 100),
        (2, PriorityClass::NORMAL, 400),
        (3, PriorityClass::BACKGROUND, 400),
    ] {
        let entry = request("zoo", 1, class, at(deadline));
        queue.push(entry, id, Time::ZERO).expect("a short queue");
    }
    let pauses = [at(20), at(300), at(400)];
    let taken = queue.take_unservable(|class| pauses[class.rank()]);
    assert_eq!(taken.iter().map(|(_, id)| *id).collect::<Vec<_>>(), [1, 3]);
    assert_eq!((queue.len(), queue.organisation_len("zoo")), (2, 2));
    let left: Vec<_> = std::iter::from_fn(|| queue.pop(Time::ZERO))
        .map(|(_, id)| id)
        .collect();
    assert_eq!(left, [0, 2]);
}

//! Samples of a primary's log point that instances request from each other.

use std::time::Duration;
use wasabiyard_gateway::traffic::{SampledPosition, received_position, select_positions};
use wasabiyard_model::{LogPoint, Time};
use wasabiyard_session::{PositionSample, PositionSamples};

fn sample(at_ms: u64, position: u64) -> PositionSample {
    PositionSample {
        requested_at: Time::from_millis(at_ms),
        point: LogPoint::new(3, position),
    }
}

/// The samples of an instance that sees a primary 20 times a second, for 3 s.
fn holder_samples() -> Vec<PositionSample> {
    (0..60).map(|i| sample(1_000 + 50 * i, i)).collect()
}

/// An instance that sends a primary one statement in some seconds had no sample for reads that accept 1.5 s, so they went
/// to the primary.
#[test]
fn a_requester_gets_points_for_its_staleness_bound() {
    let now = Time::from_millis(4_000);
    let bound = Duration::from_millis(1_500);
    let mut known = PositionSamples::default();
    for sample in holder_samples() {
        known.add_if_confirmed(sample, 1, 1);
    }
    let response = select_positions(known.within(bound, now), now);
    assert!((5..=16).contains(&response.len()), "{} samples", response.len());

    // Another process, whose clock started later.
    let sent_at = Time::from_millis(2_500);
    let mut received = PositionSamples::default();
    for position in response {
        let sample = received_position(position, sent_at).expect("a time after the start");
        assert!(received.add_if_confirmed(sample, 1, 1), "out of order");
    }
    let point = received
        .minimum_point(bound, sent_at)
        .expect("a young enough sample");
    // An older point than the newest: replicas have it sooner.
    assert!(point < holder_samples()[50].point, "{point:?}");
    let later = sent_at + Duration::from_millis(1_300);
    assert!(received.minimum_point(bound, later).is_some(), "used up too soon");
}

/// A response that is late, because its sender was suspended after it had made it, must not make a sample look young.
#[test]
fn the_age_of_a_sample_counts_from_the_request() {
    let position = SampledPosition {
        age_micros: 400_000,
        point: LogPoint::new(3, 7),
    };
    let sent_at = Time::from_millis(10_000);
    let sample = received_position(position, sent_at).expect("a time after the start");
    assert_eq!(sample.requested_at, Time::from_millis(9_600));
}

/// A process that has just started cannot express a sample from before its start; taken for one at its start, it would be
/// too young.
#[test]
fn a_sample_from_before_the_start_is_dropped() {
    let position = SampledPosition {
        age_micros: 400_000,
        point: LogPoint::new(3, 7),
    };
    assert_eq!(received_position(position, Time::from_millis(300)), None);
}

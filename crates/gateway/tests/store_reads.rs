//! Proofs of freshness: which data may be taken for as recent as which call.

use std::time::Duration;
use wasabiyard_gateway::control::RevisionProofs;
use wasabiyard_model::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

/// A replica of the store that lags returns an old revision. Taking it for current would let withdrawn keys and replaced
/// primaries stay in use.
#[test]
fn data_of_an_older_revision_is_not_covered_by_a_newer_proof() {
    let mut proofs = RevisionProofs::default();
    assert_eq!(proofs.as_of(100), None);
    proofs.add(40, at(0));
    proofs.add(50, at(1_000));
    assert_eq!(proofs.as_of(39), None);
    assert_eq!(proofs.as_of(40), Some(at(0)));
    assert_eq!(proofs.as_of(49), Some(at(0)));
    assert_eq!(proofs.as_of(50), Some(at(1_000)));
    assert_eq!(proofs.as_of(60), Some(at(1_000)));
}

/// Nothing has changed between two calls: the later one proves the same revision for its own time.
#[test]
fn an_unchanged_revision_is_proved_again() {
    let mut proofs = RevisionProofs::default();
    proofs.add(50, at(0));
    proofs.add(50, at(900));
    assert_eq!(proofs.as_of(50), Some(at(900)));
}

/// Calls overtake each other: one that was sent first may report a higher revision than one that was sent after it and
/// served earlier. Neither may make data look more recent than it is.
#[test]
fn calls_that_overtake_each_other_prove_no_more_than_they_show() {
    let mut proofs = RevisionProofs::default();
    proofs.add(60, at(0));
    proofs.add(50, at(100));
    assert_eq!(proofs.as_of(50), Some(at(100)));
    assert_eq!(proofs.as_of(60), Some(at(100)));
    proofs.add(70, at(50));
    assert_eq!(proofs.as_of(49), None);
    assert_eq!(proofs.as_of(70), Some(at(100)));
}

/// Reads rely on a proof only while it is recent; otherwise what they return would be proved for a time long past.
#[test]
fn an_old_proof_spares_no_read() {
    let mut proofs = RevisionProofs::default();
    proofs.add(50, at(0));
    let max_age = Duration::from_millis(400);
    assert!(proofs.recent(max_age, at(400)).is_some());
    assert!(proofs.recent(max_age, at(401)).is_none());
}

/// Many proofs must not grow without bound, and the newest ones have to stay.
#[test]
fn the_newest_proofs_are_kept() {
    let mut proofs = RevisionProofs::default();
    for n in 0..1_000 {
        proofs.add(n, at(n));
    }
    assert_eq!(proofs.as_of(999), Some(at(999)));
    assert_eq!(proofs.as_of(900), None);
}

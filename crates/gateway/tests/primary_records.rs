//! Primary records and their versions in the store.

use std::sync::Arc;
use wasabiyard_gateway::control::{StoredPrimaries, StoredRecord};
use wasabiyard_gateway::{Leadership, PrimaryRecord};
use wasabiyard_model::Version;

fn stored(version: u64, primary: &str) -> StoredRecord {
    StoredRecord {
        version: Version(version),
        record: PrimaryRecord::first(primary.into()),
    }
}

fn service() -> Arc<str> {
    Arc::from("members")
}

/// A read that was sent before a write and answered after it would bring the older record back, with a version on which no
/// write succeeds.
#[test]
fn a_read_that_is_older_than_a_write_changes_nothing() {
    let mut primaries = StoredPrimaries::default();
    primaries.on_written(service(), stored(7, "b"));
    primaries.on_read(service(), stored(5, "a"));
    assert_eq!(primaries.get("members"), Some(&stored(7, "b")));
    assert!(primaries.is_settled("members", Version(7)));
}

/// A demotion after an unanswered write would hit a server that this write puts back in use.
#[test]
fn a_record_is_settled_only_after_an_answered_write_of_this_process() {
    let mut primaries = StoredPrimaries::default();
    primaries.on_read(service(), stored(5, "a"));
    assert!(!primaries.is_settled("members", Version(5)), "read only");
    primaries.on_written(service(), stored(7, "a"));
    assert!(primaries.is_settled("members", Version(7)));
    primaries.on_unanswered("members", Version(7));
    assert!(!primaries.is_settled("members", Version(7)), "unanswered");
    primaries.on_written(service(), stored(9, "a"));
    primaries.on_unanswered("members", Version(7));
    assert!(primaries.is_settled("members", Version(9)));
}

/// Some instances use the primary of one record and some that of the other, so none may stay in use.
#[test]
fn records_with_one_epoch_are_reconciled_without_a_primary() {
    let (known, other) = (PrimaryRecord::first("a".into()), PrimaryRecord::first("b".into()));
    assert!(known.conflicts_with(&other));
    assert!(!known.conflicts_with(&known.clone()));
    let reconciled = known.reconciled_with(Some(&other), 0);
    assert_eq!(reconciled.epoch, 2);
    assert_eq!(reconciled.leadership, Leadership::Moving { from: "b".into() });
}

/// A store that has lost the last record gets it again; its epoch exceeds all that the store may have forgotten.
#[test]
fn a_lost_record_is_written_again_above_the_floor() {
    let known = PrimaryRecord::first("a".into());
    let reconciled = known.reconciled_with(None, 100);
    assert_eq!(reconciled.epoch, 101);
    assert_eq!(reconciled.leadership, known.leadership);
}

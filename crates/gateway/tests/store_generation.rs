//! Leases and proofs of freshness after the store was restored from an older copy.

use std::sync::Arc;
use std::time::Duration;
use wasabiyard_gateway::VIEW_LEASE;
use wasabiyard_gateway::control::{
    FailoverLease, FailoverLeaseRecord, LeaseTerms, StoreGeneration, VIEW_LEASE_MARGIN,
};
use wasabiyard_model::{Incarnation, Time, Version};
use wasabiyard_platform::Generation;

const START: Time = Time::from_millis(100_000);
const RENEWAL_PERIOD: Duration = Duration::from_secs(1);

fn generation(restores: u64) -> Generation {
    Generation::new(restores).expect("a generation")
}

fn revision(restores: u64, number: u64) -> u64 {
    generation(restores).revision(number).expect("a revision")
}

fn terms(restores: u64, may_confirm: bool) -> LeaseTerms {
    LeaseTerms {
        generation: generation(restores),
        may_confirm,
        has_settled: false,
    }
}

fn write(lease: &FailoverLease, holder: &str, terms: LeaseTerms, now: Time) -> Option<FailoverLeaseRecord> {
    lease.due_write(&Arc::from(holder), Incarnation(1), 0, RENEWAL_PERIOD, terms, now)
}

/// A restored store has forgotten the last holder and its fencing token: the next one would send a token that was used
/// before.
#[test]
fn a_fencing_token_after_a_restore_exceeds_all_that_the_store_has_forgotten() {
    let mut lease = FailoverLease::default();
    lease.on_read(None, START);
    let mut fence = 0;
    for restores in 1..4 {
        let now = START + Duration::from_secs(20 * restores);
        let record = write(&lease, "a", terms(restores, false), now);
        let record = record.expect("an acquisition");
        assert!(record.fence > fence, "{} after {fence}", record.fence);
        fence = record.fence;
        // The copy holds an older record of another holder.
        let copied = FailoverLeaseRecord {
            holder: "b".into(),
            fence: 1,
            ..record
        };
        lease.on_read(Some((Version(revision(restores + 1, 1)), copied)), now);
    }
}

/// The copy may name a holder that had lost its lease, and that would go on as if nothing had happened.
#[test]
fn a_holder_acquires_its_lease_again_after_a_restore() {
    let mut lease = FailoverLease::default();
    lease.on_read(None, START);
    let acquired = write(&lease, "a", terms(1, true), START).expect("an acquisition");
    lease.on_written(Version(revision(1, 5)), acquired.clone(), START, START);
    lease.on_read(Some((Version(revision(2, 5)), acquired.clone())), START);
    let again = write(&lease, "a", terms(2, false), START).expect("another acquisition");
    assert!(again.fence > acquired.fence);
    assert_eq!(again.renewals, 0);
    assert!(!again.confirms(generation(2)));
}

/// Confirmations must not be taken over from an earlier generation, nor lost when the lease changes hands.
#[test]
fn a_generation_is_confirmed_once_and_stays_confirmed() {
    let mut lease = FailoverLease::default();
    lease.on_read(None, START);
    let unconfirmed = write(&lease, "a", terms(1, false), START).expect("an acquisition");
    assert!(!unconfirmed.confirms(generation(1)));
    lease.on_written(Version(revision(1, 5)), unconfirmed, START, START);
    let now = START + RENEWAL_PERIOD;
    let confirmed = write(&lease, "a", terms(1, true), now).expect("a renewal");
    assert!(confirmed.confirms(generation(1)) && !confirmed.confirms(generation(2)));
    assert!(!confirmed.has_settled(generation(1)));
    let mut other = FailoverLease::default();
    other.on_read(Some((Version(revision(1, 6)), confirmed)), now);
    let later = now + Duration::from_secs(8);
    let taken_over = write(&other, "b", terms(1, false), later).expect("a takeover");
    assert!(taken_over.confirms(generation(1)));
}

/// Builds of two releases share the record while a fleet is renewed. One that misread the other's would use records of a
/// restored store as if they were confirmed, or never confirm them.
#[test]
fn the_stored_form_of_the_lease_does_not_change() {
    let old = r#"{"holder":"a","incarnation":1,"fence":1,"renewals":0,"released":false}"#;
    let old: FailoverLeaseRecord = serde_json::from_str(old).expect("a record without generations");
    assert!(old.confirms(generation(3)) && old.has_settled(generation(3)));
    let stored = r#"{"holder":"a","incarnation":1,"fence":1,"renewals":0,"released":false,"confirmed":2,"settled":null}"#;
    let record: FailoverLeaseRecord = serde_json::from_str(stored).expect("a record");
    assert!(record.confirms(generation(2)) && !record.confirms(generation(3)));
    assert!(record.has_settled(generation(3)));
    assert_eq!(serde_json::to_string(&record).expect("a record"), stored);
}

/// A holder that may have lost its lease in the seconds that the store has forgotten does not know all changes of primaries.
#[test]
fn a_holder_is_exclusive_until_another_one_may_have_taken_over() {
    let mut lease = FailoverLease::default();
    lease.on_read(None, START);
    let acquired = write(&lease, "a", terms(1, true), START).expect("an acquisition");
    lease.on_written(Version(revision(1, 5)), acquired.clone(), START, START);
    assert!(lease.is_exclusive(START + Duration::from_secs(3)));
    assert!(!lease.is_exclusive(START + Duration::from_secs(4)));
    let other = FailoverLeaseRecord {
        holder: "b".into(),
        ..acquired
    };
    lease.on_read(Some((Version(revision(1, 6)), other)), START);
    assert!(!lease.is_exclusive(START));
}

/// An instance whose registration the store has forgotten still uses primaries until its view lease ends.
#[test]
fn a_generation_settles_after_the_view_leases_from_before_it() {
    let mut observed = StoreGeneration::default();
    assert!(!observed.on_read(revision(1, 50), START));
    assert!(observed.on_read(revision(2, 40), START));
    assert!(!observed.on_read(revision(1, 60), START + VIEW_LEASE));
    let settled_at = START + VIEW_LEASE + VIEW_LEASE_MARGIN;
    assert!(!observed.has_settled(settled_at));
    assert!(observed.has_settled(settled_at + Duration::from_millis(1)));
}

/// The copy holds an older configuration until operators have written the newer one again; a key withdrawn since would be
/// valid once more.
#[test]
fn an_older_configuration_of_a_restored_store_proves_nothing() {
    let is_rewritten = |observed: &StoreGeneration, read, known, now| {
        observed.has_rewritten_configuration(revision(2, 41), Version(read), known, now)
    };
    let later = START + Duration::from_millis(1_500);
    let mut observed = StoreGeneration::default();
    observed.on_read(revision(2, 40), START);
    assert!(!is_rewritten(&observed, 5, None, later), "without memory");
    assert!(is_rewritten(
        &observed,
        5,
        None,
        START + Duration::from_millis(2_100)
    ));
    let mut observed = StoreGeneration::default();
    observed.on_read(revision(1, 50), START);
    observed.on_read(revision(2, 40), START);
    assert!(!is_rewritten(&observed, 5, Some(Version(6)), later));
    assert!(!is_rewritten(&observed, 6, Some(Version(6)), START));
    assert!(is_rewritten(&observed, 6, Some(Version(6)), later));
}

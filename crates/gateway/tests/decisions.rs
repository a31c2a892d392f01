//! Decisions of an instance: view leases, freshness of reads, the failover lease, session values, server choice, and
//! which messages of other instances are accepted.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::rc::Rc;
use std::time::Duration;
use wasabiyard_gateway::control::{FailoverLease, FailoverLeaseRecord, LeaseTerms, ReachedGeneration};
use wasabiyard_gateway::peer::{Encoding, Envelope, ReleaseTargets};
use wasabiyard_gateway::traffic::{Candidate, ReplicaLag, choose_server, required_point};
use wasabiyard_gateway::{
    ClusterSnapshot, ConnectionState, NEW_WORK_MARGIN, PeerMessage, PrimaryRecord, PrimaryView,
    SessionValues, VIEW_LEASE,
};
use wasabiyard_model::{Incarnation, InstanceId, LogPoint, Time, Version};
use wasabiyard_platform::Generation;

const START: Time = Time::from_millis(100_000);
const RENEWAL_PERIOD: Duration = Duration::from_secs(1);

/// Another instance may promote a new primary once the view lease of this one has ended. If this one still used the old
/// primary, both would accept writes.
#[test]
fn a_primary_is_not_used_after_the_view_lease() {
    let mut snapshot = ClusterSnapshot {
        records_as_of: START,
        ..ClusterSnapshot::default()
    };
    snapshot
        .primaries
        .insert("members".into(), PrimaryRecord::first("p".into()));
    let last = START + VIEW_LEASE - NEW_WORK_MARGIN - Duration::from_millis(1);
    assert!(matches!(
        snapshot.primary("members", last),
        PrimaryView::Usable { .. }
    ));
    // New work stops shortly before the lease ends, so that running writes can still be answered and do not end in
    // doubt.
    let stop = START + VIEW_LEASE - NEW_WORK_MARGIN;
    assert_eq!(snapshot.primary("members", stop), PrimaryView::Stale);
    assert!(snapshot.view_lease_holds(stop));
    assert!(!snapshot.view_lease_holds(START + VIEW_LEASE));
}

/// An instance that cannot read the configuration does not learn that a key was withdrawn, so it must stop accepting
/// keys.
#[test]
fn keys_are_not_trusted_without_a_recent_configuration() {
    let snapshot = ClusterSnapshot {
        configuration: Some(std::sync::Arc::default()),
        configuration_as_of: START,
        ..ClusterSnapshot::default()
    };
    let max_age = Duration::from_millis(4_500);
    assert!(snapshot.keys_are_current(max_age, START + Duration::from_millis(4_499)));
    assert!(!snapshot.keys_are_current(max_age, START + max_age));
}

/// A promotion may roll back a session's commit. No server ever reaches its log point again, so a read that required it
/// would never be served.
#[test]
fn a_point_of_an_earlier_term_is_covered_by_a_newer_sample() {
    let session_point = LogPoint::new(3, 1_209);
    assert_eq!(
        required_point(Some(session_point), LogPoint::new(4, 1_200)),
        LogPoint::new(4, 1_200)
    );
    assert_eq!(
        required_point(Some(session_point), LogPoint::new(3, 1_200)),
        session_point
    );
    assert_eq!(
        required_point(Some(session_point), LogPoint::new(3, 1_300)),
        LogPoint::new(3, 1_300)
    );
    assert_eq!(
        required_point(Some(session_point), LogPoint::new(2, 1_300)),
        session_point
    );
}

fn lease_record(holder: &str, fence: u64) -> FailoverLeaseRecord {
    FailoverLeaseRecord {
        holder: holder.into(),
        incarnation: Incarnation(1),
        fence,
        renewals: 0,
        released: false,
        confirmed: ReachedGeneration::at(Generation::default()),
        settled: ReachedGeneration::at(Generation::default()),
    }
}

/// A lease holder whose renewals fail must stop acting before another instance can acquire the lease.
#[test]
fn two_instances_never_act_on_the_failover_lease_at_once() {
    let mut holder = FailoverLease::default();
    holder.on_written(Version(7), lease_record("a", 3), START, START);
    let mut other = FailoverLease::default();
    other.on_read(Some((Version(7), lease_record("a", 3))), START);
    for millis in 0..10_000 {
        let now = START + Duration::from_millis(millis);
        let may_act = holder.held_fence("a", Incarnation(1), now).is_some();
        let acquisition = other.due_write(
            &"b".into(),
            Incarnation(9),
            0,
            RENEWAL_PERIOD,
            LeaseTerms::default(),
            now,
        );
        assert!(!(may_act && acquisition.is_some()), "both at {millis} ms");
        if let Some(record) = acquisition {
            assert_eq!(record.fence, 4);
        }
    }
    let late = START + Duration::from_secs(4);
    assert!(
        other
            .due_write(
                &"b".into(),
                Incarnation(9),
                0,
                RENEWAL_PERIOD,
                LeaseTerms::default(),
                late
            )
            .is_some()
    );
}

/// The answer to a renewal comes after the read of the record that another holder has written since. Taken for the newest
/// record, it would let the former holder act beside the new one, until its next read.
#[test]
fn a_late_answer_to_a_renewal_does_not_bring_the_lease_back() {
    let mut lease = FailoverLease::default();
    lease.on_written(Version(7), lease_record("a", 3), START, START);
    lease.on_read(Some((Version(9), lease_record("b", 4))), START);
    lease.on_written(Version(8), lease_record("a", 3), START, START);
    assert_eq!(lease.held_fence("a", Incarnation(1), START), None);
    assert_eq!(lease.holder(), Some(&"b".into()));
}

/// When the answer to an acquisition was lost, its holder never reported usage for as long as it held the lease.
#[test]
fn a_holder_whose_acquisition_was_not_answered_may_report_after_a_pause() {
    const TURN: Duration = Duration::from_secs(3);
    let mut lease = FailoverLease::default();
    lease.on_read(Some((Version(7), lease_record("a", 3))), START);
    let renewed = FailoverLeaseRecord {
        renewals: 1,
        ..lease_record("a", 3)
    };
    let fence_at = |lease: &FailoverLease, now| lease.held_fence_in_turn("a", Incarnation(1), TURN, now);
    for i in 0..4 {
        let now = START + Duration::from_secs(i);
        lease.on_written(Version(8 + i), renewed.clone(), now, now);
    }
    assert_eq!(fence_at(&lease, START + Duration::from_secs(3)), None);
    assert_eq!(fence_at(&lease, START + Duration::from_secs(4)), Some(3));
}

/// A restarted process of the holder knows that its predecessor has ended, so it acquires the lease at once. It
/// must not reuse the fencing token of its predecessor.
#[test]
fn a_restarted_holder_acquires_the_lease_with_a_higher_fence() {
    let mut view = FailoverLease::default();
    view.on_read(Some((Version(7), lease_record("a", 3))), START);
    assert_eq!(view.held_fence("a", Incarnation(2), START), None);
    let record = view.due_write(
        &"a".into(),
        Incarnation(2),
        5,
        RENEWAL_PERIOD,
        LeaseTerms::default(),
        START,
    );
    assert_eq!(record.map(|r| r.fence), Some(4));
}

#[test]
fn a_released_lease_is_acquired_at_once_by_the_first_candidate() {
    let mut record = lease_record("a", 3);
    record.released = true;
    let mut view = FailoverLease::default();
    view.on_read(Some((Version(8), record)), START);
    assert!(
        view.due_write(
            &"b".into(),
            Incarnation(1),
            0,
            RENEWAL_PERIOD,
            LeaseTerms::default(),
            START
        )
        .is_some()
    );
    assert!(
        view.due_write(
            &"c".into(),
            Incarnation(1),
            1,
            RENEWAL_PERIOD,
            LeaseTerms::default(),
            START
        )
        .is_none()
    );
}

fn values(pairs: &[(&str, &str)]) -> SessionValues {
    pairs.iter().map(|(n, v)| (Rc::from(*n), Rc::from(*v))).collect()
}

/// Values that another session left on a pooled connection must not be visible to the next one. A value that is only
/// overwritten needs no reset.
#[test]
fn values_of_another_session_are_reset() {
    let connection_state = ConnectionState {
        values: values(&[("lang", "lv"), ("page", "9")]),
        ..ConnectionState::default()
    };
    let adjustment = connection_state.adjustment(&values(&[("lang", "lv")]));
    assert!(adjustment.reset);
    assert_eq!(adjustment.set, [(Rc::from("lang"), Rc::from("lv"))]);
    let adjustment = connection_state.adjustment(&values(&[("lang", "en"), ("page", "9")]));
    assert!(!adjustment.reset);
    assert_eq!(adjustment.set, [(Rc::from("lang"), Rc::from("en"))]);
}

#[test]
fn envelopes_with_another_secret_or_changed_bytes_are_rejected() {
    let envelope = Envelope {
        from: InstanceId::from("a"),
        incarnation: Incarnation(1),
        message: PeerMessage::PrimaryReleased {
            service: "members".into(),
            epoch: 4,
        },
        reads_compact: false,
    };
    let sealed = envelope.seal(Encoding::Named, b"secret");
    assert_eq!(Envelope::open(&sealed, b"secret").expect("authentic"), envelope);
    Envelope::open(&sealed, b"other").expect_err("another secret");
    let mut changed = sealed.clone();
    changed[3] ^= 1;
    Envelope::open(&changed, b"secret").expect_err("a changed byte");
    Envelope::open(&sealed[..8], b"secret").expect_err("too short");
}

fn candidate(primary: bool, millis: u64, available: bool) -> Candidate {
    Candidate {
        primary,
        local: true,
        distance: Duration::ZERO,
        latency: Duration::from_millis(millis),
        running: 0,
        has_idle_connection: true,
        available,
        holds_point: true,
    }
}

/// A server that is five times slower must not get an equal share of the reads.
#[test]
fn reads_avoid_a_slow_server_and_never_choose_a_busy_one() {
    let mut rng = SmallRng::seed_from_u64(1);
    let slow = [
        candidate(false, 100, true),
        candidate(false, 20, true),
        candidate(true, 20, true),
    ];
    for _ in 0..100 {
        assert_eq!(choose_server(&slow, &mut rng), Some(1));
    }
    let busy = [candidate(false, 100, true), candidate(false, 20, false)];
    assert_eq!(choose_server(&busy, &mut rng), Some(0));
    assert_eq!(choose_server(&[candidate(false, 1, false)], &mut rng), None);
}

/// A replica that lags gets no reads of log points that it has not reached, and gets them again once it has caught up.
#[test]
fn replica_lag_is_estimated_from_refusals() {
    let mut lag = ReplicaLag::default();
    let point = LogPoint::new(1, 50);
    let reached = Some(START);
    let soon = START + Duration::from_millis(200);
    assert!(lag.expects_point(None, point, reached, soon));
    lag.on_refused(Duration::from_secs(2), soon);
    assert!(!lag.expects_point(None, point, reached, soon));
    assert!(lag.expects_point(Some(LogPoint::new(1, 50)), point, reached, soon));
    // The replica gets no reads now, so only the decay over time can lower the estimate.
    let later = soon + Duration::from_secs(4);
    assert!(lag.expects_point(None, point, Some(later - Duration::from_millis(500)), later));
}

/// When a network partition separates the holder and the first candidates, the time until another instance acquires
/// the lease must not grow with the number of candidates.
#[test]
fn the_last_candidate_acquires_an_expired_lease_within_seconds() {
    let mut view = FailoverLease::default();
    view.on_read(Some((Version(7), lease_record("a", 3))), START);
    let late = START + Duration::from_millis(5_100);
    assert!(
        view.due_write(
            &"z".into(),
            Incarnation(1),
            86,
            RENEWAL_PERIOD,
            LeaseTerms::default(),
            late
        )
        .is_some()
    );
}

/// A former lease holder that cannot read the store still considers itself the holder. If it does not report its
/// release of a primary to the new holder, the failover has to wait until its view lease expires.
#[test]
fn a_release_goes_to_the_instance_that_announced_the_change() {
    let own_id = InstanceId::from("old-holder");
    let mut targets = ReleaseTargets::default();
    assert!(
        targets
            .for_service("members", Some("old-holder"), &own_id)
            .is_empty()
    );
    targets.on_primary_record("members".into(), InstanceId::from("new-holder"));
    assert_eq!(
        targets.for_service("members", Some("old-holder"), &own_id),
        [InstanceId::from("new-holder")]
    );
    assert_eq!(
        targets.for_service("members", Some("new-holder"), &own_id),
        [InstanceId::from("new-holder")]
    );
}

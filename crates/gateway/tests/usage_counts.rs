//! Counting of operations, the clock of the windows, and the way of the counts to the holder of the failover lease.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_gateway::PeerMessage;
use wasabiyard_gateway::peer::{Encoding, Envelope};
use wasabiyard_gateway::usage::{
    ClockAgreement, FleetClock, OperationCount, SharedFleetClock, UnixTime, UsageCollector, UsageCounter,
    UsageMessage, UsageReceipt, UsageSender, UsageSettings, UsageStatus, WindowCounts, WindowId,
};
use wasabiyard_model::{Incarnation, InstanceId, Time};
use wasabiyard_platform::{ListedInstance, ListedState};

const SETTINGS: UsageSettings = UsageSettings {
    window: Duration::from_secs(5),
    delay: Duration::from_secs(10),
    tolerance: 0.05,
    lease: Duration::from_secs(3),
};
/// Start of window 1,000 in true time, and on the clock of the process.
const START_UNIX: UnixTime = UnixTime::from_micros(5_000_000_000);
const START: Time = Time::from_millis(3_600_000);
const FIRST: WindowId = WindowId(1_000);
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

fn at_ms(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

fn agreed_clock() -> SharedFleetClock {
    let mut clock = FleetClock::new(START_UNIX, START);
    clock.set_offset(clock.offset(), 3);
    SharedFleetClock::new(clock)
}

fn counter(clock: SharedFleetClock) -> Rc<RefCell<UsageCounter>> {
    let mut counter = UsageCounter::new(SETTINGS, clock);
    counter.advance(START);
    Rc::new(RefCell::new(counter))
}

fn operation(counter: &Rc<RefCell<UsageCounter>>) -> OperationCount {
    OperationCount::new(Some(Rc::clone(counter)), "org".into())
}

fn final_count(counter: &Rc<RefCell<UsageCounter>>, window: WindowId) -> Option<u64> {
    let counter = counter.borrow();
    let counts = counter.final_windows().get(&window)?;
    Some(counts.get("org").copied().unwrap_or_default())
}

fn member(id: &str, incarnation: u64) -> ListedInstance {
    ListedInstance {
        id: InstanceId::from(id),
        incarnation: Incarnation(incarnation),
        address: "127.0.0.1:1".to_owned(),
        domain: "riga-a".to_owned(),
        state: ListedState::Live,
    }
}

/// Retries would count an operation twice, or a refused one at all.
#[test]
fn an_operation_counts_once_where_it_was_first_not_refused() {
    let counter = counter(agreed_clock());
    let mut retried = operation(&counter);
    retried.on_send(at_ms(4_900));
    retried.on_attempt_ended(false);
    retried.on_send(at_ms(5_100));
    retried.on_attempt_ended(true);
    retried.on_send(at_ms(9_900));
    retried.on_attempt_ended(false);
    drop(retried);
    let mut refused = operation(&counter);
    refused.on_send(at_ms(5_200));
    refused.on_attempt_ended(false);
    drop(refused);
    counter.borrow_mut().advance(at_ms(20_000));
    assert_eq!(final_count(&counter, FIRST), Some(0));
    assert_eq!(final_count(&counter, FIRST.plus(1)), Some(1));
    assert_eq!(final_count(&counter, FIRST.plus(2)), Some(0));
}

/// An operation without an answer would hold the report back, or change counts that were sent as final.
#[test]
fn an_unanswered_operation_counts_and_final_counts_stay() {
    let counter = counter(agreed_clock());
    let mut unanswered = operation(&counter);
    unanswered.on_send(at_ms(4_900));
    counter.borrow_mut().advance(at_ms(6_000));
    assert_eq!(final_count(&counter, FIRST), None, "the answer may still come");
    counter.borrow_mut().advance(at_ms(7_100));
    assert_eq!(final_count(&counter, FIRST), Some(1));
    unanswered.on_attempt_ended(false);
    counter.borrow_mut().advance(at_ms(8_000));
    assert_eq!(final_count(&counter, FIRST), Some(1));
}

/// What was counted before the time was known would be lost, or assigned by a wrong time of day.
#[test]
fn counts_from_before_the_time_is_known_belong_to_their_windows() {
    let an_hour_late = START_UNIX + Duration::from_hours(1);
    let clock = SharedFleetClock::new(FleetClock::new(an_hour_late, START));
    let counter = counter(clock.clone());
    let mut answered = operation(&counter);
    answered.on_send(at_ms(100));
    answered.on_attempt_ended(true);
    let mut open = operation(&counter);
    open.on_send(at_ms(200));
    let reference = agreed_clock();
    let time = reference
        .lock()
        .fleet_time(at_ms(300))
        .expect("the time of the fleet");
    clock.lock().on_fleet_time(time, at_ms(299), at_ms(301));
    counter.borrow_mut().advance(at_ms(400));
    open.on_attempt_ended(true);
    counter.borrow_mut().advance(at_ms(5_100));
    assert_eq!(final_count(&counter, FIRST), Some(2));
    assert_eq!(counter.borrow().since(), Some(FIRST));
}

/// A jump of the time of day, on a member or on the holder itself, would move the windows of the fleet.
#[test]
fn a_clock_that_jumps_does_not_move_the_windows() {
    let members = ["a", "b", "c", "d", "e"].map(|id| member(id, 1));
    let mut holder_clock = FleetClock::new(START_UNIX, START);
    let mut agreement = ClockAgreement::default();
    for seconds in 0..600 {
        let now = at_ms(seconds * 1_000);
        let wall = START_UNIX + Duration::from_secs(seconds);
        for (i, member) in members.iter().enumerate() {
            let jump = match i {
                0 if seconds >= 20 => Duration::from_hours(2),
                1 if seconds >= 40 => Duration::from_secs(7),
                _ => Duration::ZERO,
            };
            agreement.on_reading(&member.id, wall + jump, now);
        }
        agreement.update(&mut holder_clock, &members, now);
        let error = holder_clock.unix_time(now).saturating_since(wall);
        assert!(error < Duration::from_millis(5), "{error:?} after {seconds} s");
    }
    // A majority that jumps at once moves it only slowly.
    for seconds in 600..660 {
        for member in &members {
            let wall = START_UNIX + Duration::from_secs(seconds + 3_600);
            agreement.on_reading(&member.id, wall, at_ms(seconds * 1_000));
        }
        agreement.update(&mut holder_clock, &members, at_ms(seconds * 1_000));
    }
    let wall = START_UNIX + Duration::from_mins(11);
    let error = holder_clock.unix_time(at_ms(660_000)).saturating_since(wall);
    assert!(error < Duration::from_millis(50), "{error:?}");
}

/// One instance alone, whose time of day is wrong, would set the time for a fleet that starts.
#[test]
fn the_time_needs_most_instances_and_improves_with_them() {
    let members = ["a", "b", "c"].map(|id| member(id, 1));
    let wrong = START_UNIX + Duration::from_mins(1);
    let mut clock = FleetClock::new(wrong, START);
    let mut agreement = ClockAgreement::default();
    agreement.on_reading(&members[0].id, wrong, START);
    agreement.update(&mut clock, &members, START);
    assert_eq!(clock.support(), None);
    agreement.update(&mut clock, &members[..1], START);
    assert_eq!(clock.support(), Some(1), "a fleet of one");
    for member in &members[1..] {
        agreement.on_reading(&member.id, START_UNIX, START);
    }
    agreement.update(&mut clock, &members, START);
    assert_eq!(clock.unix_time(START), START_UNIX);
}

fn receipts(
    collector: &mut UsageCollector,
    from: &str,
    incarnation: u64,
    messages: &[UsageMessage],
) -> Vec<bool> {
    let from = InstanceId::from(from);
    let counts = messages.iter().filter_map(|m| m.counts.as_ref());
    let apply = |c| collector.on_counts(&from, Incarnation(incarnation), c, FIRST.plus(2));
    counts.map(apply).collect()
}

/// A datagram that is too long is cut off and dropped; a part taken for the whole would be reported.
#[test]
fn counts_of_many_organisations_are_split_and_complete_only_together() {
    let counter = counter(agreed_clock());
    for i in 0..2_000 {
        let organisation: Arc<str> = format!("organisation-{i}").into();
        let mut count = OperationCount::new(Some(Rc::clone(&counter)), organisation);
        count.on_send(at_ms(100));
    }
    counter.borrow_mut().advance(at_ms(6_000));
    let target = InstanceId::from("holder");
    let mut sender = UsageSender::new(&InstanceId::from("a"));
    let messages = sender.due(&counter.borrow(), &target, 7, START_UNIX, at_ms(6_000));
    assert!(messages.len() > 1, "{} messages", messages.len());
    for message in &messages {
        let envelope = Envelope {
            from: InstanceId::from("a"),
            incarnation: Incarnation(1),
            reads_compact: true,
            message: PeerMessage::Usage(message.clone()),
        };
        let bytes = envelope.seal(Encoding::Named, b"secret").len();
        assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes} bytes");
    }
    let mut collector = UsageCollector::default();
    let complete = receipts(&mut collector, "a", 1, &messages);
    let (last, parts) = complete.split_last().expect("a part");
    assert!(*last && parts.iter().all(|complete| !complete), "{complete:?}");
    assert_eq!(collector.totals(FIRST).len(), 2_000);
    receipts(&mut collector, "a", 1, &messages);
    assert_eq!(
        collector.totals(FIRST).values().sum::<u64>(),
        2_000,
        "after a repetition"
    );
}

/// What a process counted before it was killed would be replaced by the counts of its successor.
#[test]
fn counts_of_an_ended_process_stay_beside_those_of_its_successor() {
    let interim = WindowCounts {
        window: FIRST,
        since: FIRST,
        organisations: None,
        counts: vec![("org".into(), 5)],
    };
    let last = WindowCounts {
        organisations: Some(1),
        counts: vec![("org".into(), 2)],
        ..interim.clone()
    };
    let mut collector = UsageCollector::default();
    let id = InstanceId::from("a");
    collector.on_counts(&id, Incarnation(1), &interim, FIRST);
    collector.on_counts(&id, Incarnation(2), &last, FIRST);
    assert_eq!(collector.totals(FIRST).get("org"), Some(&7));
    assert_eq!(collector.missing(FIRST, &[member("a", 2)]), []);
    // An instance that has started in a later window has nothing to send.
    let later = WindowCounts {
        window: FIRST.plus(1),
        since: FIRST.plus(1),
        ..last
    };
    collector.on_counts(&InstanceId::from("b"), Incarnation(1), &later, FIRST.plus(1));
    assert_eq!(
        collector.missing(FIRST, &[member("b", 1), member("c", 1)]),
        [InstanceId::from("c")]
    );
}

/// A lost datagram, a lost receipt or a lost holder would lose counts; an old holder would take them from the new one.
#[test]
fn final_counts_are_sent_until_the_newest_holder_has_them() {
    let counter = counter(agreed_clock());
    let mut counted = operation(&counter);
    counted.on_send(at_ms(100));
    counted.on_attempt_ended(true);
    counter.borrow_mut().advance(at_ms(6_000));
    let mut sender = UsageSender::new(&InstanceId::from("a"));
    let (old, new) = (InstanceId::from("old"), InstanceId::from("new"));
    let windows = |messages: Vec<UsageMessage>| -> Vec<WindowId> {
        let counts = messages.into_iter().filter_map(|m| m.counts);
        counts
            .filter(|c| c.organisations.is_some())
            .map(|c| c.window)
            .collect()
    };
    let due = |sender: &mut UsageSender, to: &InstanceId, ms| {
        windows(sender.due(&counter.borrow(), to, 7, START_UNIX, at_ms(ms)))
    };
    assert_eq!(due(&mut sender, &old, 6_000), [FIRST]);
    assert_eq!(due(&mut sender, &old, 6_500), []);
    assert_eq!(due(&mut sender, &old, 7_100), [FIRST], "without a receipt");
    let status = |fence, complete: Option<WindowId>| UsageStatus {
        fence,
        recorded: None,
        time: None,
        receipt: complete.map(|window| UsageReceipt {
            sent: at_ms(7_100),
            complete: Some(window),
        }),
    };
    assert!(sender.on_status(&old, &status(1, Some(FIRST)), at_ms(7_110)));
    assert_eq!(due(&mut sender, &old, 9_000), []);
    assert!(sender.on_status(&new, &status(2, None), at_ms(9_100)));
    assert!(!sender.on_status(&old, &status(1, None), at_ms(9_200)));
    let target = sender.target(Some("old"), at_ms(9_200)).expect("a holder");
    assert_eq!(target, new);
    assert_eq!(due(&mut sender, &target, 9_200), [FIRST]);
    counter.borrow_mut().on_recorded(FIRST);
    assert_eq!(due(&mut sender, &target, 9_900), [], "recorded");
}

/// An instance whose messages do not reach the holder, while both reach the store, would be missing from every report.
#[test]
fn counts_that_the_holder_does_not_acknowledge_go_to_the_store_once() {
    let counter = counter(agreed_clock());
    let mut sender = UsageSender::new(&InstanceId::from("a"));
    let holder = InstanceId::from("holder");
    let mut stored = Vec::new();
    for ms in (0..22_000).step_by(100) {
        let now = at_ms(ms);
        let mut counted = operation(&counter);
        counted.on_send(now);
        drop(counted);
        counter.borrow_mut().advance(now);
        sender.due(&counter.borrow(), &holder, 7, START_UNIX, now);
        if ms % 1_000 == 0 {
            // The holder asks for the counts, and its messages arrive.
            let status = UsageStatus {
                fence: 1,
                recorded: None,
                time: None,
                receipt: None,
            };
            assert!(sender.on_status(&holder, &status, now));
        }
        if let Some(windows) = sender.to_store(&counter.borrow(), now) {
            let counts: Vec<_> = windows.iter().map(|w| (w.window, w.counts[0].1)).collect();
            stored.push((ms, counts));
        }
    }
    let window = |k, count| (FIRST.plus(k), count);
    let first = vec![window(0, 50)];
    let second = vec![window(0, 50), window(1, 50)];
    let third = vec![window(0, 50), window(1, 50), window(2, 50)];
    assert_eq!(stored, [(10_500, first), (15_500, second), (20_500, third)]);
    // A new holder gets time to acknowledge before the store is used again.
    let mut sender = UsageSender::new(&InstanceId::from("a"));
    let now = at_ms(22_000);
    sender.due(&counter.borrow(), &holder, 7, START_UNIX, now);
    assert_eq!(sender.to_store(&counter.borrow(), now), None);
}

//! What holders of the failover lease report, with a store and a service that lose responses, fail, and are restored.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_gateway::control::{FailoverLease, LeaseTerms};
use wasabiyard_gateway::usage::{
    Collected, OrganisationCounts, ReportStep, UnixTime, UsageCollector, UsageRecord, UsageReporter,
    UsageSettings, WindowCounts, WindowId, WriteOutcome,
};
use wasabiyard_model::{Incarnation, InstanceId, Time, Version};
use wasabiyard_platform::{ListedInstance, ListedState};

const SETTINGS: UsageSettings = UsageSettings {
    window: Duration::from_secs(5),
    delay: Duration::from_secs(10),
    tolerance: 0.05,
    lease: Duration::from_secs(3),
};
const FIRST: WindowId = WindowId(1_000);

/// The true time at `ms` after the start of the first window, and the same on the clock of each process.
fn unix(ms: u64) -> UnixTime {
    SETTINGS.end_of(FIRST) - SETTINGS.window + Duration::from_millis(ms)
}

fn at(ms: u64) -> Time {
    Time::from_millis(3_600_000 + ms)
}

fn members(ids: &[&str]) -> Vec<ListedInstance> {
    let member = |id: &&str| ListedInstance {
        id: InstanceId::from(*id),
        incarnation: Incarnation(1),
        address: "127.0.0.1:1".to_owned(),
        domain: "riga-a".to_owned(),
        state: ListedState::Live,
    };
    ids.iter().map(member).collect()
}

fn send(holder: &mut Holder, from: &str, window: WindowId, count: u64, is_final: bool) {
    let counts = WindowCounts {
        window,
        since: FIRST,
        organisations: is_final.then_some(1),
        counts: vec![("org".into(), count)],
    };
    let from = InstanceId::from(from);
    holder
        .collector
        .on_counts(&from, Incarnation(1), &counts, window.plus(1));
}

/// An instance that collects and may hold the lease.
struct Holder {
    collector: UsageCollector,
    reporter: UsageReporter,
}

impl Holder {
    fn new() -> Self {
        Self {
            collector: UsageCollector::default(),
            reporter: UsageReporter::new(SETTINGS),
        }
    }

    fn step(&self, members: &[ListedInstance], ms: u64) -> ReportStep {
        let collected = Collected {
            collector: &self.collector,
            members,
            unix_now: Some(unix(ms)),
        };
        self.reporter.next_step(collected, at(ms))
    }

    /// Takes steps while nothing fails. Returns whether it waits.
    fn run(&mut self, world: &mut World, members: &[ListedInstance], ms: u64) {
        for _ in 0..20 {
            match self.step(members, ms) {
                ReportStep::Wait => return,
                ReportStep::Read => self.read(world),
                ReportStep::Record { record, expected, .. } => {
                    let outcome = world.write(expected, &record);
                    self.on_written(record, outcome, ms);
                }
                ReportStep::Send(record) => {
                    world.accept(&record);
                    self.reporter.on_accepted(record.window);
                }
            }
        }
        panic!("the reporter does not come to rest");
    }

    fn read(&mut self, world: &World) {
        let (version, record) = world.stored.clone().unzip();
        if let Some(record) = &record {
            self.collector.on_recorded(record.window);
        }
        self.reporter.on_read(version, record);
    }

    fn on_written(&mut self, record: UsageRecord, outcome: WriteOutcome, ms: u64) {
        if matches!(outcome, WriteOutcome::Written(_)) {
            self.collector.on_recorded(record.window);
        }
        self.reporter.on_written(record, outcome, at(ms));
    }
}

/// The store and the service.
#[derive(Default)]
struct World {
    stored: Option<(Version, UsageRecord)>,
    next_version: u64,
    accepted: BTreeMap<WindowId, OrganisationCounts>,
}

impl World {
    fn write(&mut self, expected: Option<Version>, record: &UsageRecord) -> WriteOutcome {
        if self.stored.as_ref().map(|(version, _)| *version) != expected {
            return WriteOutcome::Unknown;
        }
        self.next_version += 1;
        let version = Version(self.next_version);
        self.stored = Some((version, record.clone()));
        WriteOutcome::Written(version)
    }

    /// Accepts a report. A window with other counts than before, or one that follows a later one, is the fault.
    fn accept(&mut self, record: &UsageRecord) {
        let (_, stored) = self.stored.as_ref().expect("recorded before it is sent");
        assert!(record.window <= stored.window, "sent before it was recorded");
        if let Some(known) = self.accepted.get(&record.window) {
            assert_eq!(*known, record.counts, "two reports of {}", record.window);
            return;
        }
        let newest = self.accepted.keys().next_back();
        assert!(
            newest.is_none_or(|newest| *newest < record.window),
            "an older window"
        );
        self.accepted.insert(record.window, record.counts.clone());
    }

    fn count(&self, window: WindowId) -> Option<u64> {
        let counts = self.accepted.get(&window)?;
        Some(counts.get("org").copied().unwrap_or_default())
    }
}

fn assert_records(step: &ReportStep, window: WindowId, count: u64, lacking: &[&str]) {
    let ReportStep::Record { record, missing, .. } = step else {
        panic!("{step:?}");
    };
    assert_eq!(
        (record.window, record.counts.get("org").copied()),
        (window, Some(count))
    );
    let lacking: Vec<_> = lacking.iter().map(|id| InstanceId::from(*id)).collect();
    assert_eq!(*missing, lacking);
}

/// A report without the counts of a live instance would be wrong; one that waits for a lost instance would be late, or
/// never made, and lack what that instance had sent.
#[test]
fn a_window_waits_for_all_and_is_reported_in_time_without_a_lost_instance() {
    let fleet = members(&["a", "b"]);
    let mut holder = Holder::new();
    holder.reporter.on_lease_held(1, at(0));
    holder.read(&World::default());
    send(&mut holder, "a", FIRST, 10, true);
    send(&mut holder, "b", FIRST, 7, false);
    assert_eq!(
        holder.step(&fleet, 4_900),
        ReportStep::Wait,
        "the window has not ended"
    );
    assert_eq!(holder.step(&fleet, 11_900), ReportStep::Wait, "b may still send");
    assert_records(&holder.step(&fleet, 12_000), FIRST, 17, &["b"]);
    send(&mut holder, "b", FIRST, 8, true);
    assert_records(&holder.step(&fleet, 5_100), FIRST, 18, &[]);
}

/// A new holder that reports at once, before instances know it, would report next to nothing.
#[test]
fn a_new_holder_gives_instances_time_to_send_again() {
    let fleet = members(&["a", "b"]);
    let mut holder = Holder::new();
    holder.reporter.on_lease_held(2, at(14_000));
    holder.read(&World::default());
    send(&mut holder, "a", FIRST, 10, true);
    assert_eq!(holder.step(&fleet, 14_100), ReportStep::Wait);
    send(&mut holder, "b", FIRST, 8, true);
    assert_records(&holder.step(&fleet, 14_500), FIRST, 18, &[]);
}

/// The next holder has other counts than the last one recorded. Its own report would contradict one that may have been sent.
#[test]
fn a_new_holder_sends_what_was_recorded_and_an_old_one_nothing_more() {
    let fleet = members(&["a", "b"]);
    let mut world = World::default();
    let (mut old, mut new) = (Holder::new(), Holder::new());
    old.reporter.on_lease_held(1, at(0));
    old.read(&world);
    send(&mut old, "a", FIRST, 10, true);
    send(&mut old, "b", FIRST, 8, true);
    let ReportStep::Record { record, expected, .. } = old.step(&fleet, 5_000) else {
        panic!("nothing to record");
    };
    let outcome = world.write(expected, &record);
    old.on_written(record, outcome, 5_000);
    // The old holder is frozen before it sends. Its own counts are not known to the new one.
    send(&mut new, "b", FIRST, 8, true);
    new.reporter.on_lease_held(2, at(9_000));
    new.run(&mut world, &fleet, 13_000);
    assert_eq!(world.count(FIRST), Some(18));
    send(&mut new, "a", FIRST.plus(1), 4, true);
    send(&mut new, "b", FIRST.plus(1), 4, true);
    new.run(&mut world, &fleet, 14_000);
    assert_eq!(world.count(FIRST.plus(1)), Some(8));
    // It holds the lease again, long after: it knows nothing of the record until it has read it.
    old.reporter.on_lease_held(3, at(20_000));
    assert_eq!(old.step(&fleet, 20_000), ReportStep::Read);
}

/// A write whose response is lost may have taken effect. Other counts sent after it could contradict the next holder.
#[test]
fn a_write_without_a_response_is_read_back_before_anything_is_sent() {
    let fleet = members(&["a"]);
    let mut world = World::default();
    let mut holder = Holder::new();
    holder.reporter.on_lease_held(1, at(0));
    holder.read(&world);
    send(&mut holder, "a", FIRST, 10, true);
    let ReportStep::Record { record, expected, .. } = holder.step(&fleet, 5_000) else {
        panic!("nothing to record");
    };
    world.write(expected, &record);
    holder.on_written(record, WriteOutcome::Unknown, 5_000);
    assert_eq!(
        holder.step(&fleet, 5_100),
        ReportStep::Wait,
        "a pause after a failure"
    );
    assert_eq!(holder.step(&fleet, 6_000), ReportStep::Read);
    // Meanwhile more counts would be known.
    send(&mut holder, "b", FIRST, 5, true);
    holder.run(&mut world, &fleet, 6_000);
    assert_eq!(world.count(FIRST), Some(10));
}

/// Windows that end in an outage would be left out, or the next one would replace the record of one that was not sent.
#[test]
fn windows_of_an_outage_are_reported_in_order_after_it() {
    let fleet = members(&["a"]);
    let mut world = World::default();
    let mut holder = Holder::new();
    holder.reporter.on_lease_held(1, at(0));
    holder.read(&world);
    for k in 0..6 {
        send(&mut holder, "a", FIRST.plus(k), k + 1, true);
    }
    // The service is down: one report is recorded and repeated, no other one is recorded.
    let mut sent = Vec::new();
    for ms in (5_000..30_000).step_by(100) {
        match holder.step(&fleet, ms) {
            ReportStep::Record { record, expected, .. } => {
                let outcome = world.write(expected, &record);
                holder.on_written(record, outcome, ms);
            }
            ReportStep::Send(record) => {
                sent.push(record);
                holder.reporter.on_failure(at(ms));
            }
            _ => {}
        }
    }
    assert!((10..40).contains(&sent.len()), "{} attempts", sent.len());
    assert!(sent.iter().all(|record| *record == sent[0]), "{sent:?}");
    holder.run(&mut world, &fleet, 35_000);
    let counts: Vec<_> = (0..6).map(|k| world.count(FIRST.plus(k))).collect();
    assert_eq!(counts, (1..=6).map(Some).collect::<Vec<_>>());
}

/// A store that comes back from an older copy has forgotten reports that the service has. They must not be made again with
/// other counts, by the same holder or by one that only knows from the instances that they exist.
#[test]
fn a_restored_store_leads_to_no_second_report() {
    let fleet = members(&["a"]);
    let mut world = World::default();
    let mut holder = Holder::new();
    holder.reporter.on_lease_held(1, at(0));
    let mut copy = None;
    for k in 0..3 {
        if k == 1 {
            copy.clone_from(&world.stored);
        }
        send(&mut holder, "a", FIRST.plus(k), 10, true);
        holder.run(&mut world, &fleet, 5_000 * (k + 1));
    }
    world.stored.clone_from(&copy);
    send(&mut holder, "a", FIRST.plus(3), 10, true);
    holder.run(&mut world, &fleet, 20_000);
    holder.run(&mut world, &fleet, 21_000);
    assert_eq!(world.count(FIRST.plus(3)), Some(10));

    world.stored = copy;
    let mut next = Holder::new();
    next.collector.on_recorded(FIRST.plus(3));
    for k in 1..5 {
        send(&mut next, "a", FIRST.plus(k), 99, true);
    }
    next.reporter.on_lease_held(2, at(25_000));
    next.run(&mut world, &fleet, 28_000);
    assert_eq!(world.count(FIRST.plus(4)), Some(99));
}

/// Replaces holders at any step, with writes that arrive late, lost responses and outages: no window may be reported with
/// two counts, out of order, or not at all.
#[test]
fn any_order_of_failures_gives_one_report_for_each_window() {
    const WINDOWS: u64 = 12;
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let fleet = members(&["a", "b", "c"]);
        let mut world = World::default();
        let mut holders = [Holder::new(), Holder::new(), Holder::new()];
        let (mut current, mut fence) = (0, 1);
        let mut late_writes: Vec<(Option<Version>, UsageRecord)> = Vec::new();
        let mut ms = 0;
        while world.count(FIRST.plus(WINDOWS - 1)).is_none() {
            ms += 50;
            assert!(
                ms < 400_000,
                "seed {seed}: stuck at {:?}",
                world.accepted.keys().next_back()
            );
            let is_calm = ms > 200_000;
            if !is_calm && rng.random_bool(0.01) {
                current = rng.random_range(0..holders.len());
                fence += 1;
            }
            if !is_calm && rng.random_bool(0.1) && !late_writes.is_empty() {
                let (expected, record) = late_writes.swap_remove(0);
                world.write(expected, &record);
            }
            let window = FIRST.plus((ms / 5_000).min(WINDOWS));
            let from = ["a", "b", "c"][rng.random_range(0..3)];
            let known = FIRST.plus(rng.random_range(0..WINDOWS));
            let holder = &mut holders[current];
            if known < window {
                send(holder, from, known, rng.random_range(1..4), rng.random_bool(0.5));
            }
            holder.reporter.on_lease_held(fence, at(ms));
            let is_lost = !is_calm && rng.random_bool(0.4);
            match holder.step(&fleet, ms) {
                ReportStep::Wait => {}
                ReportStep::Read if is_lost => holder.reporter.on_failure(at(ms)),
                ReportStep::Read => holder.read(&world),
                ReportStep::Record { record, expected, .. } => {
                    let outcome = match rng.random_range(0..3) {
                        0 if is_lost => WriteOutcome::NotWritten,
                        1 if is_lost => {
                            late_writes.push((expected, record.clone()));
                            WriteOutcome::Unknown
                        }
                        2 if is_lost => {
                            world.write(expected, &record);
                            WriteOutcome::Unknown
                        }
                        _ => world.write(expected, &record),
                    };
                    holder.on_written(record, outcome, ms);
                }
                ReportStep::Send(record) => {
                    if !is_lost || rng.random_bool(0.5) {
                        world.accept(&record);
                    }
                    if is_lost {
                        holder.reporter.on_failure(at(ms));
                    } else {
                        holder.reporter.on_accepted(record.window);
                    }
                }
            }
        }
        let first = world.accepted.keys().next().expect("a report").0;
        let windows: Vec<_> = world.accepted.keys().map(|w| w.0).collect();
        let expected: Vec<_> = (first..FIRST.0 + WINDOWS).collect();
        assert_eq!(windows, expected, "seed {seed}");
    }
}

/// A frozen holder that resumes would act after the next one, and one that gets the lease back at once would make the order A, B, A.
#[test]
fn a_holder_acts_only_while_it_holds_the_lease_and_not_right_after_another() {
    let [a, b]: [Arc<str>; 2] = ["a".into(), "b".into()];
    let period = Duration::from_secs(1);
    let mut lease = [FailoverLease::default(), FailoverLease::default()];
    let acquire = |lease: &mut FailoverLease, id: &Arc<str>, version, ms| {
        let record = lease.due_write(id, Incarnation(1), 0, period, LeaseTerms::default(), at(ms));
        let record = record.expect("a due write");
        lease.on_written(Version(version), record.clone(), at(ms), at(ms));
        (Version(version), record)
    };
    let acts = |lease: &FailoverLease, id: &str, ms| {
        lease.held_fence_in_turn(id, Incarnation(1), SETTINGS.lease, at(ms))
    };
    lease[0].on_read(None, at(0));
    let first = acquire(&mut lease[0], &a, 1, 0);
    assert_eq!(
        acts(&lease[0], "a", 1_000),
        None,
        "what a restored store has forgotten may still act"
    );
    let renewed = acquire(&mut lease[0], &a, 2, 3_000);
    assert_eq!(renewed.1.fence, first.1.fence);
    assert_eq!(acts(&lease[0], "a", 5_400), Some(1));
    assert_eq!(acts(&lease[0], "a", 5_500), None, "frozen since the renewal");
    // The lease expires and b takes it: a cannot have acted for a second.
    lease[1].on_read(Some(renewed), at(3_000));
    let (version, mut taken) = acquire(&mut lease[1], &b, 3, 6_500);
    assert_eq!(acts(&lease[1], "b", 6_500), Some(2));
    assert_eq!(acts(&lease[0], "a", 6_500), None);
    // b releases it, and a acquires it at once.
    taken.released = true;
    lease[0].on_read(Some((Version(version.0 + 1), taken)), at(7_000));
    acquire(&mut lease[0], &a, 5, 7_000);
    assert_eq!(acts(&lease[0], "a", 8_900), None, "b has acted just before");
    acquire(&mut lease[0], &a, 6, 9_500);
    assert_eq!(acts(&lease[0], "a", 10_500), Some(3));
}

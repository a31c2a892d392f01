//! Guards against reads that miss the session's own writes or return data older than the route allows. Simulated slots
//! replicate with random lag and are promoted at random; read plans and position samples come from the crate.

use cranelift_entity::EntityRef;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use wasabiyard_model::{LogPoint, LogPosition, Slot, Term, TermHistory, Time};
use wasabiyard_session::{PositionSample, PositionSamples, ReadAttempt, ReadCandidate, ReadPlan};

const SLOTS: usize = 5;
const MAJORITY: usize = 3;
const MAX_AGE: Duration = Duration::from_millis(400);

#[derive(Clone, Default)]
struct FakeSlot {
    history: TermHistory,
    /// Unique numbers of the applied records. The assertions use them to see what the slot really contains.
    log: Vec<u64>,
    fenced_term: u64,
    partitioned: bool,
    /// Whether the slot considers itself the primary, rightly or not.
    considers_itself_primary: bool,
}

impl FakeSlot {
    fn end(&self) -> LogPosition {
        LogPosition(self.log.len() as u64)
    }
}

/// A replication group whose primary acknowledges a write once a majority of the slots holds it.
struct FakeGroup {
    slots: Vec<FakeSlot>,
    primary: usize,
    term: u64,
    next_record: u64,
    rng: Pcg64Mcg,
}

/// An acknowledged write.
#[derive(Clone, Copy)]
struct AcknowledgedWrite {
    point: LogPoint,
    record: u64,
}

impl FakeGroup {
    fn new(seed: u64) -> Self {
        let mut slot = FakeSlot::default();
        slot.history.push(Term(1), LogPosition(0));
        let mut slots = vec![slot; SLOTS];
        slots[0].considers_itself_primary = true;
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self {
            slots,
            primary: 0,
            term: 1,
            next_record: 1,
            rng,
        }
    }

    /// Commits one record, replicates it to a majority and returns it. Partitioned slots append a record of their own,
    /// which must never be mistaken for an acknowledged one.
    fn write(&mut self) -> Option<AcknowledgedWrite> {
        for i in 0..SLOTS {
            if i == self.primary || self.slots[i].partitioned {
                self.next_record += 1;
                self.slots[i].log.push(self.next_record);
            }
        }
        let record = *self.slots[self.primary].log.last()?;
        if self.slots[self.primary].partitioned {
            return None;
        }
        let mut followers: Vec<_> = (0..SLOTS)
            .filter(|&i| i != self.primary && !self.slots[i].partitioned)
            .collect();
        followers.shuffle(&mut self.rng);
        followers
            .into_iter()
            .take(MAJORITY - 1)
            .for_each(|i| self.copy_log(i));
        let point = LogPoint::new(self.term, self.slots[self.primary].log.len() as u64);
        Some(AcknowledgedWrite { point, record })
    }

    fn copy_log(&mut self, to: usize) {
        let from = self.slots[self.primary].clone();
        self.slots[to].history = from.history;
        self.slots[to].log = from.log;
        self.slots[to].considers_itself_primary = false;
    }

    fn replicate(&mut self) {
        let to = self.rng.random_range(0..SLOTS);
        if to != self.primary && !self.slots[to].partitioned && !self.slots[self.primary].partitioned {
            self.copy_log(to);
        }
    }

    /// Partitions the primary and promotes the most advanced of the other slots.
    fn fail_over(&mut self) {
        let old = self.primary;
        self.slots.iter_mut().for_each(|s| s.partitioned = false);
        self.slots[old].partitioned = true;
        let next = (0..SLOTS)
            .filter(|&i| i != old)
            .max_by_key(|&i| (self.slots[i].history.last_term(), self.slots[i].log.len()))
            .unwrap();
        self.term += 1;
        let term = self.term;
        (0..SLOTS)
            .filter(|&i| i != old)
            .for_each(|i| self.slots[i].fenced_term = term);
        let base = LogPosition(self.slots[next].log.len() as u64);
        self.slots[next].history.push(Term(term), base);
        self.slots[next].considers_itself_primary = true;
        self.primary = next;
    }

    /// The candidates as the home knows them. It does not know about half of the applied points.
    fn candidates(&mut self) -> Vec<ReadCandidate> {
        let mut candidates = Vec::new();
        for (i, s) in self.slots.iter().enumerate() {
            let term = s.history.last_term().unwrap();
            let applied = LogPoint {
                term,
                position: s.end(),
            };
            candidates.push(ReadCandidate {
                slot: Slot::new(i),
                primary: i == self.primary,
                in_service: true,
                applied: if self.rng.random() {
                    applied
                } else {
                    LogPoint::default()
                },
                free_connections: 4,
            });
        }
        candidates
    }

    fn slot_if_proved(&self, slot: Slot, point: LogPoint) -> Option<usize> {
        let s = &self.slots[slot.index()];
        s.history.holds(point, s.end()).then_some(slot.index())
    }

    /// The first slot of the plan that proves the point and so serves the read. `believed_primary` may be a deposed
    /// primary, whose proof then has to fail.
    fn read(&mut self, point: Option<LogPoint>, believed_primary: usize) -> Option<usize> {
        let mut candidates = self.candidates();
        candidates
            .iter_mut()
            .enumerate()
            .for_each(|(i, candidate)| candidate.primary = i == believed_primary);
        let deadline = Time::from_millis(100);
        let plan = ReadPlan::new(&candidates, point, deadline, Time::ZERO, &mut self.rng);
        plan.attempts().iter().find_map(|step| match *step {
            ReadAttempt::Replica { slot, point, .. } => self.slot_if_proved(slot, point),
            ReadAttempt::Primary { slot, point } => self.slot_if_proved(slot, point.unwrap_or_default()),
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(42), ..ProptestConfig::default() })]

    /// Guards against a read that misses an acknowledged write of its session after a promotion.
    #[test]
    fn session_reads_its_own_writes(seed: u64, steps in prop::collection::vec(0_u8..10, 1..120)) {
        let mut group = FakeGroup::new(seed);
        let mut written: Vec<AcknowledgedWrite> = Vec::new();
        let mut believed_primary = group.primary;
        for step in steps {
            match step {
                0 => group.fail_over(),
                1 => believed_primary = group.primary,
                2 | 3 => written.extend(group.write()),
                4..=6 => group.replicate(),
                _ => {
                    let seen = written.iter().map(|w| w.point).max();
                    let Some(slot) = group.read(seen, believed_primary) else { continue };
                    let log = &group.slots[slot].log;
                    for w in &written {
                        prop_assert!(log.contains(&w.record), "slot {slot} misses the write at {:?}", w.point);
                    }
                }
            }
        }
    }

    /// Guards against data older than the staleness bound, also when a deposed primary answers the sample requests.
    #[test]
    fn staleness_bound_holds(seed: u64, steps in prop::collection::vec(0_u8..10, 1..200)) {
        let mut group = FakeGroup::new(seed);
        let mut samples = PositionSamples::default();
        let mut acknowledged: Vec<(Time, AcknowledgedWrite)> = Vec::new();
        let mut sampled_slot = 0;
        for (i, step) in steps.into_iter().enumerate() {
            let now = Time::from_millis(40 * i as u64);
            match step {
                // The home discovers the new primary only some time after the promotion.
                0 => group.fail_over(),
                1 => sampled_slot = group.primary,
                2..=4 => acknowledged.extend(group.write().map(|p| (now, p))),
                5 | 6 => group.replicate(),
                7 if group.slots[sampled_slot].considers_itself_primary => {
                    let s = &group.slots[sampled_slot];
                    let term = s.history.last_term().unwrap();
                    let record_term = s.history.term_at(s.end()).unwrap_or_default();
                    let point = LogPoint { term: record_term, position: s.end() };
                    let sample = PositionSample { requested_at: now, point };
                    let not_fenced = group.slots.iter().filter(|s| s.fenced_term <= term.0).count();
                    samples.add_if_confirmed(sample, not_fenced, SLOTS);
                }
                _ => {
                    let Some(point) = samples.minimum_point(MAX_AGE, now) else { continue };
                    let holders = group.slots.iter().filter(|s| s.history.holds(point, s.end()));
                    let oldest_allowed = now - MAX_AGE;
                    let old: Vec<_> = acknowledged.iter().filter(|(t, _)| *t < oldest_allowed).map(|(_, w)| w.record).collect();
                    for slot in holders {
                        let missing = old.iter().find(|r| !slot.log.contains(r));
                        prop_assert!(missing.is_none(), "a slot misses a write older than {MAX_AGE:?}");
                    }
                }
            }
        }
    }
}

/// Guards against a plan that leaves no time for the primary after slow replicas.
#[test]
fn replicas_leave_half_of_the_time_to_the_primary() {
    let mut group = FakeGroup::new(7);
    let candidates = group.candidates();
    let deadline = Time::from_millis(20);
    let plan = ReadPlan::new(
        &candidates,
        Some(LogPoint::new(1, 9)),
        deadline,
        Time::ZERO,
        &mut group.rng,
    );
    let waited: Duration = plan
        .attempts()
        .iter()
        .map(|s| match s {
            ReadAttempt::Replica { wait, .. } => *wait,
            ReadAttempt::Primary { .. } => Duration::ZERO,
        })
        .sum();
    assert!(
        waited <= Duration::from_millis(10),
        "the plan lets replicas take {waited:?} of 20 ms"
    );
    assert!(matches!(
        plan.attempts().last(),
        Some(ReadAttempt::Primary { .. })
    ));
}

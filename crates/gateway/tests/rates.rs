//! The fleet as a whole keeps to an organisation's rate, and serves what is within it.

use std::sync::Arc;
use std::time::Duration;
use wasabiyard_gateway::OrganisationRule;
use wasabiyard_gateway::rate::{RateBook, RateDecision, RateKeeper, RateWish, keeper_of};
use wasabiyard_model::{InstanceId, PriorityClass, Time};

const ORGANISATION: &str = "zoo";
const START: Time = Time::from_millis(60_000);
const WISH: RateWish = RateWish {
    class: PriorityClass::Critical,
    patience: Duration::ZERO,
};
const STEP: Duration = Duration::from_millis(10);

/// Books of a fleet whose datagrams are exchanged at once, unless a link is cut.
struct Fleet {
    ids: Vec<InstanceId>,
    books: Vec<RateBook>,
    cut: Vec<usize>,
    owed: Vec<f64>,
    now: Time,
}

impl Fleet {
    fn new(size: usize, rate: f64, burst: f64) -> Self {
        let ids: Vec<_> = (0..size).map(|i| InstanceId::from(&*format!("i{i}"))).collect();
        let rule = Arc::new(OrganisationRule {
            name: ORGANISATION.into(),
            rate,
            burst,
        });
        let books = ids.iter().map(|id| {
            let mut book = RateBook::new(id.clone(), 10.0);
            book.configure(std::iter::once(&rule), &ids, START);
            book
        });
        Self {
            books: books.collect(),
            cut: Vec::new(),
            // Callers of different instances do not come at the same moment.
            owed: (0..size).map(|i| (i as f64 * 0.618).fract()).collect(),
            now: START,
            ids,
        }
    }

    fn keeper(&self) -> usize {
        let keeper = keeper_of(ORGANISATION, self.ids.iter()).expect("a fleet");
        self.ids.iter().position(|id| id == keeper).expect("a member")
    }

    fn operation(&mut self, at: usize) -> bool {
        let decision = match self.books[at].keeper(ORGANISATION, self.now) {
            None => self.books[at].decide(ORGANISATION, WISH, self.now),
            Some(keeper) => {
                let keeper = self.ids.iter().position(|id| *id == keeper).expect("a member");
                if self.cut.contains(&at) || self.cut.contains(&keeper) {
                    self.books[at].on_no_answer(ORGANISATION, self.now);
                    self.books[at].decide(ORGANISATION, WISH, self.now)
                } else {
                    let from = self.ids[at].clone();
                    let answer = self.books[keeper]
                        .on_ask(ORGANISATION, &from, WISH, self.now)
                        .expect("the keeper");
                    self.books[at].on_answer(ORGANISATION, answer.reserve, self.now);
                    answer.decision
                }
            }
        };
        matches!(decision, RateDecision::After(_))
    }

    /// Runs for a time, with so many operations a second at each instance. Returns those let through in each step.
    fn run<F>(&mut self, time: Duration, offered: F) -> Vec<u32>
    where
        F: Fn(usize) -> f64,
    {
        let steps = time.as_millis() / STEP.as_millis();
        let mut passed = Vec::new();
        for _ in 0..steps {
            self.now = self.now + STEP;
            let mut count = 0;
            for at in 0..self.ids.len() {
                self.owed[at] += offered(at) * STEP.as_secs_f64();
                while self.owed[at] >= 1.0 {
                    self.owed[at] -= 1.0;
                    count += u32::from(self.operation(at));
                }
            }
            passed.push(count);
        }
        passed
    }
}

fn most_in_5_s(passed: &[u32]) -> u32 {
    passed.windows(500).map(|w| w.iter().sum()).max().unwrap_or(0)
}

fn bound(rate: f64, burst: f64) -> f64 {
    (rate * 5.0 + burst) * 1.1 + 20.0
}

#[test]
fn an_organisation_above_its_rate_is_held_to_it() {
    let mut fleet = Fleet::new(7, 100.0, 100.0);
    let mut passed = Vec::new();
    for busy in 0..7 {
        // The load moves to another instance every two seconds.
        passed.extend(fleet.run(Duration::from_secs(2), |i| if i == busy { 600.0 } else { 20.0 }));
    }
    let most = most_in_5_s(&passed);
    assert!(f64::from(most) <= bound(100.0, 100.0), "{most} in 5 s");
}

/// In a large fleet each instance sees an operation of one organisation only every few seconds; none of these may be
/// refused while the whole is within the rate.
#[test]
fn sparse_operations_within_the_rate_are_all_served() {
    let mut fleet = Fleet::new(87, 22.0, 22.0);
    fleet.run(Duration::from_secs(5), |_| 0.16);
    let passed = fleet.run(Duration::from_secs(20), |i| if i % 2 == 0 { 0.30 } else { 0.02 });
    let served: u32 = passed.iter().sum();
    let offered = 20.0 * (44.0 * 0.30 + 43.0 * 0.02);
    assert!(f64::from(served) >= offered - 87.0 * 0.5, "{served} of {offered}");
}

/// Instances that are cut off from the keeper go on within their reserve, and the whole keeps to the rate.
#[test]
fn instances_without_a_keeper_are_served_within_the_rate() {
    let mut fleet = Fleet::new(7, 100.0, 100.0);
    let keeper = fleet.keeper();
    let cut: Vec<_> = (0..7).filter(|i| *i != keeper).take(2).collect();
    fleet.run(Duration::from_secs(10), |_| 40.0);
    fleet.cut = cut;
    let passed = fleet.run(Duration::from_secs(6), |_| 40.0);
    let most = most_in_5_s(&passed);
    assert!(f64::from(most) <= bound(100.0, 100.0), "{most} in 5 s");
    let served: u32 = passed[200..].iter().sum();
    assert!(served >= 300, "{served} in 4 s at 100 a second");
}

/// A keeper that crashes must not stop its organisations.
#[test]
fn a_crash_of_the_keeper_leaves_each_instance_its_reserve() {
    let mut fleet = Fleet::new(7, 160.0, 160.0);
    fleet.run(Duration::from_secs(10), |_| 14.0);
    let keeper = fleet.keeper();
    fleet.cut = vec![keeper];
    let passed = fleet.run(Duration::from_secs(5), |i| if i == keeper { 0.0 } else { 14.0 });
    let served: u32 = passed.iter().sum();
    let offered = 5.0 * 6.0 * 14.0;
    assert!(f64::from(served) >= offered * 0.9, "{served} of {offered}");
}

/// All instances must agree on the keeper, and a change of the fleet must not move all organisations.
#[test]
fn a_change_of_the_fleet_moves_few_keepers() {
    let ids: Vec<_> = (0..20).map(|i| InstanceId::from(&*format!("i{i}"))).collect();
    let mut reversed = ids.clone();
    reversed.reverse();
    let mut moved = 0;
    for n in 0..200 {
        let organisation = format!("org{n}");
        let keeper = keeper_of(&organisation, ids.iter());
        assert_eq!(keeper, keeper_of(&organisation, reversed.iter()));
        moved += u32::from(keeper != keeper_of(&organisation, ids[1..].iter()));
    }
    assert!(moved <= 30, "{moved} of 200 moved when 1 of 20 left");
}

/// An organisation at its limit: the urgent operations are few and must not be refused for those that can wait.
#[test]
fn urgent_operations_come_first_at_the_limit() {
    let mut keeper = RateKeeper::open(100.0, 100.0, START);
    let asker = InstanceId::from("i1");
    let mut refused = [0; 2];
    for step in 0..2_000_u64 {
        let now = START + Duration::from_millis(step * 5);
        // 200 operations a second against 100, every tenth of them urgent.
        let urgent = step % 10 == 0;
        let class = if urgent {
            PriorityClass::Critical
        } else {
            PriorityClass::Normal
        };
        let wish = RateWish {
            class,
            patience: Duration::from_millis(50),
        };
        if let RateDecision::Refused { .. } = keeper.ask(&asker, wish, now).decision {
            refused[usize::from(urgent)] += 1;
        }
    }
    assert!(refused[1] <= 2, "{} of 200 urgent operations refused", refused[1]);
    assert!(refused[0] >= 700, "{} of 1,800 others refused", refused[0]);
}

/// When all instances start anew, callers come back at once; the first of them must not all be refused.
#[test]
fn first_operations_after_a_start_are_served() {
    let mut fleet = Fleet::new(7, 100.0, 100.0);
    let passed = fleet.run(Duration::from_millis(200), |_| 14.0);
    let served: u32 = passed.iter().sum();
    let offered = 0.2 * 7.0 * 14.0;
    assert!(f64::from(served) >= offered * 0.8, "{served} of {offered}");
}

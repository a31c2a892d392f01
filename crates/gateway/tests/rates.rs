//! Tests of distributed rate limiting: the fleet as a whole enforces an organisation's rate, and admits what is within
//! it.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_gateway::OrganisationRule;
use wasabiyard_gateway::rate::{
    RateCoordinator, RateDecision, RateLimiterState, TokenRequest, coordinator_of,
};
use wasabiyard_model::{InstanceId, PriorityClass, Time};

const ORGANISATION: &str = "zoo";
const START: Time = Time::from_millis(60_000);
const REQUEST: TokenRequest = TokenRequest {
    class: PriorityClass::CRITICAL,
    max_wait: Duration::ZERO,
};
const STEP: Duration = Duration::from_millis(10);

/// Rate limiters of a fleet whose messages arrive at once, unless an instance is cut off.
struct Fleet {
    ids: Vec<InstanceId>,
    limiters: Vec<RateLimiterState>,
    isolated: Vec<usize>,
    /// Operations that are due at each instance; a fraction of one carries over to the next step.
    due: Vec<f64>,
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
        let limiters = ids.iter().map(|id| {
            let mut limiter = RateLimiterState::new(id.clone(), 10.0);
            limiter.configure(std::iter::once(&rule), &ids, START);
            limiter
        });
        Self {
            limiters: limiters.collect(),
            isolated: Vec::new(),
            // Staggers the operations: callers of different instances do not arrive at the same moment.
            due: (0..size).map(|i| (i as f64 * 0.618).fract()).collect(),
            now: START,
            ids,
        }
    }

    fn coordinator(&self) -> usize {
        let coordinator = coordinator_of(ORGANISATION, self.ids.iter()).expect("a fleet");
        self.ids
            .iter()
            .position(|id| id == coordinator)
            .expect("a member")
    }

    fn run_operation(&mut self, at: usize) -> bool {
        let decision = match self.limiters[at].coordinator(ORGANISATION, self.now) {
            None => self.limiters[at].decide(ORGANISATION, REQUEST, self.now),
            Some(coordinator) => {
                let coordinator = self
                    .ids
                    .iter()
                    .position(|id| *id == coordinator)
                    .expect("a member");
                if self.isolated.contains(&at) || self.isolated.contains(&coordinator) {
                    self.limiters[at].on_timeout(ORGANISATION, self.now);
                    self.limiters[at].decide(ORGANISATION, REQUEST, self.now)
                } else {
                    let from = self.ids[at].clone();
                    let response = self.limiters[coordinator]
                        .on_request(ORGANISATION, &from, REQUEST, self.now)
                        .expect("the coordinator");
                    self.limiters[at].on_response(ORGANISATION, response.reserved_rate, self.now);
                    response.decision
                }
            }
        };
        matches!(decision, RateDecision::GrantedAfter(_))
    }

    /// Runs for `time` with `offered` operations a second at each instance. Returns the operations admitted in each
    /// step.
    fn run<F>(&mut self, time: Duration, offered: F) -> Vec<u32>
    where
        F: Fn(usize) -> f64,
    {
        let steps = time.as_millis() / STEP.as_millis();
        let mut admitted = Vec::new();
        for _ in 0..steps {
            self.now = self.now + STEP;
            let mut count = 0;
            for at in 0..self.ids.len() {
                self.due[at] += offered(at) * STEP.as_secs_f64();
                while self.due[at] >= 1.0 {
                    self.due[at] -= 1.0;
                    count += u32::from(self.run_operation(at));
                }
            }
            admitted.push(count);
        }
        admitted
    }
}

fn max_in_5_s(admitted: &[u32]) -> u32 {
    admitted.windows(500).map(|w| w.iter().sum()).max().unwrap_or(0)
}

fn allowed_in_5_s(rate: f64, burst: f64) -> f64 {
    (rate * 5.0 + burst) * 1.1 + 20.0
}

#[test]
fn an_organisation_above_its_rate_is_held_to_it() {
    let mut fleet = Fleet::new(7, 100.0, 100.0);
    let mut admitted = Vec::new();
    for busy in 0..7 {
        // The load moves to another instance every two seconds.
        admitted.extend(fleet.run(Duration::from_secs(2), |i| if i == busy { 600.0 } else { 20.0 }));
    }
    let max_admitted = max_in_5_s(&admitted);
    assert!(
        f64::from(max_admitted) <= allowed_in_5_s(100.0, 100.0),
        "{max_admitted} in 5 s"
    );
}

/// In a large fleet each instance sees an operation of an organisation only every few seconds. None of them may be
/// refused while the sum is within the rate.
#[test]
fn sparse_operations_within_the_rate_are_all_served() {
    let mut fleet = Fleet::new(87, 22.0, 22.0);
    fleet.run(Duration::from_secs(5), |_| 0.16);
    let admitted = fleet.run(Duration::from_secs(20), |i| if i % 2 == 0 { 0.30 } else { 0.02 });
    let served: u32 = admitted.iter().sum();
    let offered = 20.0 * (44.0 * 0.30 + 43.0 * 0.02);
    assert!(f64::from(served) >= offered - 87.0 * 0.5, "{served} of {offered}");
}

/// Instances that are cut off from the coordinator go on with their reserved rate, and the sum stays within the rate.
#[test]
fn instances_without_a_coordinator_are_served_within_the_rate() {
    let mut fleet = Fleet::new(7, 100.0, 100.0);
    let coordinator = fleet.coordinator();
    let isolated: Vec<_> = (0..7).filter(|i| *i != coordinator).take(2).collect();
    fleet.run(Duration::from_secs(10), |_| 40.0);
    fleet.isolated = isolated;
    let admitted = fleet.run(Duration::from_secs(6), |_| 40.0);
    let max_admitted = max_in_5_s(&admitted);
    assert!(
        f64::from(max_admitted) <= allowed_in_5_s(100.0, 100.0),
        "{max_admitted} in 5 s"
    );
    let served: u32 = admitted[200..].iter().sum();
    assert!(served >= 300, "{served} in 4 s at 100 a second");
}

/// A coordinator that crashes must not stop its organisations.
#[test]
fn a_crash_of_the_coordinator_leaves_each_instance_its_reserved_rate() {
    let mut fleet = Fleet::new(7, 160.0, 160.0);
    fleet.run(Duration::from_secs(10), |_| 14.0);
    let coordinator = fleet.coordinator();
    fleet.isolated = vec![coordinator];
    let admitted = fleet.run(
        Duration::from_secs(5),
        |i| if i == coordinator { 0.0 } else { 14.0 },
    );
    let served: u32 = admitted.iter().sum();
    let offered = 5.0 * 6.0 * 14.0;
    assert!(f64::from(served) >= offered * 0.9, "{served} of {offered}");
}

/// Load pattern: callers leave the instances one after the other, because these lose sight of the store, while the others
/// keep their demand, then raise it. What was reserved for instances that have fallen silent must not be so much that
/// the others are refused inside the rate.
#[test]
fn instances_that_fall_silent_leave_enough_for_the_others() {
    let mut fleet = Fleet::new(7, 100.0, 0.0);
    let coordinator = fleet.coordinator();
    let others: Vec<_> = (0..7).filter(|i| *i != coordinator).collect();
    fleet.run(Duration::from_secs(10), |_| 9.0);
    for silent in 1..=5 {
        let leaving = others[..silent].to_vec();
        fleet.run(Duration::from_millis(400), |i| {
            if leaving.contains(&i) { 0.0 } else { 9.0 }
        });
    }
    let silent = others[..5].to_vec();
    fleet.run(Duration::from_millis(1_500), |i| {
        if silent.contains(&i) { 0.0 } else { 9.0 }
    });
    let admitted = fleet.run(Duration::from_secs(2), |i| {
        if silent.contains(&i) { 0.0 } else { 17.0 }
    });
    let served: u32 = admitted.iter().sum();
    let offered = 2.0 * 2.0 * 17.0;
    assert!(f64::from(served) >= offered * 0.95, "{served} of {offered}");
}

/// All instances must agree on the coordinator, and a change of the fleet must move few organisations.
#[test]
fn a_change_of_the_fleet_moves_few_coordinators() {
    let ids: Vec<_> = (0..20).map(|i| InstanceId::from(&*format!("i{i}"))).collect();
    let mut reversed = ids.clone();
    reversed.reverse();
    let mut moved = 0;
    for n in 0..200 {
        let organisation = format!("org{n}");
        let coordinator = coordinator_of(&organisation, ids.iter());
        assert_eq!(coordinator, coordinator_of(&organisation, reversed.iter()));
        moved += u32::from(coordinator != coordinator_of(&organisation, ids[1..].iter()));
    }
    assert!(moved <= 30, "{moved} of 200 moved when 1 of 20 left");
}

/// When an organisation is at its limit, its few urgent operations must not be refused in favour of those that can
/// wait.
#[test]
fn urgent_operations_come_first_at_the_limit() {
    let mut coordinator = RateCoordinator::open(100.0, 100.0, START);
    let requester = InstanceId::from("i1");
    let mut refused = [0; 2];
    for step in 0..2_000_u64 {
        let now = START + Duration::from_millis(step * 5);
        // 200 operations a second against 100, every tenth of them urgent.
        let urgent = step % 10 == 0;
        let class = if urgent {
            PriorityClass::CRITICAL
        } else {
            PriorityClass::NORMAL
        };
        let request = TokenRequest {
            class,
            max_wait: Duration::from_millis(50),
        };
        if let RateDecision::Refused { .. } = coordinator.request_token(&requester, request, now).decision {
            refused[usize::from(urgent)] += 1;
        }
    }
    assert!(refused[1] <= 2, "{} of 200 urgent operations refused", refused[1]);
    assert!(refused[0] >= 700, "{} of 1,800 others refused", refused[0]);
}

/// An organisation at its limit must lose the operations of its least urgent routes first, also where there are more
/// classes than three.
#[test]
fn each_rank_leaves_tokens_for_the_more_urgent_ones() {
    let mut coordinator = RateCoordinator::open(100.0, 100.0, START);
    let requester = InstanceId::from("i1");
    let mut refused = [0_u32; 4];
    for step in 0..4_000_u64 {
        let rank = step as usize % refused.len();
        let request = TokenRequest {
            class: PriorityClass::from_rank(rank),
            max_wait: Duration::from_millis(50),
        };
        let now = START + Duration::from_millis(step * 5);
        if let RateDecision::Refused { .. } = coordinator.request_token(&requester, request, now).decision {
            refused[rank] += 1;
        }
    }
    assert!(refused[0] == 0 && refused[1] <= 100, "{refused:?}");
    assert!(refused[2] >= 800 && refused[3] >= 800, "{refused:?}");
}

/// During a rollout an instance of a build with three classes must understand the requests of all others.
#[test]
fn earlier_builds_read_the_class_of_a_request() {
    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    enum EarlierClass {
        Critical,
        Normal,
        Background,
    }
    #[derive(Serialize, Deserialize)]
    struct EarlierRequest {
        class: EarlierClass,
        patience: Duration,
    }
    for (rank, expected) in [
        (0, EarlierClass::Critical),
        (1, EarlierClass::Normal),
        (2, EarlierClass::Background),
        (5, EarlierClass::Background),
    ] {
        let request = TokenRequest {
            class: PriorityClass::from_rank(rank),
            max_wait: Duration::from_millis(50),
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&request, &mut bytes).expect("written");
        let earlier: EarlierRequest = ciborium::from_reader(&*bytes).expect("read by an earlier build");
        assert_eq!((earlier.class, earlier.patience), (expected, request.max_wait));
        let read: TokenRequest = ciborium::from_reader(&*bytes).expect("read");
        assert_eq!(read, request);
    }
    let earlier = EarlierRequest {
        class: EarlierClass::Normal,
        patience: Duration::ZERO,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&earlier, &mut bytes).expect("written");
    let read: TokenRequest = ciborium::from_reader(&*bytes).expect("read from an earlier build");
    assert_eq!(read.class, PriorityClass::NORMAL);
}

/// When all instances restart, callers reconnect at once; the initial tokens must suffice for the first of them.
#[test]
fn first_operations_after_a_start_are_served() {
    let mut fleet = Fleet::new(7, 100.0, 100.0);
    let admitted = fleet.run(Duration::from_millis(200), |_| 14.0);
    let served: u32 = admitted.iter().sum();
    let offered = 0.2 * 7.0 * 14.0;
    assert!(f64::from(served) >= offered * 0.8, "{served} of {offered}");
}

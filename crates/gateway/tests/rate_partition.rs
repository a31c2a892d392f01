//! Rates while a fleet is cut into halves that cannot reach each other: what is within the rate is served on both sides,
//! and both sides together stay within it.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_gateway::OrganisationRule;
use wasabiyard_gateway::rate::{
    CoordinatorLink, RateDecision, RateLimiterState, TokenRequest, coordinator_of, substitute_of,
};
use wasabiyard_model::{Incarnation, InstanceId, PriorityClass, Time};

const ORGANISATION: &str = "zoo";
const RATE: f64 = 60.0;
const BURST: f64 = 60.0;
const START: Time = Time::from_millis(60_000);
const STEP: Duration = Duration::from_millis(10);
const INCARNATION: Incarnation = Incarnation(1);
const REQUEST: TokenRequest = TokenRequest {
    class: PriorityClass::NORMAL,
    max_wait: Duration::from_millis(50),
};

/// Rate limiters of a fleet whose messages arrive at once, unless they cross a cut.
struct Fleet {
    ids: Vec<InstanceId>,
    limiters: Vec<RateLimiterState>,
    /// Side of each instance while the fleet is cut; messages between sides are lost.
    side: Vec<u8>,
    cut: bool,
    now: Time,
    rng: SmallRng,
}

/// Operations offered and admitted in one step.
#[derive(Debug, Clone, Copy, Default)]
struct Step {
    offered: u32,
    admitted: u32,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let ids: Vec<_> = (0..size).map(|i| InstanceId::from(&*format!("i{i}"))).collect();
        let rule = Arc::new(OrganisationRule {
            name: ORGANISATION.into(),
            rate: RATE,
            burst: BURST,
        });
        let limiters = ids.iter().map(|id| {
            let mut limiter = RateLimiterState::new(id.clone(), 10.0);
            limiter.configure(std::iter::once(&rule), &ids, START);
            limiter
        });
        let limiters = limiters.collect();
        let coordinator = coordinator_of(ORGANISATION, ids.iter()).cloned();
        let substitute = substitute_of(ORGANISATION, ids.iter()).cloned();
        // The coordinator and its substitute are on different sides; the others are divided evenly.
        let side = ids.iter().enumerate().map(|(i, id)| match Some(id) {
            id if id == coordinator.as_ref() => 0,
            id if id == substitute.as_ref() => 1,
            _ => (i % 2) as u8,
        });
        Self {
            side: side.collect(),
            ids,
            limiters,
            cut: false,
            now: START,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn index(&self, id: &InstanceId) -> usize {
        self.ids.iter().position(|i| i == id).expect("a member")
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        !self.cut || self.side[a] == self.side[b]
    }

    fn exchange_link_messages(&mut self) {
        for from in 0..self.ids.len() {
            for (to, message) in self.limiters[from].due_link_messages(self.now) {
                let (to, from_id, to_id) = (self.index(&to), self.ids[from].clone(), to);
                if !self.reaches(from, to) {
                    continue;
                }
                let reply =
                    self.limiters[to].on_link_message(&from_id, INCARNATION, message, INCARNATION, self.now);
                let reply = reply.expect("an answer to a message that is no reply");
                let end =
                    self.limiters[from].on_link_message(&to_id, INCARNATION, reply, INCARNATION, self.now);
                assert_eq!(end, None);
            }
        }
    }

    fn ask(&mut self, at: usize, to: &InstanceId) -> Option<(RateDecision, f64)> {
        let to = self.index(to);
        let from = self.ids[at].clone();
        if !self.reaches(at, to) {
            return None;
        }
        let response = self.limiters[to].on_request(ORGANISATION, &from, REQUEST, self.now)?;
        Some((response.decision, response.reserved_rate))
    }

    fn run_operation(&mut self, at: usize) -> bool {
        if let Some(coordinator) = self.limiters[at].coordinator(ORGANISATION, self.now) {
            if let Some((decision, reserved_rate)) = self.ask(at, &coordinator) {
                self.limiters[at].on_response(ORGANISATION, reserved_rate, self.now);
                return matches!(decision, RateDecision::GrantedAfter(_));
            }
            self.limiters[at].on_timeout(ORGANISATION, self.now);
        }
        let local = self.limiters[at].decide(ORGANISATION, REQUEST, self.now);
        let substitute = self.limiters[at].substitute(ORGANISATION, self.now);
        let decision = match (local, substitute) {
            (RateDecision::Refused { .. }, Some(substitute)) => {
                if let Some((decision, _)) = self.ask(at, &substitute) {
                    decision
                } else {
                    self.limiters[at].on_substitute_timeout(ORGANISATION, self.now);
                    local
                }
            }
            _ => local,
        };
        matches!(decision, RateDecision::GrantedAfter(_))
    }

    /// Runs for `time` with `offered` operations a second over the whole fleet, at random instances.
    fn run(&mut self, time: Duration, offered: f64) -> Vec<Step> {
        let mut steps = Vec::new();
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.now = self.now + STEP;
            self.exchange_link_messages();
            let mut step = Step::default();
            let mut due = offered * STEP.as_secs_f64();
            while due > 0.0 {
                if self.rng.random::<f64>() < due {
                    let at = self.rng.random_range(0..self.ids.len());
                    step.offered += 1;
                    step.admitted += u32::from(self.run_operation(at));
                }
                due -= 1.0;
            }
            steps.push(step);
        }
        steps
    }
}

fn refused_fraction(steps: &[Step]) -> f64 {
    let offered: u32 = steps.iter().map(|s| s.offered).sum();
    let admitted: u32 = steps.iter().map(|s| s.admitted).sum();
    1.0 - f64::from(admitted) / f64::from(offered)
}

fn most_in_5_s(steps: &[Step]) -> f64 {
    let admitted = steps
        .windows(500)
        .map(|w| w.iter().map(|s| s.admitted).sum::<u32>());
    f64::from(admitted.max().unwrap_or(0))
}

/// What operators tolerate: a tenth above rate and burst, and 20 operations.
fn allowed_in_5_s() -> f64 {
    (RATE * 5.0 + BURST) * 1.1 + 20.0
}

/// Load pattern: a fleet in halves, each with half of the usual demand of an organisation that stays well inside its
/// rate. Each instance sees so few operations that it has no reservation, and the side without the coordinator was
/// refused nearly all of them for as long as the cut lasted.
#[test]
fn both_halves_of_a_fleet_are_served_within_the_rate() {
    for size in [19, 87, 295] {
        let mut fleet = Fleet::new(size, 7);
        fleet.run(Duration::from_secs(5), RATE / 1.6);
        fleet.cut = true;
        fleet.run(Duration::from_secs(2), RATE / 1.6);
        let steps = fleet.run(Duration::from_secs(6), RATE / 1.6);
        let refused = refused_fraction(&steps);
        assert!(refused < 0.1, "{size} instances: {refused:.3} refused");
    }
}

/// An organisation that sends eight times its rate while the fleet is cut, and while it is joined again, must not get its
/// rate once on each side.
#[test]
fn both_halves_together_stay_within_the_rate() {
    for size in [19, 87, 295] {
        for seed in 0..5 {
            let mut fleet = Fleet::new(size, seed);
            let mut steps = fleet.run(Duration::from_secs(6), RATE * 8.0);
            for _ in 0..3 {
                fleet.cut = true;
                steps.extend(fleet.run(Duration::from_millis(3_500), RATE * 8.0));
                fleet.cut = false;
                steps.extend(fleet.run(Duration::from_millis(2_500), RATE * 8.0));
            }
            let most = most_in_5_s(&steps);
            assert!(
                most <= allowed_in_5_s(),
                "{size} instances, seed {seed}: {most} of {:.0} in 5 s",
                allowed_in_5_s()
            );
        }
    }
}

/// After a pause of all callers, and with hundreds of instances that seldom have an operation, what is inside the rate
/// must not be refused.
#[test]
fn sparse_demand_is_served_after_a_pause() {
    let mut fleet = Fleet::new(295, 3);
    fleet.run(Duration::from_secs(5), RATE / 1.6);
    fleet.run(Duration::from_secs(4), 0.0);
    let steps = fleet.run(Duration::from_secs(10), RATE / 1.6);
    let refused = refused_fraction(&steps);
    assert!(refused < 0.001, "{refused:.4} refused");
}

/// A message from the coordinator that the substitute has not received proves nothing: the coordinator must give up its
/// part before the substitute takes it, also when messages get through in one direction only.
#[test]
fn the_coordinator_gives_up_its_part_before_the_substitute_takes_it() {
    let ms = |ms: u64| START + Duration::from_millis(ms);
    let mut coordinator = CoordinatorLink::open(START);
    let mut substitute = CoordinatorLink::open(START);
    assert!(coordinator.must_give_up_part(START));
    assert!(!substitute.may_stand_in(START));
    substitute.on_message(None, ms(100));
    coordinator.on_message(Some(ms(100)), ms(500));
    assert!(!coordinator.must_give_up_part(ms(1_200)));
    // The substitute's messages still arrive, the coordinator's do not.
    for at in [900, 1_300, 1_700] {
        coordinator.on_message(Some(ms(100)), ms(at));
    }
    assert!(coordinator.must_give_up_part(ms(1_300)));
    assert!(!substitute.may_stand_in(ms(1_690)));
    assert!(substitute.may_stand_in(ms(1_700)));
}

/// A time that the process has not reached belongs to an earlier process under the same id.
#[test]
fn an_echo_from_the_future_confirms_nothing() {
    let mut link = CoordinatorLink::open(START);
    link.on_message(
        Some(START + Duration::from_secs(9)),
        START + Duration::from_secs(1),
    );
    assert!(link.must_give_up_part(START + Duration::from_secs(1)));
}

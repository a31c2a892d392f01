//! The fleet as a whole keeps to an organisation's rate.

use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_gateway::OrganisationRule;
use wasabiyard_gateway::rate::{Demand, PeerDemand, RateBook, RateDecision, ShareInputs, share_of};
use wasabiyard_model::{Incarnation, InstanceId, Time};

fn rule(rate: f64, burst: f64) -> Arc<OrganisationRule> {
    Arc::new(OrganisationRule {
        name: "zoo".into(),
        rate,
        burst,
    })
}

fn heard(demand: f64) -> PeerDemand {
    PeerDemand::Heard {
        incarnation: Incarnation(1),
        demand: Demand(demand),
    }
}

proptest! {
    /// Instances that know the same must not give out more than the whole.
    #[test]
    fn shares_of_a_fleet_sum_to_at_most_one(demands in prop::collection::vec(0.0..500.0_f64, 1..90), rate in 1.0..500.0_f64) {
        let total: f64 = (0..demands.len())
            .map(|own| {
                let peers: Vec<_> = (0..demands.len()).filter(|i| *i != own).map(|i| heard(demands[i])).collect();
                share_of(ShareInputs { own: Demand(demands[own]), peers: &peers, rate })
            })
            .sum();
        prop_assert!(total <= 1.0 + 1e-9, "{total}");
    }
}

/// A registered instance that was never heard may be taking its equal part.
#[test]
fn an_unheard_instance_keeps_an_equal_part() {
    let share = share_of(ShareInputs {
        own: Demand(100.0),
        peers: &[PeerDemand::Unheard, PeerDemand::Unheard, PeerDemand::Unheard],
        rate: 100.0,
    });
    assert!((share - 0.25).abs() < 1e-9, "{share}");
}

fn fleet(size: usize, rule: &Arc<OrganisationRule>, now: Time) -> Vec<RateBook> {
    let ids: Vec<_> = (0..size).map(|i| InstanceId::from(&*format!("i{i}"))).collect();
    (0..size)
        .map(|own| {
            let mut book = RateBook::new(10.0, now);
            let peers = ids.iter().enumerate().filter(|(i, _)| *i != own);
            let peers = peers.map(|(_, id)| (id.clone(), Incarnation(1))).collect();
            book.configure(std::iter::once(rule), peers, now);
            book
        })
        .collect()
}

/// Runs a fleet for some seconds. `offered` gives the operations a second at an instance in a step of 10 ms. Returns the
/// operations let through in each step.
fn run<F>(books: &mut [RateBook], steps: u64, offered: F) -> Vec<u32>
where
    F: Fn(usize, u64) -> f64,
{
    let mut owed = vec![0.0; books.len()];
    let mut passed = Vec::new();
    for step in 0..steps {
        let now = Time::from_millis(1_000 + step * 10);
        let mut count = 0;
        for (i, book) in books.iter_mut().enumerate() {
            owed[i] += offered(i, step) / 100.0;
            while owed[i] >= 1.0 {
                owed[i] -= 1.0;
                if let RateDecision::After(_) = book.take("zoo", Duration::ZERO, now) {
                    count += 1;
                }
            }
        }
        if step % 20 == 19 {
            gossip(books, now);
        }
        passed.push(count);
    }
    passed
}

fn gossip(books: &mut [RateBook], now: Time) {
    let told: Vec<_> = books.iter_mut().map(|b| b.tick(now)).collect();
    for (from, demands) in told.iter().enumerate() {
        let id = InstanceId::from(&*format!("i{from}"));
        for (to, book) in books.iter_mut().enumerate() {
            if to != from {
                book.hear(&id, Incarnation(1), demands);
            }
        }
    }
}

fn most_in_window(passed: &[u32], steps: usize) -> u32 {
    passed.windows(steps).map(|w| w.iter().sum()).max().unwrap_or(0)
}

/// An organisation that sends several times its rate, at instances that change, stays within rate and burst.
#[test]
fn an_organisation_above_its_rate_is_held_to_it() {
    let rule = rule(100.0, 100.0);
    let mut books = fleet(7, &rule, Time::from_millis(1_000));
    let passed = run(&mut books, 2_000, |i, step| {
        // The load moves to another instance every two seconds.
        if (step / 200) as usize % 7 == i { 600.0 } else { 20.0 }
    });
    let most = most_in_window(&passed, 500);
    let bound = (100.0 * 5.0 + 100.0) * 1.1 + 20.0;
    assert!(f64::from(most) <= bound, "{most} in 5 s");
}

/// An organisation within its rate is not refused although its callers are spread unevenly.
#[test]
fn an_organisation_within_its_rate_is_served_on_uneven_instances() {
    let rule = rule(100.0, 100.0);
    let mut books = fleet(7, &rule, Time::from_millis(1_000));
    let offered = [30.0, 15.0, 8.0, 4.0, 2.0, 1.0, 0.5];
    let passed = run(&mut books, 1_500, |i, _| offered[i]);
    let served: u32 = passed[300..].iter().sum();
    let asked = offered.iter().sum::<f64>() * 12.0;
    assert!(f64::from(served) >= asked * 0.999 - 7.0, "{served} of {asked}");
}

/// A process that was started again under the same name has spent nothing; what its predecessor said does not count.
#[test]
fn demand_of_an_earlier_process_is_not_believed() {
    let now = Time::from_millis(1_000);
    let rule = rule(100.0, 10.0);
    let mut book = RateBook::new(0.0, now);
    let peer = InstanceId::from("i1");
    book.configure(std::iter::once(&rule), vec![(peer.clone(), Incarnation(2))], now);
    book.hear(&peer, Incarnation(1), &[("zoo".into(), 1_000.0)]);
    book.tick(now);
    // An equal part of 50 a second gives a token every 20 ms.
    let later = now + Duration::from_millis(25);
    assert_eq!(
        book.take("zoo", Duration::from_millis(20), later),
        RateDecision::After(Duration::ZERO)
    );
}

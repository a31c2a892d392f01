//! Tests of view replication: followers rebuild exactly the views of their relays.

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use wasabiyard_gateway::PrimaryRecord;
use wasabiyard_gateway::view::{
    Follower, ViewAges, ViewCursor, ViewKey, ViewProgress, ViewTable, ViewValue, select_relays,
};
use wasabiyard_model::{Incarnation, InstanceId, Version};
use wasabiyard_platform::{ListedInstance, ListedState};

const AGES: ViewAges = ViewAges {
    configuration: Duration::ZERO,
    records: Duration::ZERO,
    servers: Duration::ZERO,
    domains: Duration::ZERO,
};

fn primary(service: u8, primary: u8) -> (ViewKey, ViewValue) {
    let record = PrimaryRecord::first(format!("server{primary}").into());
    (
        ViewKey::Primary(format!("service{service}").into()),
        ViewValue::Primary(record),
    )
}

fn catch_up(follower: &mut Follower, relay: &InstanceId, table: &ViewTable) {
    for _ in 0..100 {
        let cursor = follower.cursor_for(relay);
        let page = table.page(cursor, AGES, Version(1));
        if let ViewProgress::Complete { .. } = follower.apply(page) {
            return;
        }
    }
    panic!("the view never became complete");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Whatever changes, and however often a follower catches up or changes its relay, a complete view equals the
    /// relay's.
    #[test]
    fn a_complete_view_equals_the_relays(steps in prop::collection::vec((prop::collection::vec((0..60_u8, 0..5_u8), 0..80), any::<bool>(), any::<bool>()), 1..20)) {
        let relays = [InstanceId::from("a"), InstanceId::from("b")];
        let mut tables = [ViewTable::new(11), ViewTable::new(12)];
        let mut follower = Follower::default();
        for (parts, second_relay, catches_up) in steps {
            let parts: BTreeMap<_, _> = parts.into_iter().map(|(s, p)| primary(s, p)).collect();
            for table in &mut tables {
                table.replace(|_| true, parts.clone().into_iter().collect());
            }
            if catches_up {
                let relay = usize::from(second_relay);
                catch_up(&mut follower, &relays[relay], &tables[relay]);
                let seen: BTreeMap<_, _> = follower.parts().map(|(k, v)| (k.clone(), v.clone())).collect();
                prop_assert_eq!(&seen, &parts);
            }
        }
    }
}

/// A restarted relay numbers its changes anew; a follower must not keep parts that were removed in the meantime.
#[test]
fn a_restarted_relay_sends_its_whole_view() {
    let relay = InstanceId::from("a");
    let mut follower = Follower::default();
    let mut old = ViewTable::new(1);
    old.replace(|_| true, vec![primary(1, 1), primary(2, 1)]);
    catch_up(&mut follower, &relay, &old);
    let mut new = ViewTable::new(2);
    new.replace(|_| true, vec![primary(2, 3), primary(4, 1), primary(5, 1)]);
    catch_up(&mut follower, &relay, &new);
    let seen: BTreeMap<_, _> = follower.parts().map(|(k, v)| (k.clone(), v.clone())).collect();
    assert_eq!(
        seen,
        [primary(2, 3), primary(4, 1), primary(5, 1)]
            .into_iter()
            .collect()
    );
}

/// A relay that runs for weeks discards its tombstones. A view of several pages must still become complete for new
/// followers, and followers that were behind must lose the removed parts.
#[test]
fn a_relay_that_has_discarded_tombstones_still_serves_complete_views() {
    let relay = InstanceId::from("a");
    let mut table = ViewTable::new(1);
    let mut behind = Follower::default();
    table.replace(|_| true, vec![primary(1, 1)]);
    catch_up(&mut behind, &relay, &table);
    for round in 0..20 {
        let parts = (0..60).map(|service| primary(2 + (round % 2) * 100 + service, round));
        table.replace(|_| true, parts.collect());
    }
    for generation in 0..600_u16 {
        let key = ViewKey::Server(format!("server{generation}").into());
        table.replace(|k| *k == key, vec![(key.clone(), ViewValue::DomainOut)]);
        table.replace(|k| *k == key, Vec::new());
    }
    let expected: BTreeMap<_, _> = (0..60).map(|service| primary(102 + service, 19)).collect();
    for mut follower in [behind, Follower::default()] {
        catch_up(&mut follower, &relay, &table);
        let seen: BTreeMap<_, _> = follower.parts().map(|(k, v)| (k.clone(), v.clone())).collect();
        assert_eq!(seen, expected);
    }
}

#[test]
fn an_unchanged_view_costs_no_entries() {
    let mut table = ViewTable::new(1);
    table.replace(|_| true, vec![primary(1, 1)]);
    let first = table.page(ViewCursor::default(), AGES, Version(1));
    table.replace(|_| true, vec![primary(1, 1)]);
    let second = table.page(first.cursor, AGES, Version(1));
    assert!(second.entries.is_empty() && second.complete && !second.restart);
}

fn instance(name: &str) -> ListedInstance {
    ListedInstance {
        id: InstanceId::from(name),
        incarnation: Incarnation(1),
        address: "10.0.0.9:7560".to_owned(),
        domain: "riga-a".to_owned(),
        state: ListedState::Live,
    }
}

/// The store counts every call, so a large fleet must not have many relays.
#[test]
fn a_large_fleet_has_at_most_three_relays() {
    let fleet: Vec<_> = (0..87).map(|i| instance(&format!("i{i}"))).collect();
    assert!(select_relays(&fleet, Some("i50")).len() <= 3);
    let mut reversed = fleet.clone();
    reversed.reverse();
    assert_eq!(select_relays(&fleet, None), select_relays(&reversed, None));
}

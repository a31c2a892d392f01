//! Tests of view replication: followers rebuild exactly the views of their relays.

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use wasabiyard_gateway::view::{
    ViewAges, ViewCursor, ViewKey, ViewProgress, ViewScope, ViewTable, ViewValue, domain_rank, fallback_age,
    instances_to_query, max_store_backoff, select_relays,
};
use wasabiyard_gateway::{PrimaryRecord, Regions};
use wasabiyard_model::{Incarnation, InstanceId, Version};
use wasabiyard_platform::{ListedInstance, ListedState};

const AGES: ViewAges = ViewAges {
    configuration: Duration::ZERO,
    records: Duration::ZERO,
    servers: Duration::ZERO,
    domains: Duration::ZERO,
};
const SCOPE: ViewScope = ViewScope::Records;

fn primary_key(service: u8) -> ViewKey {
    ViewKey::Primary(format!("service{service}").into())
}

fn primary(server: u8) -> ViewValue {
    ViewValue::Primary(PrimaryRecord::first(format!("server{server}").into()))
}

/// A store with one kind of objects, which numbers its changes.
#[derive(Debug, Clone, Default)]
struct Store {
    revision: u64,
    objects: BTreeMap<ViewKey, (u64, ViewValue)>,
}

impl Store {
    fn put(&mut self, key: ViewKey, value: ViewValue) {
        self.revision += 1;
        self.objects.insert(key, (self.revision, value));
    }

    fn delete(&mut self, key: &ViewKey) {
        if self.objects.remove(key).is_some() {
            self.revision += 1;
        }
    }

    /// Lists the objects into the view of an instance, as a read of the store does.
    fn list_into(&self, table: &mut ViewTable) {
        let parts = self.objects.iter();
        let parts = parts.map(|(key, (revision, value))| (*revision, key.clone(), value.clone()));
        table.replace(SCOPE, self.revision, parts.collect());
    }

    fn contents(&self) -> BTreeMap<ViewKey, ViewValue> {
        let objects = self.objects.iter();
        objects
            .map(|(key, (_, value))| (key.clone(), value.clone()))
            .collect()
    }
}

fn contents(table: &ViewTable) -> BTreeMap<ViewKey, ViewValue> {
    let parts = table.parts(SCOPE);
    parts
        .map(|(key, _, value)| (key.clone(), value.clone()))
        .collect()
}

/// Requests at most `pages` pages. Returns whether the transfer was completed.
fn request_pages(follower: &mut ViewTable, relay: &InstanceId, table: &ViewTable, pages: usize) -> bool {
    (0..pages).any(|_| {
        let cursor = follower.cursor_for(relay);
        let page = table.page(&cursor, AGES, Version(1));
        matches!(follower.apply(page), ViewProgress::Complete { .. })
    })
}

fn catch_up(follower: &mut ViewTable, relay: &InstanceId, table: &ViewTable) {
    let complete = request_pages(follower, relay, table, 100);
    assert!(complete, "the view never became complete");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Whatever changes, however often a follower catches up, breaks off in the middle, changes its relay or reads the
    /// store itself, a complete view equals the store as the relay or the follower has seen it last.
    #[test]
    fn a_complete_view_equals_the_relays(
        steps in prop::collection::vec(
            (prop::collection::vec((0..60_u8, 0..5_u8, any::<bool>()), 0..80), 0..3_usize, 0..4_usize, 0..2_usize),
            1..30,
        )
    ) {
        let relays = [InstanceId::from("a"), InstanceId::from("b")];
        let mut tables = [ViewTable::new(11), ViewTable::new(12)];
        let mut follower = ViewTable::new(13);
        let mut store = Store::default();
        let mut history = BTreeMap::from([(0, BTreeMap::new())]);
        for (changes, reader, pages, relay) in steps {
            for (service, server, deleted) in changes {
                if deleted {
                    store.delete(&primary_key(service));
                } else {
                    store.put(primary_key(service), primary(server));
                }
            }
            history.insert(store.revision, store.contents());
            match reader {
                2 => store.list_into(&mut follower),
                reader => store.list_into(&mut tables[reader]),
            }
            let before = follower.revision(SCOPE);
            if request_pages(&mut follower, &relays[relay], &tables[relay], pages) {
                prop_assert_eq!(follower.revision(SCOPE), before.max(tables[relay].revision(SCOPE)));
            }
            prop_assert_eq!(&contents(&follower), &history[&follower.revision(SCOPE)]);
        }
    }
}

/// A restarted relay has not seen the parts that were removed before; a follower must not keep them.
#[test]
fn a_restarted_relay_sends_its_whole_view() {
    let relay = InstanceId::from("a");
    let mut store = Store::default();
    store.put(primary_key(1), primary(1));
    store.put(primary_key(2), primary(1));
    let mut old = ViewTable::new(1);
    store.list_into(&mut old);
    let mut follower = ViewTable::new(9);
    catch_up(&mut follower, &relay, &old);
    store.delete(&primary_key(1));
    store.put(primary_key(2), primary(3));
    store.put(primary_key(4), primary(1));
    let mut new = ViewTable::new(2);
    store.list_into(&mut new);
    catch_up(&mut follower, &relay, &new);
    assert_eq!(contents(&follower), store.contents());
}

/// A relay that restarts while it sends its whole view forgets which of the parts that it has sent were removed since.
#[test]
fn a_transfer_does_not_continue_with_a_restarted_relay() {
    let relay = InstanceId::from("a");
    let mut store = Store::default();
    for service in 0..50 {
        store.put(primary_key(service), primary(1));
    }
    let mut old = ViewTable::new(1);
    store.list_into(&mut old);
    let mut follower = ViewTable::new(9);
    assert!(!request_pages(&mut follower, &relay, &old, 1));
    store.delete(&primary_key(0));
    let mut new = ViewTable::new(2);
    store.list_into(&mut new);
    catch_up(&mut follower, &relay, &new);
    assert_eq!(contents(&follower), store.contents());
}

/// Removing many parts at once gives their tombstones one revision, and pages must not lose some of them.
#[test]
fn many_parts_that_were_removed_together_are_all_removed_at_the_follower() {
    let relay = InstanceId::from("a");
    let mut store = Store::default();
    for service in 0..100 {
        store.put(primary_key(service), primary(1));
    }
    let (mut table, mut follower) = (ViewTable::new(1), ViewTable::new(9));
    store.list_into(&mut table);
    catch_up(&mut follower, &relay, &table);
    for service in 0..90 {
        store.delete(&primary_key(service));
    }
    store.list_into(&mut table);
    catch_up(&mut follower, &relay, &table);
    assert_eq!(contents(&follower), store.contents());
}

/// In a fleet of hundreds of instances, a follower that changes its relay must not fetch the whole view again: relays
/// that are slow for a moment would be asked for it by all followers at once.
#[test]
fn another_relay_continues_where_the_first_one_stopped() {
    let relays = [InstanceId::from("a"), InstanceId::from("b")];
    let mut store = Store::default();
    for service in 0..200 {
        store.put(primary_key(service), primary(1));
    }
    let mut tables = [ViewTable::new(1), ViewTable::new(2)];
    let mut follower = ViewTable::new(9);
    for table in &mut tables {
        store.list_into(table);
    }
    catch_up(&mut follower, &relays[0], &tables[0]);
    store.put(primary_key(3), primary(2));
    store.list_into(&mut tables[1]);
    let page = tables[1].page(&follower.cursor_for(&relays[1]), AGES, Version(1));
    assert_eq!(page.entries.len(), 1);
    assert!(page.complete);
}

/// A relay that lags behind has nothing for a follower that has read the store itself. Its older state must not make the
/// follower fetch the whole view.
#[test]
fn a_relay_that_lags_behind_changes_nothing() {
    let relay = InstanceId::from("a");
    let mut store = Store::default();
    let (mut table, mut follower) = (ViewTable::new(1), ViewTable::new(9));
    store.put(primary_key(1), primary(1));
    store.list_into(&mut table);
    store.put(primary_key(2), primary(1));
    store.list_into(&mut follower);
    catch_up(&mut follower, &relay, &table);
    let page = table.page(&follower.cursor_for(&relay), AGES, Version(1));
    assert!(page.entries.is_empty() && page.complete);
    assert_eq!(contents(&follower), store.contents());
}

/// A follower that has caught up serves others as a relay does, including the removal of parts.
#[test]
fn a_follower_serves_its_view_to_others() {
    let (relay, follower) = (InstanceId::from("a"), InstanceId::from("b"));
    let mut store = Store::default();
    store.put(primary_key(1), primary(1));
    store.put(primary_key(2), primary(1));
    let (mut table, mut second, mut third) = (ViewTable::new(1), ViewTable::new(2), ViewTable::new(3));
    store.list_into(&mut table);
    catch_up(&mut second, &relay, &table);
    catch_up(&mut third, &follower, &second);
    store.delete(&primary_key(1));
    store.list_into(&mut table);
    catch_up(&mut second, &relay, &table);
    catch_up(&mut third, &follower, &second);
    assert_eq!(contents(&third), store.contents());
}

/// A relay that runs for weeks discards its tombstones. A view of several pages must still become complete for new
/// followers, and followers that were behind must lose the removed parts.
#[test]
fn a_relay_that_has_discarded_tombstones_still_serves_complete_views() {
    let relay = InstanceId::from("a");
    let mut store = Store::default();
    let mut table = ViewTable::new(1);
    let mut behind = ViewTable::new(8);
    store.put(primary_key(200), primary(1));
    store.list_into(&mut table);
    catch_up(&mut behind, &relay, &table);
    store.delete(&primary_key(200));
    for service in 0..60 {
        store.put(primary_key(service), primary(7));
    }
    store.list_into(&mut table);
    for generation in 0..600_u16 {
        let key = ViewKey::Primary(format!("short-lived{generation}").into());
        store.put(key.clone(), primary(1));
        store.list_into(&mut table);
        store.delete(&key);
        store.list_into(&mut table);
    }
    for mut follower in [behind, ViewTable::new(9)] {
        catch_up(&mut follower, &relay, &table);
        assert_eq!(contents(&follower), store.contents());
    }
}

#[test]
fn an_unchanged_view_costs_no_entries() {
    let mut store = Store::default();
    store.put(primary_key(1), primary(1));
    let mut table = ViewTable::new(1);
    store.list_into(&mut table);
    let first = table.page(&ViewCursor::default(), AGES, Version(1));
    store.list_into(&mut table);
    let second = table.page(&first.cursor, AGES, Version(1));
    assert!(second.entries.is_empty() && second.complete);
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
    assert!(select_relays(&fleet, Some("i50"), &Regions::default()).len() <= 3);
    let mut reversed = fleet.clone();
    reversed.reverse();
    let regions = Regions::default();
    assert_eq!(
        select_relays(&fleet, None, &regions),
        select_relays(&reversed, None, &regions)
    );
}

/// With hundreds of followers, requests to the relays of other failure domains cost more bytes between the domains than
/// all statements, and two relays for all of them are overloaded.
#[test]
fn followers_of_a_large_fleet_ask_the_relay_of_their_failure_domain_first() {
    let fleet: Vec<_> = (0..295)
        .map(|i| ListedInstance {
            domain: format!("riga-{}", i % 6),
            ..instance(&format!("i{i}"))
        })
        .collect();
    let relays = select_relays(&fleet, Some("i50"), &Regions::default());
    assert!(relays.len() <= 7, "{} relays", relays.len());
    for follower in &fleet {
        let asked = instances_to_query(
            follower,
            &fleet,
            Some("i50"),
            &Regions::default(),
            Duration::ZERO,
            follower.incarnation.0,
        );
        let is_relay = relays.iter().any(|r| r.id == follower.id);
        assert!(is_relay || asked[0].domain == follower.domain);
        assert!(asked.iter().all(|m| m.id != follower.id));
    }
}

/// While the store fails, instances of each failure domain must turn to it one after the other, since a store that
/// comes back cannot answer hundreds at once. All must have tried before their keys and leases expire after 4 s.
#[test]
fn instances_turn_to_the_store_one_after_the_other() {
    let fleet: Vec<_> = (0..49).map(|i| instance(&format!("i{i}"))).collect();
    let mut ages: Vec<_> = fleet
        .iter()
        .map(|m| fallback_age(domain_rank(&m.id, &m.domain, &fleet)))
        .collect();
    ages.sort();
    assert!(ages[1] >= ages[0] + Duration::from_millis(100));
    assert!(ages[48] <= Duration::from_millis(3_200));
    let calls_a_second: f64 = (0..49)
        .map(|rank| 6.0 / max_store_backoff(rank, 295).as_secs_f64())
        .sum();
    assert!(
        calls_a_second < 100.0,
        "{calls_a_second} calls a second to a failing store"
    );
}

/// When its relays have nothing new, a follower must find those instances of its failure domain that have read the
/// store meanwhile.
#[test]
fn a_follower_with_an_old_view_asks_the_instances_that_read_the_store() {
    let fleet: Vec<_> = (0..49).map(|i| instance(&format!("i{i}"))).collect();
    let own = &fleet[7];
    let fresh = instances_to_query(own, &fleet, None, &Regions::default(), Duration::ZERO, 3);
    let old = instances_to_query(
        own,
        &fleet,
        None,
        &Regions::default(),
        Duration::from_millis(2_600),
        3,
    );
    assert!(old.len() > fresh.len(), "{} and {}", old.len(), fresh.len());
    assert!(old.len() <= 8, "{}", old.len());
}

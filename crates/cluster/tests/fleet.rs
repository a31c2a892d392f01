//! Simulations of whole fleets. They guard against members that disagree after a fault, versions that spread slowly or
//! revert, instances that keep serving without the newest configuration, and control traffic above its budget.

mod support;

use proptest::prelude::*;
use std::time::Duration;
use support::Fleet;
use wasabiyard_wire::MemberState;

/// Share of messages that the network loses.
const LOSS_RATE: f64 = 0.05;

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// The longest time, over `changes` changes at the platform, until a change is in force on all members.
fn spread_time(members: usize, changes: u64) -> Duration {
    let mut fleet = Fleet::new(members, 7);
    fleet.loss = LOSS_RATE;
    fleet.run(secs(10));
    let mut longest = Duration::ZERO;
    for version in 2..2 + changes {
        fleet.version = version;
        let changed = fleet.now;
        fleet.run(secs(12));
        for node in &fleet.nodes {
            let at = node
                .in_force
                .get(&version)
                .unwrap_or_else(|| panic!("{} misses {version}", node.id));
            longest = longest.max(at.saturating_since(changed));
        }
    }
    longest
}

#[test]
fn version_is_in_force_everywhere_within_11_seconds() {
    for (members, changes) in [(7, 5), (100, 3), (620, 2)] {
        let longest = spread_time(members, changes);
        println!("{members} members, 5 % loss: in force everywhere after {longest:?}");
        assert!(longest <= secs(11), "{members} members took {longest:?}");
    }
}

#[test]
fn control_traffic_stays_under_3_kb_a_second() {
    let mut fleet = Fleet::new(620, 3);
    fleet.loss = LOSS_RATE;
    fleet.run(secs(15));
    let rate = |fleet: &mut Fleet, what: &str, seconds: u64| {
        let before = fleet.total_bytes();
        fleet.run(secs(seconds));
        let rate = (fleet.total_bytes() - before) / (620 * seconds);
        println!("620 members, {what}: {rate} B/s per member");
        assert!(rate < 3_000, "{what}: {rate} B/s");
    };
    rate(&mut fleet, "5 % loss, quiet", 20);
    fleet.version = 2;
    fleet.nodes[17].alive = false;
    rate(&mut fleet, "5 % loss, one change and one crash", 20);
    fleet.platform_up = false;
    rate(&mut fleet, "platform down", 20);
}

#[test]
fn cut_off_instance_refuses_and_platform_outage_stops_nobody() {
    for members in [7, 100, 620] {
        let mut fleet = Fleet::new(members, 5);
        fleet.run(secs(15));
        fleet.platform_up = false;
        for _ in 0..20 {
            fleet.run(secs(1));
            let cut_off = fleet
                .nodes
                .iter()
                .filter(|n| n.cluster.is_cut_off(fleet.now))
                .count();
            assert_eq!(cut_off, 0, "of {members} members in an outage of the platform");
        }
        fleet.platform_up = true;
        fleet.run(secs(10));
        fleet.nodes[1].side = 1;
        fleet.run(secs(5));
        assert!(
            fleet.nodes[1].cluster.is_cut_off(fleet.now),
            "of {members} members"
        );
        fleet.nodes[1].side = 0;
        fleet.run(secs(10));
        assert!(
            fleet.nodes.iter().all(|n| !n.cluster.is_cut_off(fleet.now)),
            "{members} members after healing"
        );
    }
}

#[test]
fn crashes_of_a_minority_in_an_outage_stop_nobody() {
    for (members, crashes) in [(4, 1), (7, 3), (100, 20)] {
        let mut fleet = Fleet::new(members, 29);
        fleet.run(secs(10));
        fleet.platform_up = false;
        fleet.run(secs(10));
        fleet.nodes[..crashes].iter_mut().for_each(|n| n.alive = false);
        for tenth in 1..=150 {
            fleet.run(Duration::from_millis(100));
            let now = fleet.now;
            let cut_off = fleet.nodes[crashes..]
                .iter()
                .filter(|n| n.cluster.is_cut_off(now))
                .count();
            assert_eq!(
                cut_off, 0,
                "{tenth} tenths of a second after {crashes} of {members} crashed"
            );
        }
    }
}

/// Near one half the estimate of reachability is noisy until the dead members are known: in a trial with seed 102,
/// members of the majority of 60 of 100 refused for a moment.
#[test]
fn minority_without_the_platform_refuses() {
    for (members, minority) in [(7, 3), (100, 10), (100, 40)] {
        let mut fleet = Fleet::new(members, 9);
        fleet.run(secs(15));
        for node in &mut fleet.nodes[..minority] {
            node.side = 1;
        }
        let mut last_accepting = 0;
        for tenth in 1..=150 {
            fleet.run(Duration::from_millis(100));
            if fleet.nodes[..minority]
                .iter()
                .any(|n| !n.cluster.is_cut_off(fleet.now))
            {
                last_accepting = tenth;
            }
            let majority = &fleet.nodes[minority..];
            assert!(
                majority.iter().all(|n| !n.cluster.is_cut_off(fleet.now)),
                "the majority refuses"
            );
        }
        println!(
            "{minority} of {members} members cut off: all refuse after {} ms",
            last_accepting * 100
        );
        assert!(
            last_accepting < 100,
            "{minority} of {members} members still accept after 10 s"
        );
    }
}

#[test]
fn paused_instance_ignores_confirmations_in_its_buffers() {
    let mut fleet = Fleet::new(7, 13);
    fleet.run(secs(10));
    fleet.nodes[2].paused = true;
    fleet.run(secs(30));
    fleet.resume(2);
    assert!(
        fleet.nodes[2].cluster.is_cut_off(fleet.now),
        "before any answer to its own probes"
    );
    fleet.run(secs(10));
    assert!(!fleet.nodes[2].cluster.is_cut_off(fleet.now));
    assert!(fleet.agreed(), "the paused instance is a member again");
}

#[test]
fn domain_out_of_service_has_no_homes_after_seconds() {
    let mut fleet = Fleet::new(100, 17);
    fleet.loss = LOSS_RATE;
    fleet.run(secs(10));
    fleet.out_of_service = (1, vec!["domain-3".into()]);
    fleet.run(secs(5));
    let mut late = 0;
    for node in &mut fleet.nodes {
        node.cluster.update_placement();
        let in_domain =
            |id: &wasabiyard_model::InstanceId| id.as_str()[9..].parse::<usize>().unwrap() % 5 == 3;
        late += usize::from(node.cluster.placement().places().any(|(_, p)| in_domain(&p.home)));
        assert_eq!(
            node.cluster.is_out_of_service(),
            in_domain(&node.id),
            "{}",
            node.id
        );
    }
    assert_eq!(late, 0, "instances that still see a home in the domain");
    fleet.out_of_service = (2, Vec::new());
    fleet.run(secs(5));
    assert!(fleet.nodes.iter().all(|n| !n.cluster.is_out_of_service()));
}

#[test]
fn instance_that_starts_in_an_outage_needs_a_majority_of_its_seeds() {
    let mut fleet = Fleet::new(7, 19);
    fleet.run(secs(10));
    fleet.platform_up = false;
    let seeds = || vec![support::digest(0), support::digest(1), support::digest(2)];
    let seeds = || {
        seeds()
            .into_iter()
            .map(|d| d.address.parse().unwrap())
            .collect::<Vec<_>>()
    };
    fleet.start(7, 1, seeds());
    fleet.run(secs(20));
    assert!(fleet.nodes[7].cluster.is_ready());
    assert_eq!(fleet.nodes[7].cluster.manifest().version(), 1);
    assert!(fleet.agreed());
    fleet.start(8, 1, seeds());
    fleet.nodes[8].side = 1;
    fleet.run(secs(20));
    assert!(!fleet.nodes[8].cluster.is_ready(), "it reached no seed");
}

#[derive(Debug, Clone)]
enum Fault {
    Crash(usize),
    Pause(usize),
    Partition(usize),
    Change,
    Heal,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0_usize..20).prop_map(Fault::Crash),
        (0_usize..20).prop_map(Fault::Pause),
        (1_usize..20).prop_map(Fault::Partition),
        Just(Fault::Change),
        Just(Fault::Heal),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The support code asserts that versions never revert.
    #[test]
    fn all_members_agree_after_healing(faults in prop::collection::vec((fault(), 1_u64..12), 1..8), seed: u64) {
        let mut fleet = Fleet::new(20, seed);
        fleet.loss = LOSS_RATE;
        fleet.run(secs(5));
        for (fault, seconds) in faults {
            match fault {
                Fault::Crash(i) => fleet.nodes[i].alive = false,
                Fault::Pause(i) => fleet.nodes[i].paused = true,
                Fault::Partition(n) => fleet.nodes[..n].iter_mut().for_each(|n| n.side = 1),
                Fault::Change => fleet.version += 1,
                Fault::Heal => fleet.nodes.iter_mut().for_each(|n| n.side = 0),
            }
            fleet.run(secs(seconds));
        }
        fleet.nodes.iter_mut().for_each(|n| n.side = 0);
        (0..20).for_each(|i| fleet.resume(i));
        fleet.run(secs(90));
        prop_assert!(fleet.agreed(), "tables: {:?}", tables(&fleet));
        let version = fleet.version;
        let behind = |n: &support::Node| n.alive && n.cluster.manifest().version() != version;
        prop_assert!(!fleet.nodes.iter().any(behind));
    }
}

fn tables(fleet: &Fleet) -> Vec<(String, usize, usize)> {
    let count = |n: &support::Node, state| {
        n.cluster
            .members()
            .iter()
            .filter(|(_, m)| m.state == state)
            .count()
    };
    let live = fleet.nodes.iter().filter(|n| n.alive);
    live.map(|n| {
        (
            n.id.to_string(),
            count(n, MemberState::Alive),
            count(n, MemberState::Suspect),
        )
    })
    .collect()
}

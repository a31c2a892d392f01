//! Randomised simulations of promotions and acknowledgements under faults.

mod group;

use group::simulation::{BrokenRule, Outcome, Setup, Simulation};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Makes every run of the tests draw the same faults.
const SEED: [u8; 32] = *b"wasabiyard promotion test seed 1";

fn setups() -> impl Strategy<Value = Setup> {
    let slots = prop_oneof![Just(3_usize), Just(5), Just(4)];
    let platform = prop::bool::weighted(0.9);
    let parts = (any::<u64>(), slots, 1_usize..=3, 0_u32..20, platform);
    parts.prop_map(|(seed, slots, homes, loss_percent, platform)| Setup {
        seed,
        slots,
        homes,
        loss_percent,
        platform,
        broken: BrokenRule::default(),
    })
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

/// Guards against two primaries in one term, lost acknowledged writes, and groups that stay without a primary after the
/// faults end.
#[test]
fn faults_lose_no_acknowledged_write_and_end_with_one_primary() {
    let result = runner(120).run(&setups(), |setup| {
        let outcome = Simulation::run(setup);
        prop_assert_eq!(&outcome.violation, &None, "{:?}", setup);
        prop_assert!(outcome.acknowledged > 100, "{:?} {:?}", setup, outcome);
        prop_assert!(outcome.acknowledged_after_faults, "{:?} {:?}", setup, outcome);
        prop_assert_eq!(outcome.primaries_at_end, 1, "{:?} {:?}", setup, outcome);
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
}

/// Runs simulations with a broken rule until one violates an invariant.
fn violation_with(broken: BrokenRule) -> Option<String> {
    let mut runner = runner(1);
    (0..200).find_map(|_| {
        let setup = setups().new_tree(&mut runner).expect("no filter").current();
        let Outcome { violation, .. } = Simulation::run(Setup {
            broken,
            platform: setup.platform && broken != BrokenRule::SharedFences,
            ..setup
        });
        violation
    })
}

/// Shows that the checks above detect a missing rule: here, commits acknowledged without a majority.
#[test]
fn acknowledging_without_a_majority_loses_writes() {
    assert!(
        violation_with(BrokenRule::AcknowledgeByOne)
            .expect("a violation")
            .contains("is lost")
    );
}

/// The same for counting slots that a promotion has fenced.
#[test]
fn counting_fenced_slots_loses_writes() {
    assert!(
        violation_with(BrokenRule::CountFencedSlots)
            .expect("a violation")
            .contains("is lost")
    );
}

/// The same for slots that grant the fence of one term to several owners.
#[test]
fn fences_of_several_owners_make_two_primaries() {
    assert!(
        violation_with(BrokenRule::SharedFences)
            .expect("a violation")
            .contains("both primary")
    );
}

/// The same for choosing a slot without comparing the logs.
#[test]
fn ignoring_the_logs_loses_writes() {
    assert!(
        violation_with(BrokenRule::IgnoreLogs)
            .expect("a violation")
            .contains("is lost")
    );
}

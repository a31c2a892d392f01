//! Guards against an incremental placement that differs from a full computation, moves more homes than necessary, or
//! puts the fallback into the failure domain of the home; and against manifest deltas that lose a section.

use proptest::prelude::*;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::sync::Arc;
use wasabiyard_cluster::{AdoptError, Candidates, ManifestStore, Placement, section_digest};
use wasabiyard_model::{InstanceId, Manifest};
use wasabiyard_wire::SectionEntry;

fn candidates(numbers: &BTreeSet<u8>) -> Candidates {
    let id = |n: &u8| (InstanceId::from(format!("i{n}").as_str()), format!("d{}", n % 3));
    numbers.iter().map(id).collect()
}

fn sections(rates: &[u32]) -> Vec<(SectionEntry, Arc<str>)> {
    let mut text = String::from("[service s]\ndatabases = a\n");
    for (i, rate) in rates.iter().enumerate().filter(|(_, rate)| **rate > 0) {
        write!(
            text,
            "[organisation o{i}]\nrate = {rate}\nburst = 1\nservices = s\n"
        )
        .unwrap();
    }
    let sections = Manifest::split_sections(&text).unwrap().into_iter();
    sections
        .map(|(heading, text)| {
            (
                SectionEntry {
                    heading,
                    digest: section_digest(&text),
                },
                text.into(),
            )
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn incremental_placement_equals_the_full_one(
        steps in prop::collection::vec(prop::collection::btree_set(0_u8..12, 0..10), 1..10),
    ) {
        let databases: Vec<_> = (0..30).map(|i| format!("db-{i}")).collect();
        let databases: Vec<_> = databases.iter().map(String::as_str).collect();
        let mut placement = Placement::default();
        for numbers in steps {
            let candidates = candidates(&numbers);
            placement.update(&databases, &candidates);
            let mut full = Placement::default();
            full.update(&databases, &candidates);
            prop_assert!(placement.places().eq(full.places()));
            for (_, place) in placement.places() {
                let other = |f: &InstanceId| candidates[f] != candidates[&place.home];
                prop_assert!(place.fallback.as_ref().is_none_or(other));
            }
        }
    }

    #[test]
    fn one_instance_moves_only_its_databases(numbers in prop::collection::btree_set(0_u8..40, 2..20)) {
        let databases: Vec<_> = (0..100).map(|i| format!("db-{i}")).collect();
        let databases: Vec<_> = databases.iter().map(String::as_str).collect();
        let mut placement = Placement::default();
        placement.update(&databases, &candidates(&numbers));
        let mut fewer = numbers.clone();
        let gone = InstanceId::from(format!("i{}", fewer.pop_first().unwrap()).as_str());
        let moves = placement.update(&databases, &candidates(&fewer));
        prop_assert!(moves.iter().all(|m| m.from.as_ref() == Some(&gone)));
        let back = placement.update(&databases, &candidates(&numbers));
        prop_assert!(back.iter().all(|m| m.to.as_ref() == Some(&gone)));
        prop_assert_eq!(moves.len(), back.len());
    }

    #[test]
    fn deltas_lead_to_the_same_manifest(
        versions in prop::collection::vec(prop::collection::vec(0_u32..3, 5), 2..50),
        behind in 0_usize..50,
    ) {
        let (mut source, mut peer) = (ManifestStore::default(), ManifestStore::default());
        for (i, rates) in versions.iter().enumerate() {
            source.adopt(i as u64 + 1, sections(rates)).unwrap();
            if i <= behind.min(versions.len() - 2) {
                let delta = source.delta_from(peer.version());
                prop_assert!(peer.apply(&delta).unwrap());
            }
        }
        let mut damaged = source.delta_from(peer.version());
        damaged.result[0] ^= 1;
        let refused = matches!(peer.apply(&damaged), Err(AdoptError::DigestMismatch { .. }));
        prop_assert!(refused);
        let delta = source.delta_from(peer.version());
        prop_assert!(peer.apply(&delta).unwrap());
        prop_assert_eq!(peer.manifest(), source.manifest());
        prop_assert!(!peer.apply(&delta).unwrap(), "an old version is not adopted again");
    }
}

//! Guards against an invalid manifest that is accepted, or rejected without naming the place, the value and the remedy.

use miette::Diagnostic as _;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use wasabiyard_model::{Access, KeyDigest, Manifest, PriorityClass, ReadConsistency};

const VALID_MANIFEST: &str = "\
[service membership]
databases = riga-1, riga-2, riga-3
[organisation zoo-riga]
keys = 0011223344556677:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad
rate = 500
burst = 1000
services = membership
[route renew]
service = membership
access = write
class = critical
timeout = 3s
[route gate]
service = membership
[route report]
service = membership
tolerance = age 30s
class = background
timeout = 500ms
";

/// The first error of an invalid manifest and its help text, on one line each.
fn first_error_with_help(text: &str) -> String {
    let error = Manifest::parse(text).expect_err("the manifest is invalid");
    let help = error.help().map(|h| h.to_string()).unwrap_or_default();
    format!("{error}\n  help: {help}")
}

#[test]
fn valid_manifest_resolves_names() {
    let manifest = Manifest::parse(VALID_MANIFEST).unwrap();
    let service = manifest.service("membership").unwrap();
    let renew = &manifest.routes[manifest.route(service, "renew").unwrap()];
    let report = &manifest.routes[manifest.route(service, "report").unwrap()];
    assert_eq!(
        (renew.access, renew.class, renew.idempotent),
        (Access::Write, PriorityClass::CRITICAL, false)
    );
    assert_eq!(
        report.read_consistency,
        ReadConsistency::BoundedStaleness(Duration::from_secs(30))
    );
    assert_eq!(report.timeout, Duration::from_millis(500));
    assert!(manifest.may_use(manifest.organisation("zoo-riga").unwrap(), service));
    assert_eq!(
        manifest.database_for_shard(service, None),
        manifest.database("riga-1").unwrap()
    );
}

#[test]
fn route_applies_to_each_service_that_it_names() {
    let text = VALID_MANIFEST
        .replace(
            "[organisation",
            "[service school]\ndatabases = school-1\n[organisation",
        )
        .replacen(
            "service = membership\naccess",
            "service = membership, school\naccess",
            1,
        );
    let manifest = Manifest::parse(&text).unwrap();
    let (membership, school) = (
        manifest.service("membership").unwrap(),
        manifest.service("school").unwrap(),
    );
    assert_eq!(
        manifest.route(school, "renew"),
        manifest.route(membership, "renew")
    );
    assert!(manifest.route(school, "renew").is_some() && manifest.route(school, "gate").is_none());
}

#[test]
fn joined_sections_parse_to_the_same_manifest() {
    let sections = Manifest::split_sections(VALID_MANIFEST).unwrap();
    let text: String = sections.into_iter().map(|(_, section)| section).collect();
    assert_eq!(
        Manifest::parse(&text).unwrap(),
        Manifest::parse(VALID_MANIFEST).unwrap()
    );
}

#[test]
fn each_error_names_place_value_and_remedy() {
    let cases = [
        ("access = write", "access = maybe"),
        ("rate = 500", "rate = 0"),
        ("rate = 500\n", ""),
        ("timeout = 500ms", "timeout = soon"),
        ("[route gate]", "[router gate]"),
        ("[route gate]", "[route renew]"),
        ("services = membership", "services = membershp"),
        ("keys = 0011", "keys = 11"),
        ("burst = 1000", "burst = 1000\ncolour = green"),
        ("access = write", "access = write\ntolerance = age 5s"),
        ("rate = 500", "rate = 500\nrate = 600"),
        ("riga-3", "riga-1"),
        ("riga-3", "riga/3"),
        ("[organisation zoo-riga]", "[organisation zoo' riga]"),
        ("[route gate]", "[route  renew ]"),
        ("[service membership]", "service membership"),
    ];
    let errors: Vec<_> = cases
        .iter()
        .map(|(from, to)| first_error_with_help(&VALID_MANIFEST.replacen(from, to, 1)))
        .collect();
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn key_matches_only_its_digest() {
    let digest = KeyDigest::compute(b"saltsalt", b"secret");
    assert!(digest.matches(b"secret") && !digest.matches(b"Secret") && !digest.matches(b""));
    assert_eq!(KeyDigest::parse(&digest.to_string()), Some(digest.clone()));
    assert_eq!(
        format!("{digest:?}"),
        "KeyDigest(..)",
        "Debug must not reveal the digest"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(43), ..ProptestConfig::default() })]

    /// Guards against a panic of the parser on arbitrary text.
    #[test]
    fn arbitrary_text_never_panics(text in "(\\[(service|route|organisation|x) ?[a-z]{0,3}\\]\n|[a-z]{0,9} ?= ?[a-z0-9, :]{0,9}\n|.{0,9}\n){0,12}") {
        drop(Manifest::parse(&text));
    }
}

//! Cost of parsing and digesting a manifest, by databases and organisations; also generates manifests of a given size.

use serde::Serialize;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Instant;
use wasabiyard_cluster::section_digest;
use wasabiyard_model::{KeyDigest, Manifest};
use wasabiyard_wire::SectionEntry;

const DATABASES_PER_SERVICE: usize = 3;

/// Cost of one manifest.
#[derive(Debug, Clone, Serialize)]
pub struct ManifestRow {
    /// Number of databases.
    pub databases: usize,
    /// Number of organisations.
    pub organisations: usize,
    /// Length of the manifest, in bytes.
    pub text_bytes: usize,
    /// Time to parse and validate the manifest, in microseconds.
    pub parse_us: f64,
    /// Time to split the manifest and to digest its sections, in microseconds.
    pub digest_us: f64,
}

/// Measures each number of databases with the fewest organisations, and each number of organisations with the fewest
/// databases, to separate the two effects.
pub fn measure_all(databases: &[usize], organisations: &[usize]) -> Vec<ManifestRow> {
    let fewest = |sizes: &[usize]| sizes.iter().copied().min().unwrap_or(1);
    let (few_databases, few_organisations) = (fewest(databases), fewest(organisations));
    let mut rows: Vec<_> = databases.iter().map(|n| measure(*n, few_organisations)).collect();
    rows.extend(organisations.iter().map(|n| measure(few_databases, *n)));
    rows
}

fn measure(databases: usize, organisations: usize) -> ManifestRow {
    let text = generate_manifest(databases, organisations, 0);
    let start = Instant::now();
    let manifest = Manifest::parse(&text).expect("the generated manifest is valid");
    let parse_us = start.elapsed().as_secs_f64() * 1e6;
    assert_eq!(manifest.databases.len(), databases);
    let start = Instant::now();
    let sections = digest_sections(&text);
    let digest_us = start.elapsed().as_secs_f64() * 1e6;
    assert!(sections.len() > organisations);
    ManifestRow {
        databases,
        organisations,
        text_bytes: text.len(),
        parse_us,
        digest_us,
    }
}

/// Generates a manifest. `change` is added to the rate of the first organisation.
pub fn generate_manifest(databases: usize, organisations: usize, change: u32) -> String {
    let mut text = String::new();
    let services = databases.div_ceil(DATABASES_PER_SERVICE);
    for s in 0..services {
        let first = s * DATABASES_PER_SERVICE;
        let last = (first + DATABASES_PER_SERVICE).min(databases);
        let names: Vec<_> = (first..last).map(|d| format!("database-{d}")).collect();
        append(
            &mut text,
            format_args!("[service service-{s}]\ndatabases = {}\n", names.join(", ")),
        );
        append(
            &mut text,
            format_args!("[route write-{s}]\nservice = service-{s}\naccess = write\n"),
        );
        append(
            &mut text,
            format_args!("[route read-{s}]\nservice = service-{s}\n"),
        );
    }
    let key = KeyDigest::compute(b"saltsalt", b"key");
    for o in 0..organisations {
        let rate = if o == 0 { 500 + change } else { 500 };
        let service = o % services;
        append(
            &mut text,
            format_args!(
                "[organisation org-{o}]\nkeys = {key}\nrate = {rate}\nburst = 1000\nservices = service-{service}\n"
            ),
        );
    }
    text
}

/// Splits a manifest into sections with their digests.
pub fn digest_sections(text: &str) -> Vec<(SectionEntry, Arc<str>)> {
    let sections = Manifest::split_sections(text).expect("the generated manifest is valid");
    let entry = |(heading, text): (String, String)| {
        let digest = section_digest(&text);
        (SectionEntry { heading, digest }, Arc::from(text))
    };
    sections.into_iter().map(entry).collect()
}

fn append(text: &mut String, args: std::fmt::Arguments<'_>) {
    text.write_fmt(args).expect("writing to a string cannot fail");
}

//! Metrics in the Prometheus text format.
//!
//! The hot path increments the atomic counters of this process. The instruments here read them only when the metrics
//! are scraped.

use crate::counters::{self, Counter};
use crate::entry::Entry;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use std::sync::Arc;
use thiserror::Error;

/// The metrics cannot be set up or encoded.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The Prometheus exporter cannot be created.
    #[error("the metrics exporter cannot be set up")]
    Exporter(#[from] OTelSdkError),
    /// The metrics cannot be encoded as text.
    #[error("the metrics cannot be encoded")]
    Encode(#[from] prometheus::Error),
}

/// All metrics of the process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Registers the instruments.
    ///
    /// # Errors
    ///
    /// When the Prometheus exporter cannot be created.
    pub fn new(entry: &Arc<Entry>) -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_counter_suffixes()
            .without_target_info()
            .scope_info_enabled(false)
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("wasabiyard");
        for counter in Counter::ALL {
            meter
                .u64_observable_counter(counter.name())
                .with_description(counter.help())
                .with_callback(|observer| observer.observe(counters::get(*counter), &[]))
                .build();
        }
        let callers = Arc::clone(entry);
        meter
            .u64_observable_gauge("wasabiyard_callers")
            .with_description("Callers connected")
            .with_callback(move |observer| observer.observe(callers.caller_count() as u64, &[]))
            .build();
        let links = entry.links.clone();
        meter
            .u64_observable_gauge("wasabiyard_links")
            .with_description("Links to other instances")
            .with_callback(move |observer| observer.observe(links.len() as u64, &[]))
            .build();
        let snapshots = Arc::clone(&entry.snapshots);
        meter
            .u64_observable_gauge("wasabiyard_manifest_version")
            .with_description("Version of the manifest in force")
            .with_callback(move |observer| observer.observe(snapshots.load().manifest_version, &[]))
            .build();
        Ok(Self {
            registry,
            _provider: provider,
        })
    }

    /// Reads all instruments and encodes their values as text.
    ///
    /// # Errors
    ///
    /// When encoding fails.
    pub fn encode(&self) -> Result<String, MetricsError> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

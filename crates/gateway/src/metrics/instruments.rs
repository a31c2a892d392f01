//! Creation of the instruments of an instance.

use crate::control::{StoreCallKind, StoreCalls};
use crate::usage::{ReportCounters, ReportEvent};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 5.0];

/// Creates instruments at one meter.
#[derive(Debug)]
pub(super) struct Instruments {
    meter: Meter,
}

impl Instruments {
    pub(super) const fn new(meter: Meter) -> Self {
        Self { meter }
    }

    pub(super) fn counter(&self, name: &'static str, help: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(help).build()
    }

    pub(super) fn gauge(&self, name: &'static str, help: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).with_description(help).build()
    }

    /// A histogram of times in seconds.
    pub(super) fn histogram(&self, name: &'static str, help: &'static str) -> Histogram<f64> {
        self.meter
            .f64_histogram(name)
            .with_description(help)
            .with_boundaries(LATENCY_BOUNDS_S.to_vec())
            .build()
    }

    /// The number of connected callers, which is exported.
    pub(super) fn sessions(&self) -> Arc<AtomicUsize> {
        let sessions = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&sessions);
        self.meter
            .u64_observable_gauge("wasabiyard_sessions")
            .with_description("Callers connected")
            .with_callback(move |observer| observer.observe(count.load(Ordering::Relaxed) as u64, &[]))
            .build();
        sessions
    }

    /// Counters of the calls to the store, which are exported.
    pub(super) fn store_calls(&self) -> Arc<StoreCalls> {
        let calls = Arc::new(StoreCalls::default());
        let counted = Arc::clone(&calls);
        self.meter
            .u64_observable_counter("wasabiyard_store_calls")
            .with_description("Calls to the store, by kind")
            .with_callback(move |observer| {
                for kind in StoreCallKind::ALL {
                    observer.observe(counted.count(kind), &[KeyValue::new("kind", kind.name())]);
                }
            })
            .build();
        calls
    }

    /// Counters of usage reports, which are exported.
    pub(super) fn usage_reports(&self) -> Arc<ReportCounters> {
        let reports = Arc::new(ReportCounters::default());
        let counted = Arc::clone(&reports);
        self.meter
            .u64_observable_counter("wasabiyard_usage_reports")
            .with_description("Usage reports by this instance as the holder of the failover lease, by event")
            .with_callback(move |observer| {
                for event in ReportEvent::ALL {
                    let count = counted.count(event);
                    if count > 0 {
                        observer.observe(count, &[KeyValue::new("event", event.name())]);
                    }
                }
            })
            .build();
        reports
    }
}

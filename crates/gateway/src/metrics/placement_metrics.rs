//! Counters of limited paces and of regions, by which statements are placed or refused.

use super::{Instruments, Metrics};
use crate::traffic::PaceEvent;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;

/// Counters of limited paces and of regions, by which statements are placed or refused.
#[derive(Debug)]
pub(super) struct PlacementMetrics {
    paces: Counter<u64>,
    pace_refusals: Counter<u64>,
    crossings: Counter<u64>,
    crossing_refusals: Counter<u64>,
}

impl PlacementMetrics {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            paces: instruments.counter(
                "wasabiyard_paces",
                "Limited paces at backend servers that began or ended, by service, event and cause",
            ),
            pace_refusals: instruments.counter(
                "wasabiyard_pace_refusals",
                "Statements refused because the pace at their server cannot serve them in time, by service",
            ),
            crossings: instruments.counter(
                "wasabiyard_crossings",
                "Backend connections leased in another region, by service",
            ),
            crossing_refusals: instruments.counter(
                "wasabiyard_crossing_refusals",
                "Statements refused because the link to another region is congested, by service",
            ),
        }
    }
}

impl Metrics {
    /// Records the begin or end of a limited pace at a backend server.
    pub fn on_pace(&self, service: &str, event: &PaceEvent) {
        let service = KeyValue::new("service", service.to_owned());
        let (event, cause) = match event {
            PaceEvent::Began { cause, .. } => ("began", cause.name()),
            PaceEvent::Ended { cause, .. } => ("ended", cause.name()),
        };
        let event = KeyValue::new("event", event);
        self.placement
            .paces
            .add(1, &[service, event, KeyValue::new("cause", cause)]);
    }

    /// Records a statement that is refused because the pace at its server cannot serve it in time.
    pub fn on_pace_refusal(&self, service: &str) {
        self.placement
            .pace_refusals
            .add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Records the lease of a backend connection in another region.
    pub fn on_crossing(&self, service: &str) {
        self.placement
            .crossings
            .add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Records a statement that is refused because the link to another region is congested.
    pub fn on_crossing_refusal(&self, service: &str) {
        self.placement
            .crossing_refusals
            .add(1, &[KeyValue::new("service", service.to_owned())]);
    }
}

//! Instruments of shared connections, at their holder and at the instances that use them.

use super::{HeldLeaseResult, Instruments, Metrics};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use std::time::Duration;

/// Instruments of shared connections, at their holder and at the instances that use them.
#[derive(Debug)]
pub(super) struct HolderMetrics {
    held_leases: Counter<u64>,
    gate_waits: Histogram<f64>,
    relayed: Counter<u64>,
}

impl HolderMetrics {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            held_leases: instruments.counter(
                "wasabiyard_held_leases",
                "Connections leased by this instance as a connection holder, by service and result",
            ),
            gate_waits: instruments.histogram(
                "wasabiyard_gate_wait_seconds",
                "Time that new work waited at this instance as a connection holder, by service",
            ),
            relayed: instruments.counter(
                "wasabiyard_relayed",
                "Commands sent through a connection holder, by service and result",
            ),
        }
    }
}

impl Metrics {
    /// Records a lease of a connection that this instance holds.
    pub fn on_held_lease(&self, service: &str, result: HeldLeaseResult) {
        let service = KeyValue::new("service", service.to_owned());
        let result = match result {
            HeldLeaseResult::Idle => "idle",
            HeldLeaseResult::Opened => "opened",
        };
        self.holder
            .held_leases
            .add(1, &[service, KeyValue::new("result", result)]);
    }

    /// Records that new work was let through to a held server after `waited`.
    pub fn on_gate_wait(&self, service: &str, waited: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        self.holder.gate_waits.record(waited.as_secs_f64(), &[service]);
    }

    /// Records the result of a command that was sent through a connection holder.
    pub fn on_relayed(&self, service: &str, result: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.holder
            .relayed
            .add(1, &[service, KeyValue::new("result", result)]);
    }
}

//! Counters of statements by priority class.

use super::{Instruments, Metrics};
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use wasabiyard_model::PriorityClass;

/// Counters of statements by priority class.
#[derive(Debug)]
pub(super) struct ClassMetrics {
    class_placements: Counter<u64>,
    class_refusals: Counter<u64>,
    server_refusals: Counter<u64>,
}

impl ClassMetrics {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            class_placements: instruments.counter(
                "wasabiyard_class_placements",
                "Statements and transactions that got a backend connection, by service, class and role of the server",
            ),
            class_refusals: instruments.counter(
                "wasabiyard_class_refusals",
                "Statements and transactions that got no backend connection, by service, class and cause",
            ),
            server_refusals: instruments.counter(
                "wasabiyard_server_refusals",
                "Statements that a backend server refused as overloaded, by service and class",
            ),
        }
    }
}

impl Metrics {
    pub(super) fn on_class_placed(&self, service: &KeyValue, class: PriorityClass, role: &KeyValue) {
        let labels = [service.clone(), class_label(class), role.clone()];
        self.classes.class_placements.add(1, &labels);
    }

    /// Records that a statement or transaction got no backend connection.
    pub fn on_not_placed(&self, service: &str, class: PriorityClass, cause: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        let cause = KeyValue::new("cause", cause);
        self.classes
            .class_refusals
            .add(1, &[service, class_label(class), cause]);
    }

    /// Records that a backend server refused a statement as overloaded.
    pub fn on_server_refusal(&self, service: &str, class: PriorityClass) {
        let service = KeyValue::new("service", service.to_owned());
        self.classes
            .server_refusals
            .add(1, &[service, class_label(class)]);
    }
}

/// Label with the rank of a class, 0 for the most urgent.
fn class_label(class: PriorityClass) -> KeyValue {
    KeyValue::new("class", class.rank() as i64)
}

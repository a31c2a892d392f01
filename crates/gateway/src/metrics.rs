//! Counters and latency histograms of an instance, exported in the Prometheus text format.

mod class_metrics;
mod holder_metrics;
mod instruments;
mod placement_metrics;

use class_metrics::ClassMetrics;
use holder_metrics::HolderMetrics;
use instruments::Instruments;
use placement_metrics::PlacementMetrics;

use crate::budget::{MemoryAccounts, Purpose};
use crate::control::StoreCalls;
use crate::usage::ReportCounters;
use crate::{CallerError, ShedCause};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use thiserror::Error;
use wasabiyard_model::PriorityClass;

/// Failure to set up or export metrics.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The Prometheus exporter cannot be built.
    #[error("the metrics exporter cannot be set up")]
    Exporter(#[from] OTelSdkError),
    /// The text format cannot be encoded.
    #[error("the metrics cannot be written")]
    Encode(#[from] prometheus::Error),
}

/// Value of the label `kind` of statement metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementKind {
    /// A read outside a transaction.
    Read,
    /// A write outside a transaction.
    Write,
    /// A statement inside a transaction.
    InTransaction,
    /// The commit of a transaction.
    Commit,
    /// A statement that the instance answers without a backend server.
    Local,
}

impl StatementKind {
    const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::InTransaction => "in_transaction",
            Self::Commit => "commit",
            Self::Local => "local",
        }
    }
}

/// Value of the label `result` of backend connection attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectResult {
    /// The connection is open.
    Opened,
    /// The backend server is at its connection limit.
    Full,
    /// The attempt failed, timed out or was refused.
    Failed,
}

/// Value of the label `cause` of answers that belong to no command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StrayCause {
    /// Bytes had arrived before the next command was sent.
    Unread,
    /// The answer was given before, or does not fit the command.
    Repeated,
}

impl StrayCause {
    /// Value of the key `cause` in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unread => "unread",
            Self::Repeated => "repeated",
        }
    }
}

/// Value of the label `result` of leases at a connection holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldLeaseResult {
    /// With an idle connection of the organisation.
    Idle,
    /// With a new connection.
    Opened,
}

/// Metric instruments of the traffic thread.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    statements: Counter<u64>,
    latency: Histogram<f64>,
    connection_waits: Histogram<f64>,
    placements: Counter<u64>,
    connects: Counter<u64>,
    retries: Counter<u64>,
    logins_refused: Counter<u64>,
    stray_answers: Counter<u64>,
    malformed_messages: Counter<u64>,
    classes: ClassMetrics,
    placement: PlacementMetrics,
    holder: HolderMetrics,
    callers_shed: Counter<u64>,
    memory_claimed: Gauge<u64>,
    sessions: Arc<AtomicUsize>,
    store_calls: Arc<StoreCalls>,
    usage_reports: Arc<ReportCounters>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Creates the instruments in a new registry.
    ///
    /// # Errors
    ///
    /// When the exporter cannot be built.
    pub fn open() -> Result<Rc<Self>, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("wasabiyard");
        let instruments = Instruments::new(meter);
        Ok(Rc::new(Self {
            statements: instruments.counter(
                "wasabiyard_statements",
                "Statements answered, by service, kind and outcome",
            ),
            latency: instruments.histogram(
                "wasabiyard_statement_seconds",
                "Time from a request to its answer, by service and kind",
            ),
            connection_waits: instruments.histogram(
                "wasabiyard_connection_wait_seconds",
                "Time until a backend connection was had, by service",
            ),
            placements: instruments.counter(
                "wasabiyard_placements",
                "Statements sent to backend servers, by service and role of the server",
            ),
            connects: instruments.counter(
                "wasabiyard_connects",
                "Attempts to open a backend connection, by service and result",
            ),
            retries: instruments.counter(
                "wasabiyard_retries",
                "Statements tried again by the instance, by service and cause",
            ),
            logins_refused: instruments.counter("wasabiyard_logins_refused", "Logins refused, by error"),
            stray_answers: instruments.counter(
                "wasabiyard_stray_answers",
                "Answers of backend servers that belong to no command, by service and cause",
            ),
            malformed_messages: instruments.counter(
                "wasabiyard_malformed_messages",
                "Messages of callers that violate the protocol, by service",
            ),
            callers_shed: instruments.counter(
                "wasabiyard_callers_shed",
                "Connections of callers refused or closed to keep to the limits of the instance, by cause",
            ),
            memory_claimed: instruments.gauge(
                "wasabiyard_memory_claimed_bytes",
                "Memory claimed for callers, by purpose",
            ),
            classes: ClassMetrics::new(&instruments),
            placement: PlacementMetrics::new(&instruments),
            holder: HolderMetrics::new(&instruments),
            sessions: instruments.sessions(),
            store_calls: instruments.store_calls(),
            usage_reports: instruments.usage_reports(),
            registry,
            _provider: provider,
        }))
    }

    /// Records an answered statement; `failure` is the class of its error.
    pub fn on_statement(
        &self,
        service: &str,
        kind: StatementKind,
        failure: Option<CallerError>,
        took: Duration,
    ) {
        let service = KeyValue::new("service", service.to_owned());
        let kind = KeyValue::new("kind", kind.name());
        let outcome = KeyValue::new("outcome", failure.map_or("ok", CallerError::name));
        self.latency
            .record(took.as_secs_f64(), &[service.clone(), kind.clone()]);
        self.statements.add(1, &[service, kind, outcome]);
    }

    /// Records that a statement got a backend connection after `waited`.
    pub fn on_placed(&self, service: &str, class: PriorityClass, primary: bool, waited: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        let role = KeyValue::new("role", if primary { "primary" } else { "replica" });
        self.connection_waits
            .record(waited.as_secs_f64(), std::slice::from_ref(&service));
        self.on_class_placed(&service, class, &role);
        self.placements.add(1, &[service, role]);
    }

    /// Records the result of an attempt to connect to a backend server.
    pub fn on_connect(&self, service: &str, result: ConnectResult) {
        let service = KeyValue::new("service", service.to_owned());
        let result = match result {
            ConnectResult::Opened => "opened",
            ConnectResult::Full => "full",
            ConnectResult::Failed => "failed",
        };
        self.connects.add(1, &[service, KeyValue::new("result", result)]);
    }

    /// Records a retry of a statement.
    pub fn on_retry(&self, service: &str, cause: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.retries.add(1, &[service, KeyValue::new("cause", cause)]);
    }

    /// Records a refused login.
    pub fn on_login_refused(&self, error: CallerError) {
        self.logins_refused
            .add(1, &[KeyValue::new("error", error.name())]);
    }

    /// Records answers of a backend server that belong to no command.
    pub fn on_stray_answers(&self, service: &str, cause: StrayCause, count: u32) {
        let service = KeyValue::new("service", service.to_owned());
        let cause = KeyValue::new("cause", cause.name());
        self.stray_answers.add(u64::from(count), &[service, cause]);
    }

    /// Records a message of a caller that violates the protocol.
    pub fn on_malformed_message(&self, service: &str) {
        let service = KeyValue::new("service", service.to_owned());
        self.malformed_messages.add(1, &[service]);
    }

    /// Records a connection of a caller that was refused or closed to keep to the limits of the instance.
    pub fn on_caller_shed(&self, cause: ShedCause) {
        self.callers_shed.add(1, &[KeyValue::new("cause", cause.name())]);
    }

    /// Records the memory that is claimed for callers, before the metrics are encoded.
    pub fn on_memory_claimed(&self, accounts: &MemoryAccounts) {
        for purpose in Purpose::ALL {
            let label = KeyValue::new("purpose", purpose.name());
            self.memory_claimed
                .record(accounts.used(purpose) as u64, &[label]);
        }
    }

    /// Records a new caller connection.
    pub fn on_session_opened(&self) {
        self.sessions.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the end of a caller connection.
    pub fn on_session_closed(&self) {
        self.sessions.fetch_sub(1, Ordering::Relaxed);
    }

    /// Counters of the calls to the store, for the control thread.
    pub const fn store_calls(&self) -> &Arc<StoreCalls> {
        &self.store_calls
    }

    /// Counters of usage reports, for the control thread.
    pub const fn usage_reports(&self) -> &Arc<ReportCounters> {
        &self.usage_reports
    }

    /// Number of connected callers.
    pub fn sessions(&self) -> usize {
        self.sessions.load(Ordering::Relaxed)
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// When the registry cannot be encoded.
    pub fn encode(&self) -> Result<String, MetricsError> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

//! Counters and latency histograms of an instance, exported in the Prometheus text format.

use crate::budget::{MemoryAccounts, Purpose};
use crate::control::{StoreCallKind, StoreCalls};
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

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 5.0];

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
    callers_shed: Counter<u64>,
    memory_claimed: Gauge<u64>,
    sessions: Arc<AtomicUsize>,
    store_calls: Arc<StoreCalls>,
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
        let counter = |name, help| meter.u64_counter(name).with_description(help).build();
        let histogram = |name, help| {
            meter
                .f64_histogram(name)
                .with_description(help)
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .build()
        };
        let memory_claimed = meter
            .u64_gauge("wasabiyard_memory_claimed_bytes")
            .with_description("Memory claimed for callers, by purpose")
            .build();
        let sessions = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&sessions);
        meter
            .u64_observable_gauge("wasabiyard_sessions")
            .with_description("Callers connected")
            .with_callback(move |observer| observer.observe(count.load(Ordering::Relaxed) as u64, &[]))
            .build();
        let store_calls = Arc::new(StoreCalls::default());
        let counted = Arc::clone(&store_calls);
        meter
            .u64_observable_counter("wasabiyard_store_calls")
            .with_description("Calls to the store, by kind")
            .with_callback(move |observer| {
                for kind in StoreCallKind::ALL {
                    observer.observe(counted.count(kind), &[KeyValue::new("kind", kind.name())]);
                }
            })
            .build();
        Ok(Rc::new(Self {
            statements: counter(
                "wasabiyard_statements",
                "Statements answered, by service, kind and outcome",
            ),
            latency: histogram(
                "wasabiyard_statement_seconds",
                "Time from a request to its answer, by service and kind",
            ),
            connection_waits: histogram(
                "wasabiyard_connection_wait_seconds",
                "Time until a backend connection was had, by service",
            ),
            placements: counter(
                "wasabiyard_placements",
                "Statements sent to backend servers, by service and role of the server",
            ),
            connects: counter(
                "wasabiyard_connects",
                "Attempts to open a backend connection, by service and result",
            ),
            retries: counter(
                "wasabiyard_retries",
                "Statements tried again by the instance, by service and cause",
            ),
            logins_refused: counter("wasabiyard_logins_refused", "Logins refused, by error"),
            stray_answers: counter(
                "wasabiyard_stray_answers",
                "Answers of backend servers that belong to no command, by service and cause",
            ),
            malformed_messages: counter(
                "wasabiyard_malformed_messages",
                "Messages of callers that violate the protocol, by service",
            ),
            callers_shed: counter(
                "wasabiyard_callers_shed",
                "Connections of callers refused or closed to keep to the limits of the instance, by cause",
            ),
            memory_claimed,
            sessions,
            store_calls,
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
    pub fn on_placed(&self, service: &str, primary: bool, waited: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        let role = KeyValue::new("role", if primary { "primary" } else { "replica" });
        self.connection_waits
            .record(waited.as_secs_f64(), std::slice::from_ref(&service));
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

//! Counters and latency histograms of an instance, as Prometheus text.

use crate::CallerError;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
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

/// Metrics cannot be set up or written.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The exporter cannot be made.
    #[error("the metrics exporter cannot be set up")]
    Exporter(#[from] OTelSdkError),
    /// The text cannot be written.
    #[error("the metrics cannot be written")]
    Encode(#[from] prometheus::Error),
}

/// What a statement did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementKind {
    /// A read outside a transaction.
    Read,
    /// A write outside a transaction.
    Write,
    /// A statement inside a transaction.
    InTransaction,
    /// The end of a transaction that keeps its writes.
    Commit,
    /// A statement that the instance answers itself.
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

/// How an attempt to open a backend connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectResult {
    /// It is open.
    Opened,
    /// The server has too many.
    Full,
    /// It failed or was refused.
    Failed,
}

/// The instruments of the traffic thread.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    statements: Counter<u64>,
    latency: Histogram<f64>,
    waits: Histogram<f64>,
    placements: Counter<u64>,
    connects: Counter<u64>,
    retries: Counter<u64>,
    sessions: Arc<AtomicUsize>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Sets up the instruments.
    ///
    /// # Errors
    ///
    /// When the exporter cannot be made.
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
        let sessions = Arc::new(AtomicUsize::new(0));
        let shown = Arc::clone(&sessions);
        meter
            .u64_observable_gauge("wasabiyard_sessions")
            .with_description("Callers connected")
            .with_callback(move |observer| observer.observe(shown.load(Ordering::Relaxed) as u64, &[]))
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
            waits: histogram(
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
            sessions,
            registry,
            _provider: provider,
        }))
    }

    /// A statement was answered.
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

    /// A statement got its connection.
    pub fn on_placed(&self, service: &str, primary: bool, waited: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        let role = KeyValue::new("role", if primary { "primary" } else { "replica" });
        self.waits
            .record(waited.as_secs_f64(), std::slice::from_ref(&service));
        self.placements.add(1, &[service, role]);
    }

    /// An attempt to connect has ended.
    pub fn on_connect(&self, service: &str, result: ConnectResult) {
        let service = KeyValue::new("service", service.to_owned());
        let result = match result {
            ConnectResult::Opened => "opened",
            ConnectResult::Full => "full",
            ConnectResult::Failed => "failed",
        };
        self.connects.add(1, &[service, KeyValue::new("result", result)]);
    }

    /// A statement is tried again after `cause`.
    pub fn on_retry(&self, service: &str, cause: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.retries.add(1, &[service, KeyValue::new("cause", cause)]);
    }

    /// A caller has connected.
    pub fn on_session_opened(&self) {
        self.sessions.fetch_add(1, Ordering::Relaxed);
    }

    /// A caller has gone.
    pub fn on_session_closed(&self) {
        self.sessions.fetch_sub(1, Ordering::Relaxed);
    }

    /// Number of callers.
    pub fn sessions(&self) -> usize {
        self.sessions.load(Ordering::Relaxed)
    }

    /// All metrics as text.
    ///
    /// # Errors
    ///
    /// When they cannot be written.
    pub fn encode(&self) -> Result<String, MetricsError> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

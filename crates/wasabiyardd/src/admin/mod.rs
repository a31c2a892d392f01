//! The admin server: health, metrics, status and the time line over HTTP.

mod metrics;

pub use metrics::{Metrics, MetricsError};

use crate::clock;
use crate::counters;
use crate::entry::Entry;
use crate::snapshot::AdmissionState;
use async_io::{Async, Timer};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::Time;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Lifetime limit of a connection. It bounds the resources that an idle client can hold.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the state of the control thread as JSON.
pub type StatusSource = Arc<dyn Fn() -> Value + Send + Sync>;
/// Returns the time line as JSON lines.
pub type TimelineSource = Arc<dyn Fn() -> String + Send + Sync>;

/// Reports whether this process holds rate shares of every organisation in the manifest.
pub type RateSharesSource = Arc<dyn Fn() -> bool + Send + Sync>;
/// Time after the start of the process after which the instance reports itself healthy even without rate shares,
/// because the platform may be down and peers lend it tokens.
const RATE_SHARES_GRACE_PERIOD: Duration = Duration::from_secs(10);

/// The admin server and the sources of its pages.
pub struct AdminServer {
    /// The entry, for admission, numbers of callers and links, and the executor.
    pub entry: Arc<Entry>,
    /// State of the control thread, for `/status`.
    pub status: StatusSource,
    /// Whether this process holds its rate shares, for `/health` and `/status`.
    pub has_rate_shares: RateSharesSource,
    /// Events of this process, for `/timeline`.
    pub timeline: TimelineSource,
    /// Metrics of this process, for `/metrics`.
    pub metrics: Metrics,
}

impl fmt::Debug for AdminServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdminServer")
            .field("entry", &self.entry)
            .finish_non_exhaustive()
    }
}

impl AdminServer {
    /// Opens the port and starts to serve. Returns the address of the listener.
    ///
    /// # Errors
    ///
    /// When the port cannot be opened.
    pub fn open(self, address: SocketAddr) -> io::Result<SocketAddr> {
        let socket = Async::<TcpListener>::bind(address)?;
        let address = socket.get_ref().local_addr()?;
        let executor = Arc::clone(&self.entry.executor);
        executor.spawn(Arc::new(self).accept(socket)).detach();
        Ok(address)
    }

    async fn accept(self: Arc<Self>, socket: Async<TcpListener>) {
        loop {
            match socket.accept().await {
                Ok((stream, _peer)) => {
                    let task = Arc::clone(&self).serve(stream);
                    self.entry.executor.spawn(task).detach();
                }
                Err(e) => {
                    log::warn!(error:% = e; "cannot accept an admin connection");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: Async<TcpStream>) {
        let service = service_fn(|req| {
            let response = self.respond(&req);
            async { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
        let served = async {
            if let Err(e) = connection.await {
                log::debug!(error:% = e; "admin connection failed");
            }
        };
        let timeout = async {
            Timer::after(CONNECTION_TIMEOUT).await;
        };
        futures_lite::future::or(served, timeout).await;
    }

    fn respond(&self, req: &Request<Incoming>) -> Response<Full<Bytes>> {
        if req.method() != Method::GET {
            return response(
                StatusCode::METHOD_NOT_ALLOWED,
                "text/plain",
                "use GET\n".to_owned(),
            );
        }
        match req.uri().path() {
            "/health" => self.health(),
            "/metrics" => match self.metrics.encode() {
                Ok(text) => response(StatusCode::OK, "text/plain; version=0.0.4", text),
                Err(e) => response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", e.to_string()),
            },
            "/status" => {
                let status = self.status().to_string();
                response(StatusCode::OK, "application/json", status)
            }
            "/timeline" => response(StatusCode::OK, "application/jsonl", (self.timeline)()),
            _ => response(StatusCode::NOT_FOUND, "text/plain", "no such page\n".to_owned()),
        }
    }

    /// Responds with status 200 while new callers are admitted, else with 503 and the reason.
    fn health(&self) -> Response<Full<Bytes>> {
        let (status, text) = match self.entry.snapshots.load().admission {
            _ if self.entry.drain_notifier.is_draining() => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
            AdmissionState::Open if !self.is_rate_ready() => {
                (StatusCode::SERVICE_UNAVAILABLE, "no rate shares yet")
            }
            AdmissionState::Open => (StatusCode::OK, "ok"),
            AdmissionState::NotReady => (StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            AdmissionState::OutOfService => (StatusCode::SERVICE_UNAVAILABLE, "out of service"),
            AdmissionState::Draining => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
            AdmissionState::CutOff => (StatusCode::SERVICE_UNAVAILABLE, "cut off"),
        };
        response(status, "text/plain", format!("{text}\n"))
    }

    fn is_rate_ready(&self) -> bool {
        (self.has_rate_shares)() || clock::now() > Time::ZERO + RATE_SHARES_GRACE_PERIOD
    }

    /// The state of the control thread, extended by the figures of the traffic threads.
    fn status(&self) -> Value {
        let mut status = (self.status)();
        let traffic = json!({
            "callers": self.entry.caller_count(),
            "links": self.entry.links.len(),
            "statements": counters::get(counters::Counter::Statements),
            "draining": self.entry.drain_notifier.is_draining(),
            "rates_stocked": (self.has_rate_shares)(),
        });
        if let Some(map) = status.as_object_mut() {
            map.insert("traffic".to_owned(), traffic);
        }
        status
    }
}

fn response(status: StatusCode, content_type: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static(content_type),
    );
    response
}

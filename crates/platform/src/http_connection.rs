//! One HTTP/1 connection, driven by the request that uses it.

use crate::http_client::HttpRequest;
use async_io::Async;
use futures_lite::{FutureExt, future};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use smol_hyper::rt::FuturesIo;
use std::fmt;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Maximum size of one response body. A list of all manifest sections may be many times the maximum size of one value
/// (1 MB).
const MAX_RESPONSE_BODY_BYTES: usize = 64 << 20;

type HttpStream = FuturesIo<Async<TcpStream>>;

/// An open connection: the handle that sends requests, and the future that performs the I/O.
pub(crate) struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Connection<HttpStream, Full<Bytes>>,
    /// When the connection was opened or the last response ended.
    used_at: Instant,
    /// Time from the last request to the end of its response.
    response_time: Duration,
}

/// A complete response.
#[derive(Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body, at most 64 MiB.
    pub body: Bytes,
}

/// Why a request has no response. The texts are causes for the log.
#[derive(Debug)]
pub enum HttpError {
    /// The request was not sent, so the server has not handled it.
    NotSent(String),
    /// The request may have been sent and handled.
    ResponseLost(String),
}

impl HttpConnection {
    /// Opens a TCP connection to `address` and starts HTTP/1 on it.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, HttpError> {
        let stream = Async::<TcpStream>::connect(address)
            .await
            .map_err(|e| HttpError::NotSent(format!("cannot connect: {e}")))?;
        if let Err(e) = stream.get_ref().set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY: {e}");
        }
        let (sender, driver) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(|e| HttpError::NotSent(format!("HTTP handshake failed: {e}")))?;
        Ok(Self {
            sender,
            driver,
            used_at: Instant::now(),
            response_time: Duration::ZERO,
        })
    }

    /// Time from the last request to the end of its response.
    pub(crate) const fn response_time(&self) -> Duration {
        self.response_time
    }

    /// Time since the last response.
    pub(crate) fn idle_for(&self) -> Duration {
        self.used_at.elapsed()
    }

    /// Whether the server still keeps the connection open.
    pub(crate) async fn is_usable(&mut self) -> bool {
        !self.sender.is_closed()
            && future::poll_once(&mut self.driver).await.is_none()
            && self.sender.is_ready()
    }

    /// Sends one request and reads the whole response.
    pub(crate) async fn send(&mut self, request: &HttpRequest<'_>) -> Result<HttpResponse, HttpError> {
        let body = request
            .value
            .map_or_else(Bytes::new, |v| Bytes::from(v.to_string()));
        let mut req = Request::builder()
            .method(request.method.clone())
            .uri(request.path)
            .header("host", "platform")
            .header("content-type", "application/json");
        for (name, value) in request.headers {
            req = req.header(*name, value);
        }
        let req = req
            .body(Full::new(body))
            .map_err(|e| HttpError::NotSent(format!("cannot build the request: {e}")))?;
        let Self {
            sender,
            driver,
            used_at,
            response_time,
        } = self;
        let started = Instant::now();
        let exchange = async {
            let (head, body) = sender
                .send_request(req)
                .await
                .map_err(|e| send_error(&e))?
                .into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BODY_BYTES)
                .collect()
                .await
                .map_err(|e| HttpError::ResponseLost(format!("cannot read the response body: {e}")))?
                .to_bytes();
            Ok(HttpResponse {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        let drive = async {
            // The exchange reports why the connection ended, so this future never completes itself.
            if let Err(e) = driver.await {
                log::debug!("HTTP connection failed: {e}");
            }
            future::pending().await
        };
        let response = exchange.or(drive).await;
        *used_at = Instant::now();
        *response_time = used_at.duration_since(started);
        response
    }
}

impl fmt::Debug for HttpConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpConnection").finish_non_exhaustive()
    }
}

/// Classifies an error of `send_request`. A cancelled request was never written to the connection.
fn send_error(e: &hyper::Error) -> HttpError {
    if e.is_canceled() {
        return HttpError::NotSent(format!("request was cancelled: {e}"));
    }
    HttpError::ResponseLost(format!("request failed: {e}"))
}

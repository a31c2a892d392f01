//! One HTTP/1 connection to the platform, driven by the call that uses it.

use crate::http_client::HttpRequest;
use async_io::Async;
use futures_lite::{FutureExt, future};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{Request, StatusCode};
use smol_hyper::rt::FuturesIo;
use std::fmt;
use std::net::{SocketAddr, TcpStream};

/// Bound of one answer. A list of all manifest sections may be many times the bound of one value (1 MB).
const MAX_ANSWER_BYTES: usize = 64 << 20;

type Io = FuturesIo<Async<TcpStream>>;

/// A connection and the sender of its requests.
pub(crate) struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Connection<Io, Full<Bytes>>,
}

/// An answer of the platform.
#[derive(Debug)]
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Debug)]
pub enum HttpError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have been handled.
    ResponseLost(String),
}

impl HttpConnection {
    /// Connects to the platform.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, HttpError> {
        let stream = Async::<TcpStream>::connect(address)
            .await
            .map_err(|e| HttpError::NotSent(format!("cannot connect: {e}")))?;
        if let Err(e) = stream.get_ref().set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY: {e}");
        }
        let (sender, driver) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(|e| HttpError::NotSent(format!("handshake: {e}")))?;
        Ok(Self { sender, driver })
    }

    /// Whether the other end still holds the connection open.
    pub(crate) async fn is_usable(&mut self) -> bool {
        !self.sender.is_closed()
            && future::poll_once(&mut self.driver).await.is_none()
            && self.sender.is_ready()
    }

    /// Sends one request and reads its whole answer.
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
            .map_err(|e| HttpError::NotSent(format!("request: {e}")))?;
        let Self { sender, driver } = self;
        let exchange = async {
            let (head, body) = sender
                .send_request(req)
                .await
                .map_err(|e| after(&e))?
                .into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|e| HttpError::ResponseLost(format!("answer: {e}")))?
                .to_bytes();
            Ok(HttpResponse {
                status: head.status,
                body,
            })
        };
        let drive = async {
            // The exchange sees why the connection ended, also when both are ready at the same time.
            if let Err(e) = driver.await {
                log::debug!("connection to the platform: {e}");
            }
            future::pending().await
        };
        exchange.or(drive).await
    }
}

impl fmt::Debug for HttpConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpConnection").finish_non_exhaustive()
    }
}

fn after(e: &hyper::Error) -> HttpError {
    if e.is_canceled() {
        return HttpError::NotSent(format!("request: {e}"));
    }
    HttpError::ResponseLost(format!("request: {e}"))
}

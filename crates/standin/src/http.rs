//! HTTP/1 server shared by the platform stand-in and the admin interface of the group stand-in.

use crate::runtime::SharedExecutor;
use async_io::Async;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::Value;
use smol_hyper::rt::FuturesIo;
use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use thiserror::Error;

/// Larger request bodies are answered with 413. Leaves room above the 1 MB limit of a platform value, so that the
/// platform stand-in can reject a value with its own error.
const MAX_REQUEST_BODY_BYTES: usize = 4 << 20;

/// A request with its decoded query parameters.
#[derive(Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query string, percent-decoded.
    pub path: String,
    /// Query parameters, percent-decoded; parameters without `=` are left out.
    pub query: HashMap<String, String>,
    /// Complete request body.
    pub body: Bytes,
}

/// A response with a JSON body.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Serialized JSON.
    pub body: String,
}

/// Returned by a handler to close the connection without a response, as when a response is lost on the network.
#[derive(Debug, Error)]
#[error("response dropped by an injected fault")]
pub struct DroppedResponse;

/// The endpoints of a server.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    ///
    /// # Errors
    /// [`DroppedResponse`] when the client must get no response.
    fn handle(&self, req: HttpRequest) -> impl Future<Output = Result<HttpResponse, DroppedResponse>> + Send;
}

impl HttpResponse {
    /// A response with status 200.
    pub fn ok(body: &Value) -> Self {
        Self::new(StatusCode::OK, body)
    }

    /// A response with any status.
    pub fn new(status: StatusCode, body: &Value) -> Self {
        Self {
            status,
            body: body.to_string(),
        }
    }

    /// An error response; its body is `{"error": reason}`.
    pub fn err(status: StatusCode, reason: &str) -> Self {
        Self::new(status, &serde_json::json!({ "error": reason }))
    }
}

impl HttpRequest {
    /// A query parameter as a number, `None` when it is missing or malformed.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// A query parameter as text, empty when it is missing.
    pub fn query_text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    /// Reads the whole request; `None` when its body is too large or the connection fails.
    async fn read(req: Request<Incoming>) -> Option<Self> {
        let (head, body) = req.into_parts();
        let body = Limited::new(body, MAX_REQUEST_BODY_BYTES)
            .collect()
            .await
            .ok()?
            .to_bytes();
        let pairs = head.uri.query().unwrap_or("").split('&');
        Some(Self {
            method: head.method,
            path: percent_decode(head.uri.path()),
            query: pairs
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (percent_decode(name), percent_decode(value)))
                .collect(),
            body,
        })
    }
}

/// Serves HTTP connections until the process ends.
pub async fn serve<H>(ex: SharedExecutor, listener: Async<TcpListener>, handler: Arc<H>)
where
    H: Handler,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => ex.spawn(serve_connection(stream, Arc::clone(&handler))).detach(),
            Err(e) => log::warn!("cannot accept an HTTP connection: {e}"),
        }
    }
}

async fn serve_connection<H>(stream: Async<TcpStream>, handler: Arc<H>)
where
    H: Handler,
{
    let service = service_fn(move |req| {
        let handler = Arc::clone(&handler);
        async move {
            let reply = match HttpRequest::read(req).await {
                Some(req) => handler.handle(req).await?,
                None => HttpResponse::err(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            };
            let mut response = Response::new(Full::new(Bytes::from(reply.body)));
            *response.status_mut() = reply.status;
            Ok::<_, DroppedResponse>(response)
        }
    });
    if let Err(e) = http1::Builder::new()
        .serve_connection(FuturesIo::new(stream), service)
        .await
    {
        log::debug!("HTTP connection failed: {e}");
    }
}

/// Decodes percent-encoded bytes; malformed sequences are copied unchanged.
fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut i = 0;
    while i < bytes.len() {
        let code = (bytes[i] == b'%')
            .then(|| text.get(i + 1..i + 3))
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        decoded.push(code.unwrap_or(bytes[i]));
        i += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

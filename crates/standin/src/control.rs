//! HTTP client for the fault and status endpoints of the stand-ins and the admin interface of the daemons.

use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use smol_hyper::rt::FuturesIo;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use thiserror::Error;

/// Bounds one call, from connecting to the end of the response body.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a call failed.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The connection could not be opened, or the call timed out.
    #[error("cannot reach {address}")]
    Io {
        /// Server address.
        address: SocketAddr,
        /// Underlying error.
        #[source]
        source: io::Error,
    },
    /// The connection broke before the response was complete.
    #[error("HTTP exchange with {address} failed")]
    Http {
        /// Server address.
        address: SocketAddr,
        /// Underlying error.
        #[source]
        source: hyper::Error,
    },
    /// The server answered with an error status, or the path is no valid URI.
    #[error("{path}: {status}: {body}")]
    ErrorStatus {
        /// Path and query of the request.
        path: String,
        /// HTTP status.
        status: StatusCode,
        /// Response body, which explains the error.
        body: String,
    },
}

/// Sends one request on a new connection and returns the body of the response.
///
/// # Errors
/// When no response arrives within 10 seconds, or its status is no success.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Result<String, ControlError> {
    let timeout = async {
        Timer::after(CALL_TIMEOUT).await;
        let source = io::ErrorKind::TimedOut.into();
        Err(ControlError::Io { address, source })
    };
    exchange(address, method, path, body).or(timeout).await
}

async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Result<String, ControlError> {
    let http = |source| ControlError::Http { address, source };
    let stream = Async::<TcpStream>::connect(address)
        .await
        .map_err(|source| ControlError::Io { address, source })?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await.map_err(http)?;
    let mut req = Request::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().map_err(|_malformed| ControlError::ErrorStatus {
        path: path.to_owned(),
        status: StatusCode::URI_TOO_LONG,
        body: "malformed path".to_owned(),
    })?;
    req.headers_mut()
        .insert("host", hyper::header::HeaderValue::from_static("control"));
    let response = async {
        let (head, body) = sender.send_request(req).await.map_err(http)?.into_parts();
        let body = body.collect().await.map_err(http)?.to_bytes();
        Ok((head.status, String::from_utf8_lossy(&body).into_owned()))
    };
    let drive_connection = async {
        if let Err(e) = connection.await {
            log::debug!("connection to {address} failed: {e}");
        }
        future::pending().await
    };
    let (status, body) = response.or(drive_connection).await?;
    if status.is_success() {
        Ok(body)
    } else {
        let path = path.to_owned();
        Err(ControlError::ErrorStatus { path, status, body })
    }
}

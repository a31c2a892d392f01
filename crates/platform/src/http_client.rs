//! HTTP/1 client for one address.
//!
//! Each request has exclusive use of a connection and drives its I/O, so no executor is needed. After the response, the
//! connection is kept for the next request.

use crate::http_connection::{HttpConnection, HttpError, HttpResponse};
use async_io::Timer;
use futures_lite::FutureExt;
use hyper::Method;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// Idle connections kept for reuse. The control thread makes only a few concurrent requests.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// A request to the address of the client.
#[derive(Debug, Clone)]
pub struct HttpRequest<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path and query string, percent-encoded.
    pub path: &'a str,
    /// Additional headers; `host` and `content-type` are always sent.
    pub headers: &'a [(&'static str, String)],
    /// Body, sent as JSON; empty when absent.
    pub value: Option<&'a Value>,
}

impl<'a> HttpRequest<'a> {
    /// Creates a request without a body or additional headers.
    pub const fn new(method: Method, path: &'a str) -> Self {
        Self {
            method,
            path,
            headers: &[],
            value: None,
        }
    }
}

/// An HTTP/1 client with a small pool of connections to one address.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle: Mutex<Vec<HttpConnection>>,
}

impl HttpClient {
    /// Creates a client that connects to `address` on the first request.
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request and returns the whole response, within `timeout`.
    ///
    /// # Errors
    ///
    /// [`HttpError`] tells whether the server may have handled the request.
    pub async fn execute(&self, req: &HttpRequest<'_>, timeout: Duration) -> Result<HttpResponse, HttpError> {
        let idle = self.take_idle().await;
        let idle_for = idle.as_ref().map(HttpConnection::idle_for);
        let deadline = Timer::after(timeout);
        let mut sent = false;
        let outcome = async {
            let mut conn = match idle {
                Some(conn) => conn,
                None => HttpConnection::open(self.address).await?,
            };
            sent = true;
            let response = conn.send(req).await?;
            Ok((conn, response))
        }
        .or(async {
            deadline.await;
            Err(HttpError::ResponseLost(no_response(timeout, idle_for)))
        })
        .await;
        match outcome {
            Ok((conn, response)) => {
                self.keep_idle(conn);
                Ok(response)
            }
            Err(error) => {
                // What broke this connection, such as a restart of the server, may have broken the idle ones too.
                self.idle.lock().expect("the idle list is not poisoned").clear();
                match error {
                    HttpError::ResponseLost(reason) if !sent => Err(HttpError::NotSent(reason)),
                    error => Err(error),
                }
            }
        }
    }

    /// Takes an idle connection that the server has not closed, and discards closed ones.
    async fn take_idle(&self) -> Option<HttpConnection> {
        loop {
            let mut conn = self.idle.lock().expect("the idle list is not poisoned").pop()?;
            if conn.is_usable().await {
                return Some(conn);
            }
        }
    }

    /// Returns a connection to the pool, or closes it when the pool is full.
    fn keep_idle(&self, conn: HttpConnection) {
        let mut idle = self.idle.lock().expect("the idle list is not poisoned");
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(conn);
        }
    }
}

/// Text of a timeout. It tells a connection that was lost while it was idle from a server that does not respond.
fn no_response(timeout: Duration, idle_for: Option<Duration>) -> String {
    match idle_for {
        Some(idle_for) => {
            let idle_ms = idle_for.as_millis();
            format!("no response within {timeout:?} on a connection that had been idle for {idle_ms} ms")
        }
        None => format!("no response within {timeout:?} on a new connection"),
    }
}

//! Calls over HTTP/1 to one address.
//!
//! Each call has the connection for itself and drives it, so no executor is needed. A connection whose call has
//! finished is kept for the next call.

use crate::http_connection::{HttpConnection, HttpError, HttpResponse};
use async_io::Timer;
use futures_lite::FutureExt;
use hyper::Method;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// Connections kept for reuse. The control thread has a few calls at the same time.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// One call.
#[derive(Debug, Clone)]
pub struct HttpRequest<'a> {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub path: &'a str,
    /// Headers beside those that each call has.
    pub headers: &'a [(&'static str, String)],
    /// Body, sent as JSON.
    pub value: Option<&'a Value>,
}

impl<'a> HttpRequest<'a> {
    /// A call without a body.
    pub const fn new(method: Method, path: &'a str) -> Self {
        Self {
            method,
            path,
            headers: &[],
            value: None,
        }
    }
}

/// A client of one address.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle: Mutex<Vec<HttpConnection>>,
}

impl HttpClient {
    /// A client that connects to `address` at the first call.
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// [`HttpError`] tells whether the other end may have handled the call.
    pub async fn execute(&self, req: &HttpRequest<'_>, timeout: Duration) -> Result<HttpResponse, HttpError> {
        let idle = self.take_idle().await;
        let deadline = Timer::after(timeout);
        let mut sent = false;
        let outcome = async {
            let mut conn = match idle {
                Some(conn) => conn,
                None => HttpConnection::open(self.address).await?,
            };
            sent = true;
            let answer = conn.send(req).await?;
            Ok((conn, answer))
        }
        .or(async {
            deadline.await;
            Err(HttpError::ResponseLost(format!("no answer within {timeout:?}")))
        })
        .await;
        match outcome {
            Ok((conn, answer)) => {
                self.keep(conn);
                Ok(answer)
            }
            Err(lost) => {
                // Connections that were opened before may be as dead as this one.
                self.idle.lock().expect("no panic under this lock").clear();
                match lost {
                    HttpError::ResponseLost(reason) if !sent => Err(HttpError::NotSent(reason)),
                    lost => Err(lost),
                }
            }
        }
    }

    /// An idle connection that the other end has not closed meanwhile.
    async fn take_idle(&self) -> Option<HttpConnection> {
        loop {
            let mut conn = self.idle.lock().expect("no panic under this lock").pop()?;
            if conn.is_usable().await {
                return Some(conn);
            }
        }
    }

    fn keep(&self, conn: HttpConnection) {
        let mut idle = self.idle.lock().expect("no panic under this lock");
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(conn);
        }
    }
}

//! HTTP/1 client for one address.
//!
//! Each request has exclusive use of a connection and drives its I/O, so no executor is needed. After the response, the
//! connection is kept for the next request.
//!
//! An idle connection may have been lost without a trace. A read on one that does not respond is sent on a new
//! connection too, and a write, which must not be sent twice, uses only a connection that has responded lately.

use crate::PlatformError;
use crate::http_connection::{HttpConnection, HttpError, HttpResponse};
use async_io::Timer;
use futures_lite::{FutureExt, future};
use hyper::Method;
use serde_json::Value;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Idle connections kept for reuse. The control thread makes only a few concurrent requests.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Shortest time without a response after which a read on a reused connection is sent on a new one too.
const MIN_READ_PATIENCE: Duration = Duration::from_millis(300);
/// The same time in response times of the last request, so that a slow server does not get each read twice.
const READ_PATIENCE_RESPONSES: u32 = 2;
/// Longest idle time of a connection on which a write is sent.
const MAX_IDLE_BEFORE_WRITE: Duration = Duration::from_millis(500);

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
    /// Whether the server may hold the response back, as for a watch. Such a request is not repeated.
    pub may_wait: bool,
}

impl<'a> HttpRequest<'a> {
    /// Creates a request without a body or additional headers.
    pub const fn new(method: Method, path: &'a str) -> Self {
        Self {
            method,
            path,
            headers: &[],
            value: None,
            may_wait: false,
        }
    }

    fn is_repeatable(&self) -> bool {
        self.method == Method::GET && !self.may_wait
    }
}

/// Connections without a request.
#[derive(Debug)]
struct IdleConnections {
    /// The one used last comes last.
    connections: Vec<HttpConnection>,
    /// Time to the last response.
    response_time: Duration,
}

/// An HTTP/1 client with a small pool of connections to one address.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle: Mutex<IdleConnections>,
}

impl HttpClient {
    /// Creates a client that connects to `address` on the first request.
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::new(IdleConnections {
                connections: Vec::new(),
                response_time: Duration::ZERO,
            }),
        }
    }

    /// Sends a read and returns the whole response, within `timeout`. Since a read changes nothing, it does not matter
    /// whether it was handled.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unavailable`] if there is no response.
    pub async fn read(
        &self,
        req: &HttpRequest<'_>,
        timeout: Duration,
    ) -> Result<HttpResponse, PlatformError> {
        self.execute(req, timeout).await.map_err(|error| match error {
            HttpError::NotSent(reason) | HttpError::ResponseLost(reason) => {
                PlatformError::Unavailable { reason }
            }
        })
    }

    /// Sends a request and returns the whole response, within `timeout`. A read may be sent twice, a write is sent once.
    ///
    /// # Errors
    ///
    /// [`HttpError`] tells whether the server may have handled the request.
    pub async fn execute(&self, req: &HttpRequest<'_>, timeout: Duration) -> Result<HttpResponse, HttpError> {
        let max_idle = if req.is_repeatable() {
            Duration::MAX
        } else {
            MAX_IDLE_BEFORE_WRITE
        };
        let idle = self.take_idle(max_idle).await;
        let idle_for = idle.as_ref().map(HttpConnection::idle_for);
        let deadline = Timer::after(timeout);
        let sent = AtomicBool::new(idle.is_some());
        // Boxed, since it holds two connections and would make the futures of all callers large.
        let exchange = Box::pin(async {
            match idle {
                Some(conn) if req.is_repeatable() => self.read_on_reused(conn, req, &sent).await,
                Some(conn) => exchange(conn, req).await,
                None => self.exchange_on_new(req, &sent).await,
            }
        });
        let outcome = exchange
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
                self.lock_idle().connections.clear();
                match error {
                    HttpError::ResponseLost(reason) if !sent.load(Ordering::Relaxed) => {
                        Err(HttpError::NotSent(reason))
                    }
                    error => Err(error),
                }
            }
        }
    }

    /// Reads on a connection that was idle, and on a new one when that fails or does not respond in the usual time.
    async fn read_on_reused(
        &self,
        conn: HttpConnection,
        req: &HttpRequest<'_>,
        sent: &AtomicBool,
    ) -> Result<(HttpConnection, HttpResponse), HttpError> {
        let patience = self.read_patience();
        let mut reused = pin!(exchange(conn, req));
        let in_time = async { Some(reused.as_mut().await) };
        let too_late = async {
            Timer::after(patience).await;
            None
        };
        match in_time.or(too_late).await {
            Some(Ok(done)) => return Ok(done),
            Some(Err(e)) => {
                log::debug!("a read on a reused connection failed; it is sent on a new one: {e:?}");
                return self.exchange_on_new(req, sent).await;
            }
            None => log::debug!("no response on a reused connection for {patience:?}; trying a new one"),
        }
        // The other idle connections may have gone silent with this one.
        self.lock_idle().connections.clear();
        let reused = async {
            match reused.await {
                Ok(done) => Ok(done),
                // The new connection decides.
                Err(_) => future::pending().await,
            }
        };
        reused.or(self.exchange_on_new(req, sent)).await
    }

    async fn exchange_on_new(
        &self,
        req: &HttpRequest<'_>,
        sent: &AtomicBool,
    ) -> Result<(HttpConnection, HttpResponse), HttpError> {
        let conn = HttpConnection::open(self.address).await?;
        sent.store(true, Ordering::Relaxed);
        exchange(conn, req).await
    }

    fn read_patience(&self) -> Duration {
        let response_time = self.lock_idle().response_time;
        MIN_READ_PATIENCE.max(response_time * READ_PATIENCE_RESPONSES)
    }

    /// Takes the connection used last if it has been idle for at most `max_idle`, and discards those that the server
    /// has closed.
    async fn take_idle(&self, max_idle: Duration) -> Option<HttpConnection> {
        loop {
            let mut conn = {
                let mut idle = self.lock_idle();
                let recent = idle.connections.pop_if(|c| c.idle_for() <= max_idle);
                recent?
            };
            if conn.is_usable().await {
                return Some(conn);
            }
        }
    }

    /// Returns a connection to the pool, or closes it when the pool is full.
    fn keep_idle(&self, conn: HttpConnection) {
        let mut idle = self.lock_idle();
        idle.response_time = conn.response_time();
        if idle.connections.len() < MAX_IDLE_CONNECTIONS {
            idle.connections.push(conn);
        }
    }

    fn lock_idle(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().expect("the idle list is not poisoned")
    }
}

async fn exchange(
    mut conn: HttpConnection,
    req: &HttpRequest<'_>,
) -> Result<(HttpConnection, HttpResponse), HttpError> {
    let response = conn.send(req).await?;
    Ok((conn, response))
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

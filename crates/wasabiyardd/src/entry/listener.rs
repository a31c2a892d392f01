//! Accepts connections of callers.

use super::{CallerGuard, Entry, backend, login, transport};
use crate::counters::{self, Counter};
use crate::snapshot::AdmissionState;
use async_io::{Async, Timer};
use futures_lite::future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use transport::{CallerIo, CallerStream};

/// Delay after a failed accept or bind. A failed accept usually means that the process has no free file descriptor,
/// which passes when connections close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time to send the last message to a caller and close its connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Listens for callers until it is dropped.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    _task: async_executor::Task<()>,
}

impl Listener {
    /// Binds `[listen] callers` and starts to accept.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn open(entry: &Arc<Entry>) -> io::Result<Self> {
        let socket = Async::<TcpListener>::bind(entry.settings.listen.callers)?;
        let address = socket.get_ref().local_addr()?;
        let task = entry.executor.spawn(accept(socket, address, Arc::clone(entry)));
        Ok(Self { address, _task: task })
    }

    /// The bound address, with the port that the system chose when the settings say 0.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Accepts callers. While the instance drains or is out of service the port is closed, so that callers and load
/// balancers notice at once and use another instance.
async fn accept(socket: Async<TcpListener>, address: SocketAddr, entry: Arc<Entry>) {
    let mut socket = Some(socket);
    loop {
        let changes = entry.drain_notifier.subscribe();
        if !accepts_callers(&entry) {
            socket = None;
        } else if socket.is_none() {
            socket = reopen(address).await;
        }
        let changed = async {
            // The channel carries no messages; it is closed at the next change.
            let _closed = changes.recv().await;
        };
        match &socket {
            Some(socket) => future::or(changed, accept_all(socket, &entry)).await,
            None => changed.await,
        }
    }
}

fn accepts_callers(entry: &Entry) -> bool {
    let admission = entry.snapshots.load().admission;
    !matches!(admission, AdmissionState::OutOfService | AdmissionState::Draining)
}

async fn reopen(address: SocketAddr) -> Option<Async<TcpListener>> {
    loop {
        match Async::<TcpListener>::bind(address) {
            Ok(socket) => return Some(socket),
            Err(e) => {
                log::warn!(error:% = e; "cannot reopen the callers' port; retrying");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn accept_all(socket: &Async<TcpListener>, entry: &Arc<Entry>) {
    loop {
        match socket.accept().await {
            Ok((stream, _peer)) => entry.executor.spawn(serve(Arc::clone(entry), stream)).detach(),
            Err(e) => {
                log::warn!(error:% = e; "cannot accept a caller's connection; retrying");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(entry: Arc<Entry>, stream: Async<TcpStream>) {
    // Responses are small; Nagle's algorithm would delay them to fill a segment.
    if stream.get_ref().set_nodelay(true).is_err() {
        return;
    }
    let Some(guard) = CallerGuard::acquire(&entry) else {
        counters::add(Counter::CallersRefused, 1);
        refuse(stream).await;
        return;
    };
    counters::add(Counter::CallersAccepted, 1);
    login::serve(entry, CallerIo::new(CallerStream::Plain(stream))).await;
    drop(guard);
}

async fn refuse(stream: Async<TcpStream>) {
    let mut io = CallerIo::new(CallerStream::Plain(stream));
    backend::error_response(
        &mut io.output,
        backend::Severity::Fatal,
        "53300",
        "this instance has no room for more callers",
    );
    close(&mut io).await;
}

/// Sends buffered output and closes the connection, within [`CLOSE_TIMEOUT`].
pub(super) async fn close(io: &mut CallerIo) {
    let timeout = async {
        Timer::after(CLOSE_TIMEOUT).await;
    };
    future::or(io.close(), timeout).await;
}

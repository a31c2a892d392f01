//! Accepts callers.

use super::{CallerGuard, Entry, backend, login, transport};
use crate::counters::{self, Counter};
use crate::snapshot::Admission;
use async_io::{Async, Timer};
use futures_lite::future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use transport::{CallerIo, CallerStream};

/// Wait after a failed accept. The usual cause is that the process has no free file descriptor, which passes.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for the last words to a caller.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Listens for callers until it is dropped.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    _task: async_executor::Task<()>,
}

impl Listener {
    /// Opens the port and starts to accept.
    ///
    /// # Errors
    ///
    /// When the port cannot be opened.
    pub fn open(entry: &Arc<Entry>) -> io::Result<Self> {
        let socket = Async::<TcpListener>::bind(entry.settings.listen.callers)?;
        let address = socket.get_ref().local_addr()?;
        let task = entry.executor.spawn(accept(socket, address, Arc::clone(entry)));
        Ok(Self { address, _task: task })
    }

    /// The address that it listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Accepts callers. While the instance is out of service the port is closed, so that callers and balancers see it at
/// once and go elsewhere.
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
            // Receiving fails at the next change.
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
    !matches!(admission, Admission::OutOfService | Admission::Draining)
}

async fn reopen(address: SocketAddr) -> Option<Async<TcpListener>> {
    loop {
        match Async::<TcpListener>::bind(address) {
            Ok(socket) => return Some(socket),
            Err(e) => {
                log::warn!(error:% = e; "the port of callers cannot be opened again");
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
                log::warn!(error:% = e; "a caller's connection could not be accepted");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(entry: Arc<Entry>, stream: Async<TcpStream>) {
    // Answers are small and must not wait for more data to fill a segment.
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

/// Sends what is left and closes, within [`CLOSE_TIMEOUT`].
pub(super) async fn close(io: &mut CallerIo) {
    let timeout = async {
        Timer::after(CLOSE_TIMEOUT).await;
    };
    future::or(io.close(), timeout).await;
}

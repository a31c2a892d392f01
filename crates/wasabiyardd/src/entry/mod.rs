//! The entry: callers' connections, from the first byte to the answer.
//!
//! One task serves one caller. It authenticates the caller, answers statements about session variables itself, and
//! carries each transaction in a stream to the home of its database.

mod backend;
mod block;
mod cancel;
mod drain_notifier;
mod frontend;
mod home_stream;
mod identity;
mod lazy_timer;
mod listener;
mod local;
mod login;
mod outcome;
mod prepared_statements;
mod relay;
mod request;
mod response_filter;
mod session;
mod startup;
mod transaction;
mod transport;
mod variables;

pub use cancel::CancelTable;
pub use drain_notifier::DrainNotifier;
pub use frontend::{Frame, FrameError};
pub use listener::Listener;
pub use outcome::{Completed, Failure, Sent, Unsent};
pub use startup::{InitialMessage, Startup};
pub use variables::{LocalStatement, StatementKind, TransactionEnd, Variable, classify, ends_transaction};

use crate::channel::StreamEnd;
use crate::link::{Links, ServeStream};
use crate::rates::Try;
use crate::settings::Settings;
use crate::snapshot::{Home, SnapshotCell};
use async_executor::Executor;
use futures_rustls::TlsAcceptor;
use home_stream::{HomeStream, LocalHome};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use wasabiyard_model::{NotRun, Time};
use wasabiyard_wire::{OpenStream, StreamId};

/// Takes one statement from the rate of an organisation.
pub type RateLimiter = Arc<dyn Fn(&str, Try, Time) -> Result<(), NotRun> + Send + Sync>;

/// What all callers' tasks share.
pub struct Entry {
    /// Settings.
    pub settings: Arc<Settings>,
    /// The newest snapshot.
    pub snapshots: Arc<SnapshotCell>,
    /// The home in this process.
    pub serve_local: ServeStream,
    /// Links to other instances.
    pub links: Links,
    /// Rate limits.
    pub rate_limiter: RateLimiter,
    /// Cancel keys.
    pub cancels: Arc<CancelTable>,
    /// Ends idle callers.
    pub drain_notifier: Arc<DrainNotifier>,
    /// TLS, when it is set up.
    pub tls: Option<TlsAcceptor>,
    /// Runs callers' tasks.
    pub executor: Arc<Executor<'static>>,
    /// Connected callers.
    pub callers: AtomicUsize,
    /// Number of the last request.
    pub requests: AtomicU64,
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("callers", &self.callers)
            .field("requests", &self.requests)
            .finish_non_exhaustive()
    }
}

impl Entry {
    /// Connected callers.
    pub fn caller_count(&self) -> usize {
        self.callers.load(Ordering::Relaxed)
    }

    fn next_request_number(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Opens a stream to a home.
    fn open_stream(
        self: &Arc<Self>,
        home: &Home,
        id: StreamId,
        open: OpenStream,
    ) -> Result<HomeStream, NotRun> {
        if !home.local {
            let database = open.database.clone();
            let (id, end) = self.links.open(home.address, id, open)?;
            return Ok(HomeStream::new(id, end, &database, None));
        }
        let database = open.database.clone();
        let (entry_end, home_end) = StreamEnd::pair();
        let serve = (self.serve_local)(id, open, home_end);
        let local = LocalHome::new(Arc::clone(&self.executor), serve);
        Ok(HomeStream::new(id, entry_end, &database, Some(local)))
    }
}

/// Counts a caller for as long as it is connected.
#[derive(Debug)]
struct CallerGuard(Arc<Entry>);

impl CallerGuard {
    /// `None` when no more callers are taken.
    fn acquire(entry: &Arc<Entry>) -> Option<Self> {
        let max = entry.settings.traffic.max_callers;
        let taken = entry.callers.fetch_add(1, Ordering::AcqRel);
        let guard = Self(Arc::clone(entry));
        (taken < max).then_some(guard)
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.0.callers.fetch_sub(1, Ordering::AcqRel);
    }
}

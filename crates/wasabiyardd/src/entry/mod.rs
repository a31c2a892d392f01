//! The entry: callers' connections, from the first byte to the answer.
//!
//! One task serves one caller. It authenticates the caller, answers statements about session variables itself, and
//! carries each transaction in a stream to the home of its database.

mod answer;
mod backend;
mod block;
mod boundary;
mod cancel;
mod exchange;
mod frontend;
mod identity;
mod lazy_timer;
mod listener;
mod local;
mod login;
mod outcome;
mod relay;
mod request;
mod session;
mod startup;
mod statements;
mod transaction;
mod transport;
mod variables;

pub use boundary::Boundary;
pub use cancel::CancelTable;
pub use frontend::{Frame, FrameError};
pub use listener::Listener;
pub use outcome::{Completed, Failure, Sent, Unsent};
pub use startup::{Opening, Startup};
pub use variables::{Classified, LocalStatement, TransactionEnd, Variable, classify, ends_transaction};

use crate::channel::StreamEnd;
use crate::link::{Links, ServeStream};
use crate::rates::Attempt;
use crate::settings::Settings;
use crate::snapshot::{Home, SnapshotCell};
use async_executor::Executor;
use exchange::{Exchange, LocalHome};
use futures_rustls::TlsAcceptor;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use wasabiyard_model::{NotRun, Time};
use wasabiyard_wire::{OpenStream, StreamId};

/// Takes one statement from the rate of an organisation.
pub type TakeRate = Arc<dyn Fn(&str, Attempt, Time) -> Result<(), NotRun> + Send + Sync>;

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
    pub take_rate: TakeRate,
    /// Cancel keys.
    pub cancels: Arc<CancelTable>,
    /// Ends idle callers.
    pub boundary: Arc<Boundary>,
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

    fn next_request(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Opens a stream to a home.
    fn open_stream(
        self: &Arc<Self>,
        home: &Home,
        id: StreamId,
        open: OpenStream,
    ) -> Result<Exchange, NotRun> {
        if !home.local {
            let database = open.database.clone();
            let (id, end) = self.links.open(home.address, id, open)?;
            return Ok(Exchange::new(id, end, &database, None));
        }
        let database = open.database.clone();
        let (entry_end, home_end) = StreamEnd::pair();
        let serve = (self.serve_local)(id, open, home_end);
        let local = LocalHome::new(Arc::clone(&self.executor), serve);
        Ok(Exchange::new(id, entry_end, &database, Some(local)))
    }
}

/// Counts a caller for as long as it is connected.
#[derive(Debug)]
struct CallerGuard(Arc<Entry>);

impl CallerGuard {
    /// `None` when no more callers are taken.
    fn take(entry: &Arc<Entry>) -> Option<Self> {
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

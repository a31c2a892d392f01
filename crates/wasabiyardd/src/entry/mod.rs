//! The entry: the part of an instance that serves `PostgreSQL` client connections ("callers").
//!
//! Each caller has one task. It authenticates the caller, answers statements about the `wasabiyard.*` session variables
//! itself, and relays each transaction over a stream to the home of its database. The home is the instance that holds
//! the connections to the database's backend servers ("slots"); it may be in this process or behind a link.

mod backend;
mod block;
mod caller_identity;
mod cancel;
mod drain_notifier;
mod frontend;
mod home_stream;
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
pub use outcome::{Completed, Failure, SentRequest, UnsentRequest};
pub use startup::{InitialMessage, Startup};
pub use variables::{LocalStatement, StatementKind, TransactionEnd, Variable, classify, ends_transaction};

use crate::channel::StreamEndpoint;
use crate::link::{Links, ServeStream};
use crate::rates::TokenAttempt;
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

/// Takes one token, which pays for one statement, from the rate limit of an organisation.
pub type TakeToken = Arc<dyn Fn(&str, TokenAttempt, Time) -> Result<(), NotRun> + Send + Sync>;

/// State shared by the tasks of all callers.
pub struct Entry {
    /// Settings of this instance.
    pub settings: Arc<Settings>,
    /// Source of the newest snapshot: admission, manifest and homes.
    pub snapshots: Arc<SnapshotCell>,
    /// Serves streams of databases whose home is this process.
    pub serve_local: ServeStream,
    /// Links to other instances, for databases whose home is there.
    pub links: Links,
    /// Rate limits of organisations, checked for each statement.
    pub take_token: TakeToken,
    /// Sessions by the key that a `CancelRequest` presents.
    pub cancels: Arc<CancelTable>,
    /// Wakes sessions that may have to end, and decides whether they do.
    pub drain_notifier: Arc<DrainNotifier>,
    /// `None` without a certificate in the settings; requests for TLS are then answered with `N`.
    pub tls: Option<TlsAcceptor>,
    /// Runs the tasks of callers, and homes in this process whose caller is gone.
    pub executor: Arc<Executor<'static>>,
    /// Number of connected callers.
    pub callers: AtomicUsize,
    /// Number of the last request. Request numbers are part of stream ids.
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
    /// Number of connected callers, logins included.
    pub fn caller_count(&self) -> usize {
        self.callers.load(Ordering::Relaxed)
    }

    fn next_request_number(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Opens a stream to the home, in this process or over a link. Refuses when a link cannot accept it.
    fn open_stream(
        self: &Arc<Self>,
        home: &Home,
        id: StreamId,
        open: OpenStream,
    ) -> Result<HomeStream, NotRun> {
        if !home.local {
            let database = open.database.clone();
            let (id, endpoint) = self.links.open(home.address, id, open)?;
            return Ok(HomeStream::new(id, endpoint, &database, None));
        }
        let database = open.database.clone();
        let (entry_endpoint, home_endpoint) = StreamEndpoint::pair();
        let serve = (self.serve_local)(id, open, home_endpoint);
        let local = LocalHome::new(Arc::clone(&self.executor), serve);
        Ok(HomeStream::new(id, entry_endpoint, &database, Some(local)))
    }
}

/// Holds a place under `max_callers` for as long as the caller is connected.
#[derive(Debug)]
struct CallerGuard(Arc<Entry>);

impl CallerGuard {
    /// `None` when `[traffic] max_callers` are connected already.
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

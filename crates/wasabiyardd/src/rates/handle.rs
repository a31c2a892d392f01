//! Starts and stops the rate limiter thread.

use crate::rates::rate_loop::{RateLoop, Request};
use crate::rates::{RateLimiter, RateLimiterDependencies, RateLimiterSettings};
use miette::Diagnostic;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use thiserror::Error;
use wasabiyard_platform::Platform;

/// The operating system did not start the rate limiter thread.
#[derive(Debug, Error, Diagnostic)]
#[error("cannot start the rate limiter thread")]
pub struct SpawnError(#[from] std::io::Error);

/// State of the rate limiter thread that other threads read. Updated with each tick.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether this process holds share units of every organisation in the manifest.
    pub(super) has_rate_shares: AtomicBool,
    /// Whether this process has transferred all its share units and deleted its registration.
    pub(super) drained: AtomicBool,
}

/// A running rate limiter thread. Dropping the handle stops the thread and waits for its end.
#[derive(Debug)]
pub struct RateLimiterHandle {
    rate_limiter: Arc<RateLimiter>,
    progress: Arc<Progress>,
    requests: async_channel::Sender<Request>,
    thread: Option<JoinHandle<()>>,
}

impl RateLimiterHandle {
    /// Starts the thread. It runs until the handle is dropped.
    ///
    /// # Errors
    ///
    /// When the operating system cannot start a thread.
    pub fn spawn<P>(
        settings: RateLimiterSettings,
        deps: RateLimiterDependencies<P>,
    ) -> Result<Self, SpawnError>
    where
        P: Platform + 'static,
    {
        let (requests, received) = async_channel::unbounded();
        let (rate_limiter, progress) = (Arc::new(RateLimiter::default()), Arc::new(Progress::default()));
        let (thread_rate_limiter, thread_progress) = (Arc::clone(&rate_limiter), Arc::clone(&progress));
        let thread = std::thread::Builder::new()
            .name("rates".to_owned())
            .spawn(move || RateLoop::run(&settings, deps, thread_rate_limiter, thread_progress, received))?;
        Ok(Self {
            rate_limiter,
            progress,
            requests,
            thread: Some(thread),
        })
    }

    /// The rate limiter, for the traffic threads.
    pub const fn rate_limiter(&self) -> &Arc<RateLimiter> {
        &self.rate_limiter
    }

    /// Starts to transfer all share units to other holders, for a graceful shutdown. Must be called only after the last
    /// statement was admitted.
    pub fn leave(&self) {
        // The thread ends only after this handle has closed the channel, so a failure means that the thread panicked.
        // The panic handler has printed the cause.
        if self.requests.try_send(Request::Leave).is_err() {
            log::error!("request dropped: the rate limiter thread has ended");
        }
    }

    /// Returns a function that reports whether this process holds share units of every organisation in the manifest.
    pub fn has_rate_shares(&self) -> impl Fn() -> bool + Send + Sync + use<> {
        let progress = Arc::clone(&self.progress);
        move || progress.has_rate_shares.load(Ordering::Acquire)
    }

    /// Whether all share units are transferred and the registration is deleted. Peers treat a process that ends earlier
    /// like a crashed one.
    pub fn is_drained(&self) -> bool {
        self.progress.drained.load(Ordering::Acquire)
    }
}

impl Drop for RateLimiterHandle {
    fn drop(&mut self) {
        self.requests.close();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the rate limiter thread panicked");
        }
    }
}

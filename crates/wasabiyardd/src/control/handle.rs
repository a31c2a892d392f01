//! Starts and stops the control thread.

use crate::control::control_loop::{ControlLoop, Request};
use crate::control::{ControlDependencies, ControlSettings, Status};
use arc_swap::ArcSwap;
use miette::Diagnostic;
use std::sync::Arc;
use std::thread::JoinHandle;
use thiserror::Error;
use wasabiyard_platform::Platform;

/// The operating system did not start the control thread.
#[derive(Debug, Error, Diagnostic)]
#[error("cannot start the control thread")]
pub struct SpawnError(#[from] std::io::Error);

/// Starts the thread that runs the control loop.
#[derive(Debug)]
pub struct ControlThread;

impl ControlThread {
    /// Starts the control thread. It runs until the handle is dropped.
    ///
    /// # Errors
    ///
    /// When the operating system cannot start a thread.
    pub fn spawn<P>(
        settings: ControlSettings,
        deps: ControlDependencies<P>,
    ) -> Result<ControlHandle, SpawnError>
    where
        P: Platform + 'static,
    {
        let (requests, received) = async_channel::unbounded();
        let status = Arc::new(ArcSwap::from_pointee(Status::default()));
        let published = Arc::clone(&status);
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || ControlLoop::run(settings, deps, received, published))?;
        Ok(ControlHandle {
            requests,
            status,
            thread: Some(thread),
        })
    }
}

/// A running control thread. Dropping the handle stops the thread and waits for its end.
#[derive(Debug)]
pub struct ControlHandle {
    requests: async_channel::Sender<Request>,
    status: Arc<ArcSwap<Status>>,
    thread: Option<JoinHandle<()>>,
}

impl ControlHandle {
    /// Announces that this process is shutting down: peers move its homes, and this instance refuses new work.
    pub fn leave(&self) {
        self.request(Request::Leave);
    }

    /// Requests a read of the replication group of a database, after a promotion or a sign of a new primary.
    pub fn refresh_group(&self, database: &str) {
        self.request(Request::RefreshGroup(database.to_owned()));
    }

    /// The control state, at most a second old.
    pub fn status(&self) -> Arc<Status> {
        self.status.load_full()
    }

    fn request(&self, request: Request) {
        // The thread ends only after this handle has closed the channel, so a failure means that the thread panicked.
        // The panic handler has printed the cause.
        if self.requests.try_send(request).is_err() {
            log::error!("request dropped: the control thread has ended");
        }
    }
}

impl Drop for ControlHandle {
    fn drop(&mut self) {
        self.requests.close();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the control thread panicked");
        }
    }
}

//! The traffic threads, which run the tasks of all connections.

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::block_on;
use std::io;
use std::panic::{self, AssertUnwindSafe};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

/// A pool of threads that run one shared executor until the runtime is dropped.
#[derive(Debug)]
pub struct Runtime {
    executor: Arc<Executor<'static>>,
    stop: Option<Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Runtime {
    /// Starts `threads` threads.
    ///
    /// # Errors
    ///
    /// When a thread cannot be started.
    pub fn open(threads: usize) -> io::Result<Self> {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let threads = (0..threads)
            .map(|n| {
                let executor = Arc::clone(&executor);
                let stopped = stopped.clone();
                thread::Builder::new()
                    .name(format!("traffic-{n}"))
                    .spawn(move || run(&executor, &stopped))
            })
            .collect::<io::Result<Vec<_>>>()?;
        Ok(Self {
            executor,
            stop: Some(stop),
            threads,
        })
    }

    /// The executor that the threads run.
    pub fn executor(&self) -> Arc<Executor<'static>> {
        Arc::clone(&self.executor)
    }
}

/// Runs tasks until the sender of `stopped` is dropped. A task that panics is dropped with the resources that it owns,
/// such as one connection; the thread continues with the other tasks.
fn run(executor: &Executor<'static>, stopped: &Receiver<()>) {
    loop {
        let work = AssertUnwindSafe(|| block_on(executor.run(stopped.recv())));
        match panic::catch_unwind(work) {
            Ok(_closed) => return,
            Err(_panic) => log::error!("a task panicked"),
        }
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        drop(self.stop.take());
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                log::error!("a traffic thread panicked");
            }
        }
    }
}

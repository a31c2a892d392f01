//! The async executor that the tasks of a stand-in share, and its threads.

use async_executor::Executor;
use futures_lite::future;
use std::io;
use std::sync::Arc;
use std::thread;

/// An executor that several threads run.
pub type SharedExecutor = Arc<Executor<'static>>;

/// Starts an executor on `threads` threads, named `standin-N`, which run until the process ends.
///
/// # Errors
/// When the system cannot start a thread.
pub fn spawn(threads: usize) -> io::Result<SharedExecutor> {
    let ex = SharedExecutor::default();
    for i in 0..threads {
        let ex = Arc::clone(&ex);
        thread::Builder::new()
            .name(format!("standin-{i}"))
            .spawn(move || async_io::block_on(ex.run(future::pending::<()>())))?;
    }
    Ok(ex)
}

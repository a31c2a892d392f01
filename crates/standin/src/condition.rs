//! An asynchronous condition variable, for state that is kept under a lock elsewhere.

use async_io::Timer;
use futures_lite::{FutureExt, future};
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Poll, Waker};
use std::time::Instant;

/// Lets tasks wait for a condition on shared state. Whoever changes the state calls [`Condition::notify_all`] afterwards.
#[derive(Debug, Default)]
pub struct Condition {
    next_waiter_id: AtomicU64,
    /// Wakers of the waiting tasks, by waiter id.
    wakers: Mutex<HashMap<u64, Waker>>,
}

/// The registration of one waiting task; dropping it removes its waker.
struct Waiter<'a> {
    condition: &'a Condition,
    id: u64,
}

impl Condition {
    /// Wakes all waiting tasks, each of which checks its condition again.
    pub fn notify_all(&self) {
        let wakers_to_wake = std::mem::take(&mut *self.wakers.lock().expect("no panic under this lock"));
        wakers_to_wake.into_values().for_each(Waker::wake);
    }

    /// Waits until `check` returns a value; returns `None` when the deadline passes first.
    pub async fn wait_until<T, F>(&self, deadline: Instant, check: F) -> Option<T>
    where
        F: FnMut() -> Option<T>,
    {
        let timeout = async {
            Timer::at(deadline).await;
            None
        };
        async { Some(self.wait(check).await) }.or(timeout).await
    }

    /// Waits until `check` returns a value. It is called at once and after each notification.
    pub async fn wait<T, F>(&self, mut check: F) -> T
    where
        F: FnMut() -> Option<T>,
    {
        let waiter = Waiter {
            condition: self,
            id: self.next_waiter_id.fetch_add(1, Ordering::Relaxed),
        };
        future::poll_fn(|cx| {
            if let Some(value) = check() {
                return Poll::Ready(value);
            }
            waiter.register(cx.waker());
            // Checks again, since a change between the first check and the registration did not wake this task.
            check().map_or(Poll::Pending, Poll::Ready)
        })
        .await
    }
}

impl Waiter<'_> {
    fn register(&self, waker: &Waker) {
        let mut wakers = self.condition.wakers.lock().expect("no panic under this lock");
        wakers.insert(self.id, waker.clone());
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut wakers = self.condition.wakers.lock().expect("no panic under this lock");
        wakers.remove(&self.id);
    }
}

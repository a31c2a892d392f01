//! A shared value whose changes tasks can await.

use futures_lite::future;
use std::sync::Mutex;
use std::task::{Poll, Waker};

/// A shared value, with the wakers of the tasks that wait for its next change.
#[derive(Debug, Default)]
pub struct Watch<T> {
    inner: Mutex<Inner<T>>,
}

#[derive(Debug, Default)]
struct Inner<T> {
    value: T,
    version: u64,
    wakers: Vec<Waker>,
}

impl<T> Watch<T> {
    /// Wraps `value`.
    pub fn new(value: T) -> Self {
        Self {
            inner: Mutex::new(Inner {
                value,
                version: 0,
                wakers: Vec::new(),
            }),
        }
    }

    /// Calls `f` with the value, under the lock.
    pub fn read<R>(&self, f: impl FnOnce(&T) -> R) -> R {
        f(&self.inner.lock().expect("no holder of this lock panics").value)
    }

    /// Changes the value and wakes the waiting tasks.
    pub fn update<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        let (result, wakers) = {
            let mut inner = self.inner.lock().expect("no holder of this lock panics");
            inner.version += 1;
            (f(&mut inner.value), std::mem::take(&mut inner.wakers))
        };
        wakers.into_iter().for_each(Waker::wake);
        result
    }

    /// Changes the value without waking the waiting tasks, for a change that cannot satisfy any of them.
    pub fn update_without_wake<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        f(&mut self.inner.lock().expect("no holder of this lock panics").value)
    }

    /// Waits until `f` returns a result. `f` is called at once and after each change.
    pub async fn wait<R>(&self, mut f: impl FnMut(&T) -> Option<R>) -> R {
        let mut seen_version = None;
        future::poll_fn(|cx| {
            let mut inner = self.inner.lock().expect("no holder of this lock panics");
            if seen_version != Some(inner.version) {
                seen_version = Some(inner.version);
                if let Some(result) = f(&inner.value) {
                    return Poll::Ready(result);
                }
            }
            if !inner.wakers.iter().any(|w| w.will_wake(cx.waker())) {
                inner.wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await
    }
}

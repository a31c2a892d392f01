//! The execution slots of a database, with the queue before them.

use std::sync::{Condvar, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Default)]
struct State {
    busy: usize,
    next_ticket: u64,
    serving: u64,
    waiting: usize,
}

/// A number of slots that are given in the order of arrival.
pub struct Slots {
    count: usize,
    queue: usize,
    state: Mutex<State>,
    changed: Condvar,
}

impl Slots {
    pub fn new(count: usize, queue: usize) -> Self {
        Self {
            count,
            queue,
            state: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Occupies a slot for a time. Returns `false` at once when the queue is full.
    pub fn occupy(&self, work: Duration) -> bool {
        self.take(work, self.queue)
    }

    /// Occupies a slot for a time, however many wait.
    pub fn occupy_patiently(&self, work: Duration) {
        self.take(work, usize::MAX);
    }

    /// Number of slots in use.
    pub fn busy(&self) -> usize {
        self.state.lock().unwrap().busy
    }

    fn take(&self, work: Duration, queue: usize) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.waiting >= queue {
            return false;
        }
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.waiting += 1;
        while state.serving != ticket || state.busy >= self.count {
            state = self.changed.wait(state).unwrap();
        }
        state.serving += 1;
        state.waiting -= 1;
        state.busy += 1;
        drop(state);
        self.changed.notify_all();
        thread::sleep(work);
        self.state.lock().unwrap().busy -= 1;
        self.changed.notify_all();
        true
    }
}

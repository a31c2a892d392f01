//! Cost of the fair queue of a database, by queue length.

use serde::Serialize;
use std::sync::Arc;
use std::time::Instant;
use wasabiyard_model::{PriorityClass, Time};
use wasabiyard_schedule::{FairQueue, QueuedRequest};

const PUSH_POP_COUNT: usize = 200_000;
const ORGANISATIONS: usize = 64;

/// Cost of a queue operation at one queue length.
#[derive(Debug, Clone, Serialize)]
pub struct ScheduleRow {
    /// Queue length, in requests.
    pub waiting: usize,
    /// Mean time to push one request and pop one, in nanoseconds.
    pub push_pop_ns: f64,
}

/// Measures a queue of `waiting` requests, from 64 organisations in 3 priority classes.
pub fn measure(waiting: usize) -> ScheduleRow {
    let names: Vec<Arc<str>> = (0..ORGANISATIONS)
        .map(|o| Arc::from(format!("org-{o}")))
        .collect();
    let request = |i: usize| QueuedRequest {
        organisation: Arc::clone(&names[i % ORGANISATIONS]),
        weight: 1 + (i % 3) as u32,
        class: [
            PriorityClass::CRITICAL,
            PriorityClass::NORMAL,
            PriorityClass::BACKGROUND,
        ][i % 3],
        deadline: Time::from_millis(1_000_000 + i as u64),
    };
    let mut queue = FairQueue::default();
    for i in 0..waiting.saturating_sub(1) {
        queue.push(request(i), i, Time::ZERO).expect("the queue has room");
    }
    let start = Instant::now();
    for i in 0..PUSH_POP_COUNT {
        queue.push(request(i), i, Time::ZERO).expect("the queue has room");
        queue.pop(Time::ZERO).expect("a request waits");
    }
    ScheduleRow {
        waiting,
        push_pop_ns: start.elapsed().as_secs_f64() * 1e9 / PUSH_POP_COUNT as f64,
    }
}

//! The order in which a connection holder lets work reach its backend server.
//!
//! Addresses overload by a whole fleet: the queues of 85 instances do not see each other, so the server itself had to
//! queue and reject, and its queue knows neither priorities nor time limits. The gate lets as many statements through as the server
//! runs concurrently, and a few more to cover the way between them. Statements of open transactions go first, by time
//! left, since they occupy a connection and locks; then new work by class and, in fair shares, by organisation. Work that
//! could not be answered in its time is refused when it arrives.

use crate::OverloadOrder;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{NotRun, PriorityClass, Time};
use wasabiyard_schedule::{AdmissionControl, FairQueue, QueuedRequest};

/// Statements let through beyond the slots, as a fraction of them, so that a slot does not idle while the next statement
/// is on its way.
const EXTRA_FRACTION: f64 = 0.5;
/// Statements for which the most urgent class has room at the primary.
const URGENT_ROOM: u32 = 1;
/// Work that took less was given up before it reached the server, and says nothing of its service time.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(1);
/// Shortest delay given to a caller that is refused.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Why work was not let through. Nothing of it was sent to the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateRefusal {
    /// Time after which a retry may be let through.
    pub retry_after: Duration,
}

/// New work for a server.
#[derive(Debug, Clone)]
pub struct NewWork {
    /// Organisation that it is charged to.
    pub organisation: Arc<str>,
    /// Priority class.
    pub class: PriorityClass,
    /// When it must be answered.
    pub deadline: Time,
}

/// What the server can take now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerState {
    /// Statements that it runs concurrently.
    pub slots: u32,
    /// Whether one more may be sent besides those that run, by the server's health.
    pub allows_request: bool,
    /// Whether a connection is free, or can be opened or made free.
    pub has_connection: bool,
    /// Order of the classes under overload.
    pub order: OverloadOrder,
    /// Whether it is the primary, where room is kept for the most urgent class.
    pub is_primary: bool,
}

/// The gate of one server, with waiters of type `P`.
#[derive(Debug)]
pub struct ServerGate<P> {
    running: u32,
    /// Statements of open transactions by deadline and arrival.
    open: BTreeMap<(Time, u64), P>,
    new: FairQueue<P>,
    admission: AdmissionControl,
    arrivals: u64,
    expired: Vec<P>,
}

impl<P> Default for ServerGate<P> {
    fn default() -> Self {
        Self {
            running: 0,
            open: BTreeMap::new(),
            new: FairQueue::default(),
            admission: AdmissionControl::default(),
            arrivals: 0,
            expired: Vec::new(),
        }
    }
}

/// Statements that may be at a server with `slots` at once.
pub fn gate_width(slots: u32) -> u32 {
    let extra = (f64::from(slots) * EXTRA_FRACTION).ceil() as u32;
    slots.max(1) + extra.max(1)
}

/// Statements of a class that may start while fewer than this many are at a server. Room for one is kept for the most
/// urgent class at the primary: its statements are short, and nothing else can run them.
fn class_width(class: PriorityClass, state: ServerState) -> u32 {
    let width = gate_width(state.slots);
    if state.is_primary && !class.is_most_urgent() {
        width.saturating_sub(URGENT_ROOM).max(1)
    } else {
        width
    }
}

impl<P> ServerGate<P> {
    /// Statements that were let through and have not finished.
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Time until new work of lowest urgency would be let through.
    pub fn expected_wait(&self, slots: u32, now: Time) -> Duration {
        let waiting = self.open.len() + self.new.len();
        self.admission.estimated_wait(waiting, slots as usize, now)
    }

    /// Queues a statement of an open transaction.
    pub fn push_open(&mut self, deadline: Time, payload: P) {
        self.arrivals += 1;
        self.open.insert((deadline, self.arrivals), payload);
    }

    /// Queues new work.
    ///
    /// # Errors
    ///
    /// Returns the payload when the work would probably not be answered by its deadline.
    pub fn push_new(
        &mut self,
        work: &NewWork,
        slots: u32,
        payload: P,
        now: Time,
    ) -> Result<(), (P, GateRefusal)> {
        let in_new = self.new.requests_ahead(&work.organisation, 1, work.class);
        let ahead = self.open.len() + in_new;
        let wait = self.admission.estimated_wait(ahead, slots as usize, now);
        let refusal = GateRefusal {
            retry_after: wait.max(MIN_RETRY_DELAY),
        };
        let admitted = self.admission.admit(ahead, slots as usize, work.deadline, now);
        if admitted.is_err() {
            return Err((payload, refusal));
        }
        let queued = QueuedRequest {
            organisation: Arc::clone(&work.organisation),
            weight: 1,
            class: work.class,
            deadline: work.deadline,
        };
        let pushed = self.new.push(queued, payload, now);
        pushed.map(drop).map_err(|(payload, _)| (payload, refusal))
    }

    /// Removes the next work that may be sent to a server in `state`, and counts it as running.
    pub fn start_next(&mut self, state: ServerState, now: Time) -> Option<P> {
        if self.running >= gate_width(state.slots) || !state.allows_request {
            return None;
        }
        self.drop_expired(now);
        let next = match self.open.pop_first() {
            Some((_, payload)) => Some(payload),
            None if state.has_connection => self.next_new(state, now),
            None => None,
        }?;
        self.running += 1;
        Some(next)
    }

    /// Takes back the last start, of work that nobody waits for.
    pub const fn cancel_start(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records that work which was let through `took` ago has finished.
    pub fn finish(&mut self, took: Duration, now: Time) {
        self.running = self.running.saturating_sub(1);
        if took >= MIN_SERVICE_TIME {
            self.admission.record_service_time(took, now);
        }
    }

    /// Returns the work that expired or was displaced by other work since the last call.
    pub fn take_dropped(&mut self, now: Time) -> Vec<P> {
        self.drop_expired(now);
        let mut dropped = std::mem::take(&mut self.expired);
        let from_queue: Vec<(P, NotRun)> = self.new.take_dropped(now);
        dropped.extend(from_queue.into_iter().map(|(payload, _)| payload));
        dropped
    }

    /// Drops the new work that waits, because the server does not respond.
    pub fn drop_new(&mut self) {
        self.new = FairQueue::default();
    }

    /// Whether no work waits.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty() && self.new.is_empty() && self.expired.is_empty()
    }

    /// Removes the next new work that can still be answered in its time.
    fn next_new(&mut self, state: ServerState, now: Time) -> Option<P> {
        let running = self.running;
        loop {
            let next = match state.order {
                OverloadOrder::Shared => self.new.pop(now),
                OverloadOrder::ByRank => self
                    .new
                    .pop_urgent(now, |class| running < class_width(class, state)),
            };
            let (queued, payload) = next?;
            if self.admission.can_meet_deadline(queued.deadline, now) {
                return Some(payload);
            }
            self.expired.push(payload);
        }
    }

    fn drop_expired(&mut self, now: Time) {
        while let Some(entry) = self.open.first_entry()
            && entry.key().0 <= now
        {
            self.expired.push(entry.remove());
        }
    }
}

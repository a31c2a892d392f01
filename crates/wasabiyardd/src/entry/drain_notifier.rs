//! Tells sessions that something changed that may end them between transactions.

use crate::snapshot::{Admission, SnapshotCell};
use crate::{clock, counters};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use wasabiyard_model::Time;

/// How often the newest snapshot is compared with the one before.
const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time in which a caller that keeps sending is still served after its end was decided, so that requests that were on
/// their way run.
const DRAIN_GRACE: Duration = Duration::from_secs(1);

/// Wakes sessions and knows whether they have to end.
#[derive(Debug)]
pub struct DrainNotifier {
    draining: AtomicBool,
    /// When callers had to end first, in microseconds; 0 for not.
    draining_since_micros: AtomicU64,
    /// Closed and replaced at each change.
    change: Mutex<(Sender<()>, Receiver<()>)>,
}

impl Default for DrainNotifier {
    fn default() -> Self {
        Self {
            draining: AtomicBool::new(false),
            draining_since_micros: AtomicU64::new(0),
            change: Mutex::new(async_channel::bounded(1)),
        }
    }
}

/// Whether callers have to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainState {
    /// They go on.
    Inactive,
    /// They end when they are idle.
    IdleSessions,
    /// They end before their next transaction.
    AllSessions,
}

impl DrainNotifier {
    /// A receiver that is closed at the next change.
    pub fn subscribe(&self) -> Receiver<()> {
        self.change
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .1
            .clone()
    }

    /// Ends all callers at their next transaction boundary, because the process stops.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.wake_sessions();
    }

    /// Whether the process stops.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Whether callers have to end under this admission.
    pub fn drain_state(&self, admission: Admission, now: Time) -> DrainState {
        let must_drain =
            self.is_draining() || matches!(admission, Admission::OutOfService | Admission::Draining);
        if !must_drain {
            return DrainState::Inactive;
        }
        let since = match self.draining_since_micros.load(Ordering::Relaxed) {
            0 => {
                self.draining_since_micros
                    .store(now.as_micros().max(1), Ordering::Relaxed);
                now
            }
            micros => Time::from_micros(micros),
        };
        if now.saturating_since(since) < DRAIN_GRACE {
            DrainState::IdleSessions
        } else {
            DrainState::AllSessions
        }
    }

    fn wake_sessions(&self) {
        let old = std::mem::replace(
            &mut *self.change.lock().unwrap_or_else(PoisonError::into_inner),
            async_channel::bounded(1),
        );
        old.1.close();
    }

    /// Compares snapshots for as long as the process runs.
    pub async fn watch(&self, snapshots: &SnapshotCell) {
        let mut previous = (Admission::default(), 0);
        loop {
            Timer::after(SNAPSHOT_CHECK_INTERVAL).await;
            let snapshot = snapshots.load();
            let current = (snapshot.admission, snapshot.manifest_version);
            if current == previous {
                continue;
            }
            if self.drain_state(snapshot.admission, clock::now()) == DrainState::Inactive {
                self.draining_since_micros.store(0, Ordering::Relaxed);
            }
            previous = current;
            counters::add(counters::Counter::SnapshotChanges, 1);
            self.wake_sessions();
        }
    }
}

//! Ends sessions between transactions: when the process stops, or the instance is drained or put out of service.
//!
//! Sessions are also woken by a new manifest, after which they check whether the key of their caller is still in force.

use crate::snapshot::{AdmissionState, SnapshotCell};
use crate::{clock, counters};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use wasabiyard_model::Time;

/// How often the newest snapshot is compared with the previous one.
const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the start of a drain in which a session that is not idle may still begin transactions, so that requests
/// that were in flight run.
const DRAIN_GRACE: Duration = Duration::from_secs(1);

/// Wakes sessions after a change of the snapshot, and decides whether they have to end.
#[derive(Debug)]
pub struct DrainNotifier {
    draining: AtomicBool,
    /// When the drain was first seen, in microseconds of the clock; 0 while there is none.
    draining_since_micros: AtomicU64,
    /// Closed and replaced at each change, which wakes all receivers.
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

/// Which sessions have to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainState {
    /// None.
    Inactive,
    /// Those that wait for a request with nothing received.
    IdleSessions,
    /// All, before their next transaction.
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

    /// Starts a drain because the process stops. It cannot be undone.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.wake_sessions();
    }

    /// Whether [`DrainNotifier::drain`] was called; the admission of the snapshot does not count here.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Which sessions have to end under this admission. The first call during a drain starts the grace period.
    pub fn drain_state(&self, admission: AdmissionState, now: Time) -> DrainState {
        let must_drain = self.is_draining()
            || matches!(admission, AdmissionState::OutOfService | AdmissionState::Draining);
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

    /// Polls for a new admission or manifest and wakes sessions, until the task is dropped.
    pub async fn run(&self, snapshots: &SnapshotCell) {
        let mut previous = (AdmissionState::default(), 0);
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

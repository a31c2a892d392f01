//! Which connection holders an instance avoids for now, after one was silent, could not be reached, or could not reach
//! its server.
//!
//! Addresses holders that are killed, frozen or partitioned while statements keep arriving: only the first statement
//! waits for the silent holder, and one statement at a time tries it again after a backoff that grows with each failure.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};

/// Backoff after the first failure; doubled with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Time after which a trial without a result no longer blocks the next one.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// What is avoided: an instance, or an instance as the holder of one server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Suspicion {
    /// The holder.
    pub instance: InstanceId,
    /// The server that it cannot reach; `None` when the instance itself does not respond.
    pub server: Option<Arc<str>>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    failures: u32,
    avoid_until: Time,
    trial_since: Option<Time>,
}

/// The holders that an instance avoids.
#[derive(Debug, Default)]
pub struct Suspects {
    entries: HashMap<Suspicion, Entry>,
}

impl Suspects {
    /// Whether a statement for `server` may be sent to `instance` at `now`.
    pub fn allows(&self, instance: &InstanceId, server: &Arc<str>, now: Time) -> bool {
        if self.entries.is_empty() {
            return true;
        }
        suspicions(instance, server).iter().all(|suspicion| {
            self.entries.get(suspicion).is_none_or(|e| {
                let in_trial = e
                    .trial_since
                    .is_some_and(|since| now.saturating_since(since) < TRIAL_TIMEOUT);
                now >= e.avoid_until && !in_trial
            })
        })
    }

    /// Whether `instance` was last found to be without `server`, while it responds itself.
    pub fn is_without_server(&self, instance: &InstanceId, server: &Arc<str>) -> bool {
        if self.entries.is_empty() {
            return false;
        }
        let [whole, one] = suspicions(instance, server);
        !self.entries.contains_key(&whole) && self.entries.contains_key(&one)
    }

    /// Records that a statement is sent. It is the trial of an instance that was avoided before.
    pub fn on_send(&mut self, instance: &InstanceId, server: &Arc<str>, now: Time) {
        if self.entries.is_empty() {
            return;
        }
        for suspicion in suspicions(instance, server) {
            if let Some(entry) = self.entries.get_mut(&suspicion) {
                entry.trial_since = Some(now);
            }
        }
    }

    /// Records a response of the holder, and whether it shows that the holder reaches its server.
    pub fn on_response(&mut self, instance: &InstanceId, server: &Arc<str>, reaches_server: bool) {
        if self.entries.is_empty() {
            return;
        }
        let [whole, one] = suspicions(instance, server);
        self.entries.remove(&whole);
        if reaches_server {
            self.entries.remove(&one);
        }
    }

    /// Records a failure. Failures of statements that were sent before the last one count as one with it. Returns whether
    /// this one counts.
    pub fn on_failure(&mut self, suspicion: Suspicion, now: Time) -> bool {
        let entry = self.entries.entry(suspicion).or_insert(Entry {
            failures: 0,
            avoid_until: Time::ZERO,
            trial_since: None,
        });
        if now < entry.avoid_until {
            return false;
        }
        let backoff = INITIAL_BACKOFF * (1 << entry.failures.min(8));
        entry.failures += 1;
        entry.avoid_until = now + backoff.min(MAX_BACKOFF);
        entry.trial_since = None;
        true
    }

    /// Ends a suspicion.
    pub fn remove(&mut self, suspicion: &Suspicion) {
        self.entries.remove(suspicion);
    }

    /// Forgets instances that are no longer registered.
    pub fn retain<F>(&mut self, is_registered: F)
    where
        F: Fn(&InstanceId) -> bool,
    {
        self.entries
            .retain(|suspicion, _| is_registered(&suspicion.instance));
    }
}

fn suspicions(instance: &InstanceId, server: &Arc<str>) -> [Suspicion; 2] {
    let of = |server| Suspicion {
        instance: instance.clone(),
        server,
    };
    [of(None), of(Some(Arc::clone(server)))]
}

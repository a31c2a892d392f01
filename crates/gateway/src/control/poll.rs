//! The loop that polls the store: when a read is due, and how long the pauses between reads are.

use super::control_loop::ControlThread;
use super::poll_health::PollHealth;
use super::state::ControlState;
use crate::view::{ViewScope, domain_rank, fallback_age, max_store_backoff};
use crate::{Connector, Discovery, Promoter, clock};
use async_io::Timer;
use futures_lite::FutureExt;
use std::rc::Rc;
use std::time::Duration;
use wasabiyard_model::Time;
use wasabiyard_platform::{Platform, PlatformError};

/// Period of checking whether a read is due and whether the circuit breaker allows it.
const DUE_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Period of reading the store. It bounds the age of the keys and must be well below the view lease, which these reads
/// renew.
const POLL_PERIOD: Duration = Duration::from_millis(900);
/// The same for the holder of the failover lease, which also reads after each renewal of the lease.
const HOLDER_POLL_PERIOD: Duration = Duration::from_millis(1_300);
/// Pause between the registration of this instance and the read that has to contain its entry; doubled with each read that
/// does not. In a large fleet such a read is long, and all instances may start at once.
const INITIAL_REGISTRATION_PAUSE: Duration = Duration::from_millis(60);
/// Upper bound of that pause.
const MAX_REGISTRATION_PAUSE: Duration = Duration::from_millis(500);
/// Pause between a renewal of the failover lease and the reads that it proves, which covers the usual lag of the store's
/// replicas.
const RENEWAL_SETTLING_TIME: Duration = Duration::from_millis(150);

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Reads the store periodically while this instance is a relay, and when the relays do not keep its view recent.
    pub(super) async fn poll_store(self: Rc<Self>) {
        let mut health = PollHealth::new("store");
        let mut registration_pause = INITIAL_REGISTRATION_PAUSE;
        loop {
            let started = clock::now();
            if !self.may_read_store(started) {
                Timer::after(DUE_CHECK_PERIOD).await;
                continue;
            }
            let result = self.read_store().await;
            self.on_call_result(&result);
            match health.observe(result) {
                Some(true) => {
                    registration_pause = INITIAL_REGISTRATION_PAUSE;
                    self.wait_for_next_poll(started).await;
                }
                // Records without the entry of this instance have made it register; only a read that contains the entry
                // renews the view lease.
                Some(false) => {
                    Timer::after(registration_pause).await;
                    registration_pause = (registration_pause * 2).min(MAX_REGISTRATION_PAUSE);
                }
                // The circuit breaker paces the next attempt.
                None => {}
            }
        }
    }

    /// Whether a read of the store is due at `now` and the circuit breaker allows it.
    fn may_read_store(&self, now: Time) -> bool {
        if !self.store_read_is_due(now) {
            return false;
        }
        let max_backoff = self.max_breaker_backoff();
        let breaker = &mut self.state.borrow_mut().store_breaker;
        breaker.set_max_backoff(max_backoff);
        breaker.allows_call(now)
    }

    /// Waits for the rest of the poll period, or until a renewal of the failover lease proves a revision, which spares
    /// the holder a linearizable read.
    async fn wait_for_next_poll(&self, started: Time) {
        let elapsed = clock::now().saturating_since(started);
        let period = self.poll_period().mul_f64(1.0 + 0.1 * rand::random::<f64>());
        let period_ends = async {
            Timer::after(period.saturating_sub(elapsed)).await;
        };
        let renewed = async {
            let _renewed = self.lease_renewed.1.recv().await;
            Timer::after(RENEWAL_SETTLING_TIME).await;
        };
        period_ends.or(renewed).await;
    }

    fn poll_period(&self) -> Duration {
        let state = self.state.borrow();
        let holder = state.snapshot.failover_lease_holder.as_deref();
        if holder == Some(self.settings.instance.id.as_str()) {
            HOLDER_POLL_PERIOD
        } else {
            POLL_PERIOD
        }
    }

    /// Whether this instance has to read the store at `now`: always as a relay, and otherwise when its view is so old
    /// that the relays do not refresh it, or lacks its entry.
    fn store_read_is_due(&self, now: Time) -> bool {
        if self.is_relay() {
            return true;
        }
        let state = self.state.borrow();
        let entry_is_missing = !self.is_registered(&state)
            && state.view.revision(ViewScope::Records) >= state.registration_revision;
        entry_is_missing || state.snapshot.age(now) > self.fallback_age(&state)
    }

    /// Age of its view from which this instance, while it is not a relay, reads the store itself.
    fn fallback_age(&self, state: &ControlState) -> Duration {
        let own = &self.settings.instance;
        fallback_age(domain_rank(&own.id, &own.domain, &state.snapshot.members))
    }

    /// Longest pause between two calls to a store that fails.
    fn max_breaker_backoff(&self) -> Duration {
        let own = &self.settings.instance;
        let members = &self.state.borrow().snapshot.members;
        max_store_backoff(domain_rank(&own.id, &own.domain, members), members.len())
    }

    pub(super) fn on_call_result<T>(&self, result: &Result<T, PlatformError>) {
        let breaker = &mut self.state.borrow_mut().store_breaker;
        match result {
            Ok(_) => breaker.on_success(),
            Err(_) => breaker.on_failure(clock::now()),
        }
    }
}

//! The loop that polls the store, the application of what it reads, and the registration of this instance.

use super::control_loop::{ControlThread, OutboundMessage};
use super::poll_health::{PollHealth, RETRY_BACKOFF};
use super::records::{self, PeerSecretRecord, Records};
use super::state::ControlState;
use super::store_calls::StoreCallKind;
use crate::view::{ViewKey, ViewScope, ViewValue, domain_rank, fallback_age, max_store_backoff};
use crate::{BackendServer, Configuration, Connector, Discovery, Entries, PeerMessage, Promoter, clock};
use async_io::Timer;
use futures_lite::FutureExt;
use rand::Rng;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time, Version};
use wasabiyard_platform::{Generation, Platform, PlatformError, Precondition};

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
/// Longest random pause before an instance creates the peer secret. All instances of a new fleet start at once.
const SECRET_STAGGER: Duration = Duration::from_millis(400);

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

    /// Applies a configuration that was read at `revision`. After a restore of the store, it proves nothing until it can
    /// be told that operators have written again what was lost.
    pub(super) fn apply_configuration(
        &self,
        revision: u64,
        configuration: Option<Arc<Configuration>>,
        as_of: Time,
    ) {
        let mut state = self.state.borrow_mut();
        let known = state.snapshot.configuration.as_ref().map(|c| c.version);
        let read = configuration.as_ref().map(|c| c.version);
        let now = clock::now();
        let is_current = Generation::of(revision) == state.generation.current();
        let is_proof = (is_current && state.is_confirmed() && state.has_settled(now))
            || read.is_some_and(|read| {
                let generation = &state.generation;
                generation.has_rewritten_configuration(revision, read, known, now)
            });
        let snapshot = &mut state.snapshot;
        if let Some(new) = configuration.filter(|new| known.is_none_or(|v| v < new.version)) {
            log::info!(version:% = new.version, routes = new.routes.len(); "configuration in force");
            snapshot.configuration = Some(new);
        }
        if is_proof {
            snapshot.configuration_as_of = snapshot.configuration_as_of.max(as_of);
        }
    }

    pub(super) fn apply_servers(&self, revision: u64, servers: Entries<BackendServer>, as_of: Time) {
        let parts = servers.into_iter().map(|(version, s)| {
            (
                version.0,
                ViewKey::Server(Arc::clone(&s.id)),
                ViewValue::Server(s),
            )
        });
        let parts = parts.collect();
        let mut state = self.state.borrow_mut();
        if state.view.replace(ViewScope::Servers, revision, parts) {
            state.on_view_changed(ViewScope::Servers, as_of, clock::now());
        }
        state.snapshot.servers_as_of = state.snapshot.servers_as_of.max(as_of);
    }

    pub(super) fn apply_domains(&self, revision: u64, domains: Entries<Arc<str>>, as_of: Time) {
        let parts = domains
            .into_iter()
            .map(|(version, name)| (version.0, ViewKey::DomainOut(name), ViewValue::DomainOut));
        let parts = parts.collect();
        let mut state = self.state.borrow_mut();
        if state.view.replace(ViewScope::Domains, revision, parts) {
            state.on_view_changed(ViewScope::Domains, as_of, clock::now());
        }
        state.snapshot.domains_as_of = state.snapshot.domains_as_of.max(as_of);
    }

    /// Applies records that reflect `revision`, then creates the peer secret and registers this instance if either is
    /// missing. Returns whether the records contained the current entry of this instance.
    pub(super) async fn process_records(&self, revision: u64, records: &Records, as_of: Time) -> bool {
        let has_secret = records.secret_record.is_some();
        let registered = self.apply_records(revision, records, as_of);
        if !has_secret {
            self.create_peer_secret().await;
        }
        if !registered && self.registration_is_due(revision) {
            self.register_instance().await;
        }
        registered && has_secret
    }

    /// Whether records that reflect `revision` and lack the entry of this instance call for its registration.
    fn registration_is_due(&self, revision: u64) -> bool {
        let state = self.state.borrow();
        !state.stopping && revision >= state.registration_revision
    }

    /// Applies the records. They renew the view lease only if they contain the entry of this instance, because the
    /// holder of the failover lease waits only for registered instances when it replaces a primary, and only if they are
    /// confirmed.
    fn apply_records(&self, revision: u64, records: &Records, as_of: Time) -> bool {
        let mut state = self.state.borrow_mut();
        if revision >= state.view.revision(ViewScope::Records) {
            state
                .view
                .replace(ViewScope::Records, revision, record_parts(records));
            // Also when nothing has changed: the registry waits for versions and for reads after a moment.
            state.on_view_changed(ViewScope::Records, as_of, clock::now());
        }
        if let Some(secret) = &records.secret_record {
            state.snapshot.peer_secret = Some(Arc::from(secret.key.as_bytes()));
        }
        let registered = self.is_registered(&state);
        if registered {
            state.registered_as_of = state.registered_as_of.max(as_of);
        }
        if registered && state.is_confirmed() {
            state.snapshot.records_as_of = state.snapshot.records_as_of.max(as_of);
        }
        drop(state);
        self.report_lost_primary_records();
        self.publish_snapshot();
        registered
    }

    /// Tells the holder of the failover lease which primary records a restored store has lost.
    fn report_lost_primary_records(&self) {
        let (holder, lost) = {
            let state = self.state.borrow();
            if state.is_confirmed() {
                return;
            }
            let holder = state.snapshot.failover_lease_holder.clone();
            (holder, state.lost_primary_records())
        };
        let own_id = self.settings.instance.id.as_str();
        let Some(holder) = holder.filter(|holder| **holder != *own_id) else {
            return;
        };
        for (service, record) in lost {
            let message = PeerMessage::PrimaryRecordChanged { service, record };
            self.send_to_peers(OutboundMessage::Unicast(InstanceId::from(&*holder), message));
        }
    }

    /// Whether the view contains the live entry of this process.
    pub(super) fn is_registered(&self, state: &ControlState) -> bool {
        state.snapshot.members.contains(&self.settings.instance)
    }

    async fn register_instance(&self) {
        let own_entry = &self.settings.instance;
        let key = records::instance_key(own_entry.id.as_str());
        let version = self.state.borrow().registry.version(&own_entry.id);
        let precondition = version.map_or(Precondition::Absent, Precondition::Version);
        let value = serde_json::json!(own_entry);
        self.store_calls.on_call(StoreCallKind::Registration);
        let sent_at = clock::now();
        match self.platform.put(&key, precondition, &value).await {
            Ok(version) => {
                log::info!(version:% = version; "registered");
                let mut state = self.state.borrow_mut();
                state.registration_revision = version.0;
                state.proofs.add(version.0, sent_at);
            }
            Err(PlatformError::Conflict { found, .. }) if found != Version(0) => {
                // An earlier process with this id left its entry; the next attempt replaces that version.
                self.state.borrow_mut().registry.on_conflict(&own_entry.id, found);
            }
            Err(e) => {
                log::info!(error:% = e; "could not register this instance");
                Timer::after(RETRY_BACKOFF).await;
            }
        }
    }

    /// Creates the key that authenticates messages between instances, unless another instance does so in a random
    /// pause. The first one that writes it wins; the others read that key with their next list.
    async fn create_peer_secret(&self) {
        Timer::after(SECRET_STAGGER.mul_f64(rand::random::<f64>())).await;
        self.store_calls.on_call(StoreCallKind::StaleRead);
        match self.platform.list_stale(records::KEY_PREFIX).await {
            Ok(listed) if Records::from_objects(&listed.objects).secret_record.is_some() => return,
            Ok(_) => {}
            Err(e) => {
                log::info!(error:% = e; "could not look for the peer secret");
                return;
            }
        }
        let bytes: [u8; 16] = rand::rng().random();
        let key = format!("{:032x}", u128::from_le_bytes(bytes));
        let value = serde_json::json!(PeerSecretRecord { key: key.into() });
        self.store_calls.on_call(StoreCallKind::Registration);
        if let Err(e) = self
            .platform
            .put(&records::peer_secret_key(), Precondition::Absent, &value)
            .await
        {
            log::info!(error:% = e; "could not create the peer secret");
        }
    }
}

fn record_parts(records: &Records) -> Vec<(u64, ViewKey, ViewValue)> {
    let members = records.instances.iter().map(|(name, (version, m))| {
        (
            version.0,
            ViewKey::Member(Arc::clone(name)),
            ViewValue::Member(m.clone()),
        )
    });
    let primaries = records.primaries.iter().map(|(service, (version, r))| {
        (
            version.0,
            ViewKey::Primary(Arc::clone(service)),
            ViewValue::Primary(r.clone()),
        )
    });
    let lease = records.failover_lease.iter().map(|(version, r)| {
        (
            version.0,
            ViewKey::FailoverLease,
            ViewValue::FailoverLease(r.clone()),
        )
    });
    members.chain(primaries).chain(lease).collect()
}

//! The loops that poll the store, and the registration of this instance.

use super::control_loop::ControlThread;
use super::poll_timer::{PollTimer, RETRY_BACKOFF};
use super::records::{self, PeerSecretRecord, Records};
use crate::view::{ViewKey, ViewValue};
use crate::{BackendServer, ClusterSnapshot, Configuration, Connector, Discovery, Promoter, clock};
use async_io::Timer;
use rand::Rng;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Time, Version};
use wasabiyard_platform::{Object, Platform, PlatformError, Precondition};

/// Period of checking whether the circuit breaker allows a call again.
const BREAKER_CHECK_PERIOD: Duration = Duration::from_millis(60);
/// Period of reading the configuration. A withdrawn API key must stop working within seconds.
pub(super) const CONFIGURATION_POLL_PERIOD: Duration = Duration::from_millis(900);
/// Period of reading the records under [`records::KEY_PREFIX`]. Must be well below the view lease, which these reads
/// renew.
pub(super) const RECORDS_POLL_PERIOD: Duration = Duration::from_millis(900);
/// Period of reading the list of backend servers.
const SERVERS_POLL_PERIOD: Duration = Duration::from_millis(1_500);
/// Period of reading which failure domains are out of service.
const DOMAINS_POLL_PERIOD: Duration = Duration::from_millis(2_200);

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    pub(super) async fn poll_configuration(self: Rc<Self>) {
        let mut timer = PollTimer::new(CONFIGURATION_POLL_PERIOD, "configuration");
        loop {
            let as_of = self.state.borrow().snapshot.configuration_as_of;
            if !self.is_fresh_from_relay(as_of, CONFIGURATION_POLL_PERIOD) {
                let call = self.discovery.configuration();
                if let Some((configuration, sent_at)) = self.call_store(&mut timer, call).await {
                    self.apply_configuration(configuration, sent_at);
                    self.publish_snapshot();
                }
            }
            timer.wait_for_next().await;
        }
    }

    /// Makes a call to the store as soon as the circuit breaker allows it. Returns the result with the time at which
    /// the call was sent, which is how recent the data is known to be; `None` when the call failed.
    async fn call_store<T, F>(&self, timer: &mut PollTimer, call: F) -> Option<(T, Time)>
    where
        F: Future<Output = Result<T, PlatformError>>,
    {
        while !self.state.borrow_mut().store_breaker.allows_call(clock::now()) {
            Timer::after(BREAKER_CHECK_PERIOD).await;
        }
        let sent_at = clock::now();
        let result = call.await;
        self.on_call_result(&result);
        timer.observe(result).map(|value| (value, sent_at))
    }

    fn on_call_result<T>(&self, result: &Result<T, PlatformError>) {
        let breaker = &mut self.state.borrow_mut().store_breaker;
        match result {
            Ok(_) => breaker.on_success(),
            Err(_) => breaker.on_failure(clock::now()),
        }
    }

    /// Reads the configuration once, outside the polling loop, because a relay has a newer one. Does nothing while the
    /// circuit breaker is open.
    pub(super) async fn read_configuration(&self) {
        let sent_at = clock::now();
        if !self.state.borrow_mut().store_breaker.allows_call(sent_at) {
            return;
        }
        let result = self.discovery.configuration().await;
        self.on_call_result(&result);
        match result {
            Ok(configuration) => self.apply_configuration(configuration, sent_at),
            Err(e) => log::info!(error:% = e; "could not read the newer configuration"),
        }
    }

    fn apply_configuration(&self, configuration: Option<Arc<Configuration>>, sent_at: Time) {
        let mut state = self.state.borrow_mut();
        let snapshot = &mut state.snapshot;
        let known = snapshot.configuration.as_ref().map(|c| c.version);
        if let Some(new) = configuration.filter(|new| known.is_none_or(|v| v < new.version)) {
            log::info!(version:% = new.version, routes = new.routes.len(); "configuration in force");
            snapshot.configuration = Some(new);
        }
        snapshot.configuration_as_of = sent_at;
    }

    fn apply_servers(&self, servers: Vec<BackendServer>, sent_at: Time) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        log_server_changes(&state.snapshot, &servers);
        let entries = servers
            .iter()
            .map(|s| (ViewKey::Server(Arc::clone(&s.id)), ViewValue::Server(s.clone())));
        let entries = entries.collect();
        state
            .relay_view
            .replace(|k| matches!(k, ViewKey::Server(_)), entries);
        state.snapshot.servers = servers
            .into_iter()
            .map(|s| (Arc::clone(&s.id), Arc::new(s)))
            .collect();
        state.snapshot.servers_as_of = sent_at;
        state.reachability.on_server_list(&state.snapshot, clock::now());
    }

    pub(super) async fn poll_servers(self: Rc<Self>) {
        let mut timer = PollTimer::new(SERVERS_POLL_PERIOD, "servers");
        loop {
            let as_of = self.state.borrow().snapshot.servers_as_of;
            if !self.is_fresh_from_relay(as_of, SERVERS_POLL_PERIOD) {
                let call = self.discovery.backend_servers();
                if let Some((servers, sent_at)) = self.call_store(&mut timer, call).await {
                    self.apply_servers(servers, sent_at);
                    self.publish_snapshot();
                }
            }
            timer.wait_for_next().await;
        }
    }

    pub(super) async fn poll_domains(self: Rc<Self>) {
        let mut timer = PollTimer::new(DOMAINS_POLL_PERIOD, "failure domains");
        loop {
            let as_of = self.state.borrow().snapshot.domains_as_of;
            if !self.is_fresh_from_relay(as_of, DOMAINS_POLL_PERIOD) {
                let call = self.discovery.domains_out();
                if let Some((domains, sent_at)) = self.call_store(&mut timer, call).await {
                    self.apply_domains(domains, sent_at);
                }
            }
            timer.wait_for_next().await;
        }
    }

    fn apply_domains(&self, domains: Vec<Arc<str>>, sent_at: Time) {
        let mut state = self.state.borrow_mut();
        state.snapshot.domains_as_of = sent_at;
        if state.snapshot.domains_out == domains {
            return;
        }
        log::info!(domains:? = domains; "failure domains out of service");
        let entries = domains
            .iter()
            .map(|d| (ViewKey::DomainOut(Arc::clone(d)), ViewValue::DomainOut));
        let entries = entries.collect();
        state
            .relay_view
            .replace(|k| matches!(k, ViewKey::DomainOut(_)), entries);
        state.snapshot.domains_out = domains;
        drop(state);
        self.publish_snapshot();
    }

    pub(super) async fn poll_records(self: Rc<Self>) {
        let mut timer = PollTimer::new(RECORDS_POLL_PERIOD, "records");
        loop {
            let as_of = self.state.borrow().snapshot.records_as_of;
            if !self.is_fresh_from_relay(as_of, RECORDS_POLL_PERIOD) {
                let call = self.platform.list(records::KEY_PREFIX);
                if let Some((changes, sent_at)) = self.call_store(&mut timer, call).await
                    && !self.process_records(&changes.objects, sent_at).await
                {
                    // This instance has just tried to register, and only a list that contains its entry renews the
                    // view lease: read again without waiting.
                    continue;
                }
            }
            timer.wait_for_next().await;
        }
    }

    /// Reads the records once, outside the polling loop and regardless of the circuit breaker.
    pub(super) async fn read_records(&self) {
        let sent_at = clock::now();
        match self.platform.list(records::KEY_PREFIX).await {
            Ok(changes) => {
                self.process_records(&changes.objects, sent_at).await;
            }
            Err(e) => log::info!(error:% = e; "could not read the records"),
        }
    }

    /// Applies a list of the records, then creates the peer secret and registers this instance if either is missing.
    /// Returns whether the list contained the current entry of this instance.
    async fn process_records(&self, objects: &[Object], sent_at: Time) -> bool {
        let records = Records::from_objects(objects);
        let registered = self.is_registered(&records);
        let has_secret = records.secret_record.is_some();
        self.apply_records(records, sent_at, registered);
        if !has_secret {
            self.create_peer_secret().await;
        }
        if !registered && !self.state.borrow().stopping {
            self.register_instance().await;
        }
        registered
    }

    /// Applies the records. They renew the view lease only if they contain the entry of this instance, because the
    /// holder of the failover lease waits only for registered instances when it replaces a primary.
    fn apply_records(&self, records: Records, sent_at: Time, registered: bool) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let entries = record_entries(&records);
        state.relay_view.replace(is_record_key, entries);
        state.failover_lease.on_read(records.failover_lease, now);
        for (service, (version, record)) in records.primaries {
            state.primary_versions.insert(Arc::clone(&service), version);
            state.apply_primary_record(service, record);
        }
        state
            .registry
            .on_read(records.instances.into_values(), sent_at, now);
        state.refresh_snapshot();
        let snapshot = &mut state.snapshot;
        if let Some(secret) = records.secret_record {
            snapshot.peer_secret = Some(Arc::from(secret.key.as_bytes()));
        }
        if registered {
            snapshot.records_as_of = sent_at;
        }
        drop(state);
        self.publish_snapshot();
    }

    fn is_registered(&self, records: &Records) -> bool {
        let own_entry = &self.settings.instance;
        records
            .instances
            .get(own_entry.id.as_str())
            .is_some_and(|(_, found)| found == own_entry)
    }

    async fn register_instance(&self) {
        let own_entry = &self.settings.instance;
        let key = records::instance_key(own_entry.id.as_str());
        let version = self.state.borrow().registry.version(&own_entry.id);
        let precondition = version.map_or(Precondition::Absent, Precondition::Version);
        let value = serde_json::json!(own_entry);
        match self.platform.put(&key, precondition, &value).await {
            Ok(version) => log::info!(version:% = version; "registered"),
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

    /// Creates the key that authenticates messages between instances. The first instance that writes it wins; the
    /// others read that key with their next list.
    async fn create_peer_secret(&self) {
        let bytes: [u8; 16] = rand::rng().random();
        let key = format!("{:032x}", u128::from_le_bytes(bytes));
        let value = serde_json::json!(PeerSecretRecord { key: key.into() });
        if let Err(e) = self
            .platform
            .put(&records::peer_secret_key(), Precondition::Absent, &value)
            .await
        {
            log::info!(error:% = e; "could not create the peer secret");
        }
    }
}

const fn is_record_key(key: &ViewKey) -> bool {
    matches!(
        key,
        ViewKey::Member(_) | ViewKey::Primary(_) | ViewKey::FailoverLease
    )
}

fn record_entries(records: &Records) -> Vec<(ViewKey, ViewValue)> {
    let members = records
        .instances
        .iter()
        .map(|(name, (_, m))| (ViewKey::Member(Arc::clone(name)), ViewValue::Member(m.clone())));
    let primaries = records.primaries.iter().map(|(service, (_, r))| {
        (
            ViewKey::Primary(Arc::clone(service)),
            ViewValue::Primary(r.clone()),
        )
    });
    let lease = records.failover_lease.iter().map(|(version, record)| {
        (
            ViewKey::FailoverLease,
            ViewValue::FailoverLease(*version, record.clone()),
        )
    });
    members.chain(primaries).chain(lease).collect()
}

fn log_server_changes(snapshot: &ClusterSnapshot, servers: &[BackendServer]) {
    for server in servers {
        let known = snapshot.servers.get(&server.id);
        if known.is_none_or(|k| k.draining != server.draining || k.role != server.role) {
            log::info!(
                server:% = server.id, service:% = server.service, role:? = server.role, draining = server.draining;
                "backend server added or changed"
            );
        }
    }
    for id in snapshot.servers.keys() {
        if !servers.iter().any(|s| s.id == *id) {
            log::info!(server:% = id; "backend server removed from the list");
        }
    }
}

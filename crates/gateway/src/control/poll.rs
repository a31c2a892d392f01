//! Reading the store in loops, and the registration of this instance.

use super::control_loop::Control;
use super::pace::{Pace, RETRY_PAUSE};
use super::records::{self, Records, SecretRecord};
use crate::view::{ViewKey, ViewValue};
use crate::{BackendServer, Configuration, Connector, Directory, Discovery, Promoter, clock};
use async_io::Timer;
use rand::Rng;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Time, Version};
use wasabiyard_platform::{Object, Platform, PlatformError, Precondition};

/// Period of looking whether a store that did not answer may be called again.
const GATE_PERIOD: Duration = Duration::from_millis(60);
/// Period of reading the configuration. Keys must stop working within seconds.
pub(super) const CONFIGURATION_PERIOD: Duration = Duration::from_millis(900);
/// Period of reading the own records. Must be well below the view lease.
pub(super) const RECORDS_PERIOD: Duration = Duration::from_millis(900);
/// Period of reading the list of backend servers.
const SERVERS_PERIOD: Duration = Duration::from_millis(1_500);
/// Period of reading the failure domains out of service.
const DOMAINS_PERIOD: Duration = Duration::from_millis(2_200);

impl<P, D, M, C> Control<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    pub(super) async fn poll_configuration(self: Rc<Self>) {
        let mut pace = Pace::new(CONFIGURATION_PERIOD, "configuration");
        loop {
            let proved = self.state.borrow().directory.configuration_as_of;
            if !self.is_followed(proved, CONFIGURATION_PERIOD) {
                let call = self.discovery.configuration();
                if let Some((configuration, asked)) = self.ask_store(&mut pace, call).await {
                    self.take_configuration(configuration, asked);
                    self.publish();
                }
            }
            pace.wait().await;
        }
    }

    /// Makes a call to the store when it is worth while. Returns the answer with the time at which it was asked for.
    async fn ask_store<T, F>(&self, pace: &mut Pace, call: F) -> Option<(T, Time)>
    where
        F: Future<Output = Result<T, PlatformError>>,
    {
        while !self.state.borrow_mut().store_gate.admits(clock::now()) {
            Timer::after(GATE_PERIOD).await;
        }
        let asked = clock::now();
        let result = call.await;
        self.on_store_call(&result);
        pace.settle(result).map(|value| (value, asked))
    }

    fn on_store_call<T>(&self, result: &Result<T, PlatformError>) {
        let gate = &mut self.state.borrow_mut().store_gate;
        match result {
            Ok(_) => gate.on_answer(),
            Err(_) => gate.on_failure(clock::now()),
        }
    }

    /// Reads the configuration once, because a relay has a newer one.
    pub(super) async fn read_configuration(&self) {
        let asked = clock::now();
        if !self.state.borrow_mut().store_gate.admits(asked) {
            return;
        }
        let result = self.discovery.configuration().await;
        self.on_store_call(&result);
        match result {
            Ok(configuration) => self.take_configuration(configuration, asked),
            Err(e) => log::info!(error:% = e; "a newer configuration cannot be read"),
        }
    }

    fn take_configuration(&self, configuration: Option<Arc<Configuration>>, asked: Time) {
        let mut state = self.state.borrow_mut();
        let directory = &mut state.directory;
        let known = directory.configuration.as_ref().map(|c| c.version);
        if let Some(new) = configuration.filter(|new| known.is_none_or(|v| v < new.version)) {
            log::info!(version:% = new.version, routes = new.routes.len(); "configuration in force");
            directory.configuration = Some(new);
        }
        directory.configuration_as_of = asked;
    }

    fn take_servers(&self, servers: Vec<BackendServer>, asked: Time) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        log_server_changes(&state.directory, &servers);
        let parts = servers
            .iter()
            .map(|s| (ViewKey::Server(Arc::clone(&s.id)), ViewValue::Server(s.clone())));
        let parts = parts.collect();
        state.view.replace(|k| matches!(k, ViewKey::Server(_)), parts);
        state.directory.servers = servers
            .into_iter()
            .map(|s| (Arc::clone(&s.id), Arc::new(s)))
            .collect();
        state.directory.servers_as_of = asked;
        state.reports.on_listed(&state.directory, clock::now());
    }

    pub(super) async fn poll_servers(self: Rc<Self>) {
        let mut pace = Pace::new(SERVERS_PERIOD, "servers");
        loop {
            let proved = self.state.borrow().directory.servers_as_of;
            if !self.is_followed(proved, SERVERS_PERIOD) {
                let call = self.discovery.backend_servers();
                if let Some((servers, asked)) = self.ask_store(&mut pace, call).await {
                    self.take_servers(servers, asked);
                    self.publish();
                }
            }
            pace.wait().await;
        }
    }

    pub(super) async fn poll_domains(self: Rc<Self>) {
        let mut pace = Pace::new(DOMAINS_PERIOD, "failure domains");
        loop {
            let proved = self.state.borrow().directory.domains_as_of;
            if !self.is_followed(proved, DOMAINS_PERIOD) {
                let call = self.discovery.domains_out();
                if let Some((domains, asked)) = self.ask_store(&mut pace, call).await {
                    self.take_domains(domains, asked);
                }
            }
            pace.wait().await;
        }
    }

    fn take_domains(&self, domains: Vec<Arc<str>>, asked: Time) {
        let mut state = self.state.borrow_mut();
        state.directory.domains_as_of = asked;
        if state.directory.domains_out == domains {
            return;
        }
        log::info!(out:? = domains; "failure domains out of service");
        let parts = domains
            .iter()
            .map(|d| (ViewKey::DomainOut(Arc::clone(d)), ViewValue::DomainOut));
        let parts = parts.collect();
        state.view.replace(|k| matches!(k, ViewKey::DomainOut(_)), parts);
        state.directory.domains_out = domains;
        drop(state);
        self.publish();
    }

    pub(super) async fn poll_records(self: Rc<Self>) {
        let mut pace = Pace::new(RECORDS_PERIOD, "records");
        loop {
            let proved = self.state.borrow().directory.records_as_of;
            if !self.is_followed(proved, RECORDS_PERIOD) {
                let call = self.platform.list(records::KIND);
                if let Some((changes, asked)) = self.ask_store(&mut pace, call).await
                    && !self.on_records(&changes.objects, asked).await
                {
                    // The list has to be read again before it proves anything.
                    continue;
                }
            }
            pace.wait().await;
        }
    }

    /// Reads the records once.
    pub(super) async fn read_records(&self) {
        let asked = clock::now();
        match self.platform.list(records::KIND).await {
            Ok(changes) => {
                self.on_records(&changes.objects, asked).await;
            }
            Err(e) => log::info!(error:% = e; "the records cannot be read"),
        }
    }

    /// Takes over what the store has. Returns whether this instance is registered.
    async fn on_records(&self, objects: &[Object], asked: Time) -> bool {
        let records = Records::read(objects);
        let registered = self.is_registered(&records);
        let secret = records.secret.is_some();
        self.take_records(records, asked, registered);
        if !secret {
            self.create_secret().await;
        }
        if !registered && !self.state.borrow().stopping {
            self.register().await;
        }
        registered
    }

    /// Takes over the records. They prove the view only once this instance is registered, so that whoever replaces a
    /// primary waits for it.
    fn take_records(&self, records: Records, asked: Time, registered: bool) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let parts = view_parts(&records);
        state.view.replace(is_record, parts);
        state.duty.on_read(records.duty, now);
        for (service, (version, record)) in records.primaries {
            state.versions.insert(Arc::clone(&service), version);
            state.adopt(service, record);
        }
        state
            .register
            .on_read(records.instances.into_values(), asked, now);
        state.on_register();
        let directory = &mut state.directory;
        if let Some(secret) = records.secret {
            directory.peer_secret = Some(Arc::from(secret.key.as_bytes()));
        }
        if registered {
            directory.records_as_of = asked;
        }
        drop(state);
        self.publish();
    }

    fn is_registered(&self, records: &Records) -> bool {
        let me = &self.settings.instance;
        records
            .instances
            .get(me.id.as_str())
            .is_some_and(|(_, found)| found == me)
    }

    async fn register(&self) {
        let me = &self.settings.instance;
        let key = records::instance_key(me.id.as_str());
        let version = self.state.borrow().register.version(&me.id);
        let expect = version.map_or(Precondition::Absent, Precondition::Version);
        let value = serde_json::json!(me);
        match self.platform.put(&key, expect, &value).await {
            Ok(version) => log::info!(version:% = version; "registered"),
            Err(PlatformError::Conflict { found, .. }) if found != Version(0) => {
                // An earlier process of this name left its entry.
                self.state.borrow_mut().register.on_version(&me.id, found);
            }
            Err(e) => {
                log::info!(error:% = e; "cannot register");
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }

    async fn create_secret(&self) {
        let bytes: [u8; 16] = rand::rng().random();
        let key = format!("{:032x}", u128::from_le_bytes(bytes));
        let value = serde_json::json!(SecretRecord { key: key.into() });
        if let Err(e) = self
            .platform
            .put(&records::secret_key(), Precondition::Absent, &value)
            .await
        {
            log::info!(error:% = e; "the secret of the fleet was not written");
        }
    }
}

const fn is_record(key: &ViewKey) -> bool {
    matches!(key, ViewKey::Member(_) | ViewKey::Primary(_) | ViewKey::Duty)
}

fn view_parts(records: &Records) -> Vec<(ViewKey, ViewValue)> {
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
    let duty = records
        .duty
        .iter()
        .map(|(version, record)| (ViewKey::Duty, ViewValue::Duty(*version, record.clone())));
    members.chain(primaries).chain(duty).collect()
}

fn log_server_changes(directory: &Directory, servers: &[BackendServer]) {
    for server in servers {
        let known = directory.servers.get(&server.id);
        if known.is_none_or(|k| k.draining != server.draining || k.role != server.role) {
            log::info!(
                server:% = server.id, service:% = server.service, role:? = server.role, draining = server.draining;
                "backend server"
            );
        }
    }
    for id in directory.servers.keys() {
        if !servers.iter().any(|s| s.id == *id) {
            log::info!(server:% = id; "backend server no longer listed");
        }
    }
}

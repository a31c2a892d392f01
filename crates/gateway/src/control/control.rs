//! The loops of the control thread.

use super::duty::DutyView;
use super::failover::Reports;
use super::records::{self, Records, SecretRecord};
use crate::{Directory, Discovery, PeerMessage, PrimaryRecord, Promoter, clock};
use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use rand::Rng;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time, Version};
use wasabiyard_platform::{Expect, ListedInstance, Platform, PlatformError};

/// Period of reading the configuration. Keys must stop working within seconds.
const CONFIGURATION_PERIOD: Duration = Duration::from_millis(900);
/// Period of reading the own records. Must be well below the view lease.
const RECORDS_PERIOD: Duration = Duration::from_millis(900);
/// Period of reading the list of backend servers.
const SERVERS_PERIOD: Duration = Duration::from_millis(1_200);
/// Period of reading the failure domains out of service.
const DOMAINS_PERIOD: Duration = Duration::from_millis(1_500);
/// Pause after a first failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failed calls.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Period of the duty's renewal.
const RENEWAL_PERIOD: Duration = Duration::from_millis(1_000);
/// Period of the control thread's decisions.
const TICK: Duration = Duration::from_millis(60);
/// An instance that is silent for this long is taken off the register.
const SILENT_INSTANCE: Duration = Duration::from_secs(12);

/// What the traffic thread tells the control thread.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// A peer recorded a change of a primary.
    Recorded {
        /// The service.
        service: Arc<str>,
        /// The record.
        record: PrimaryRecord,
    },
    /// An instance uses no primary of an epoch below this one any more.
    Released {
        /// The instance.
        from: InstanceId,
        /// The service.
        service: Arc<str>,
        /// The epoch.
        epoch: u64,
    },
    /// An instance runs, and which servers do not answer it.
    Report {
        /// The instance.
        from: InstanceId,
        /// Ids of the servers.
        unreachable: Vec<Arc<str>>,
    },
}

/// Settings of the control thread.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// This instance, as it registers itself.
    pub instance: ListedInstance,
}

/// Connections of the control thread to the rest of the process.
#[derive(Debug)]
pub struct ControlWiring {
    /// Where the directory is published.
    pub directory: Arc<ArcSwap<Directory>>,
    /// Told after each publication.
    pub changed: Sender<()>,
    /// What the traffic thread tells.
    pub events: Receiver<ControlEvent>,
    /// Messages to all other instances.
    pub broadcast: Sender<PeerMessage>,
    /// Closed when the process stops.
    pub stop: Receiver<()>,
}

/// The other side of a running control thread.
#[derive(Debug)]
pub struct ControlHandle {
    thread: std::thread::JoinHandle<()>,
}

impl ControlHandle {
    /// Waits until the thread has ended, which it does after its stop channel is closed.
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!("the control thread panicked");
        }
    }
}

/// State of the control thread.
#[derive(Debug)]
pub struct Control<P, D, M, C> {
    pub(super) platform: P,
    pub(super) discovery: D,
    pub(super) promoter: M,
    pub(super) connector: C,
    pub(super) settings: ControlSettings,
    pub(super) wiring: ControlWiring,
    pub(super) state: RefCell<State>,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) directory: Directory,
    pub(super) duty: DutyView,
    pub(super) versions: HashMap<Arc<str>, Version>,
    pub(super) instance_versions: HashMap<Arc<str>, Version>,
    pub(super) reports: Reports,
    pub(super) released: HashMap<(InstanceId, Arc<str>), u64>,
    pub(super) heard: HashMap<InstanceId, Time>,
    pub(super) moving: HashSet<Arc<str>>,
    pub(super) stopping: bool,
}

impl<P, D, M, C> Control<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: crate::Connector + 'static,
{
    /// Starts the control thread. `open` makes its edges on that thread.
    ///
    /// # Errors
    ///
    /// When the thread cannot be started.
    pub fn spawn<F>(settings: ControlSettings, wiring: ControlWiring, open: F) -> std::io::Result<ControlHandle>
    where
        F: FnOnce() -> (P, D, M, C) + Send + 'static,
    {
        let run = move || {
            let (platform, discovery, promoter, connector) = open();
            let control = Rc::new(Self {
                platform,
                discovery,
                promoter,
                connector,
                settings,
                wiring,
                state: RefCell::default(),
            });
            let executor = Rc::new(LocalExecutor::new());
            async_io::block_on(executor.run(control.run(Rc::clone(&executor))));
        };
        let thread = std::thread::Builder::new().name("control".to_owned()).spawn(run)?;
        Ok(ControlHandle { thread })
    }

    async fn run(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>) {
        executor.spawn(Rc::clone(&self).poll_configuration()).detach();
        executor.spawn(Rc::clone(&self).poll_records()).detach();
        executor.spawn(Rc::clone(&self).poll_servers()).detach();
        executor.spawn(Rc::clone(&self).poll_domains()).detach();
        executor.spawn(Rc::clone(&self).take_events()).detach();
        executor.spawn(Rc::clone(&self).keep_duty()).detach();
        executor
            .spawn(Rc::clone(&self).watch_primaries(Rc::clone(&executor)))
            .detach();
        // The channel carries nothing; it is closed when the process stops.
        let _closed = self.wiring.stop.recv().await;
        self.state.borrow_mut().stopping = true;
        self.sign_off().await;
    }

    async fn poll_configuration(self: Rc<Self>) {
        let mut pace = Pace::new(CONFIGURATION_PERIOD, "configuration");
        loop {
            let asked = clock::now();
            let result = self.discovery.configuration().await;
            if let Some(configuration) = pace.settle(result) {
                {
                    let mut state = self.state.borrow_mut();
                    let directory = &mut state.directory;
                    let known = directory.configuration.as_ref().map(|c| c.version);
                    if let Some(new) = configuration.filter(|new| known.is_none_or(|v| v < new.version)) {
                        log::info!(version:% = new.version, routes = new.routes.len(); "configuration in force");
                        directory.configuration = Some(new);
                    }
                    directory.configuration_proved = asked;
                }
                self.publish();
            }
            pace.wait().await;
        }
    }

    async fn poll_servers(self: Rc<Self>) {
        let mut pace = Pace::new(SERVERS_PERIOD, "servers");
        loop {
            let result = self.discovery.backend_servers().await;
            if let Some(servers) = pace.settle(result) {
                let now = clock::now();
                {
                    let mut state = self.state.borrow_mut();
                    let state = &mut *state;
                    log_server_changes(&state.directory, &servers);
                    state.directory.servers = servers
                        .into_iter()
                        .map(|s| (Arc::clone(&s.id), Arc::new(s)))
                        .collect();
                    state.reports.on_listed(&state.directory, now);
                }
                self.publish();
            }
            pace.wait().await;
        }
    }

    async fn poll_domains(self: Rc<Self>) {
        let mut pace = Pace::new(DOMAINS_PERIOD, "failure domains");
        loop {
            let result = self.discovery.domains_out().await;
            if let Some(domains) = pace.settle(result) {
                let changed = self.state.borrow().directory.domains_out != domains;
                if changed {
                    log::info!(out:? = domains; "failure domains out of service");
                    self.state.borrow_mut().directory.domains_out = domains;
                    self.publish();
                }
            }
            pace.wait().await;
        }
    }

    async fn poll_records(self: Rc<Self>) {
        let mut pace = Pace::new(RECORDS_PERIOD, "records");
        loop {
            let asked = clock::now();
            let result = self.platform.list(records::KIND).await;
            if let Some(changes) = pace.settle(result) {
                let records = Records::read(&changes.objects);
                let registered = self.is_registered(&records);
                let secret = records.secret.is_some();
                self.take_records(records, asked, registered);
                if !secret {
                    self.create_secret().await;
                }
                if !registered {
                    self.register().await;
                    // The list has to be read again before it proves anything.
                    continue;
                }
            }
            pace.wait().await;
        }
    }

    /// Takes over the records. They prove the view only once this instance is registered, so that whoever replaces a
    /// primary waits for it.
    fn take_records(&self, records: Records, asked: Time, registered: bool) {
        let now = clock::now();
        {
            let mut state = self.state.borrow_mut();
            state.duty.on_read(records.duty, now);
            for (service, (version, record)) in records.primaries {
                state.versions.insert(Arc::clone(&service), version);
                state.adopt(service, record);
            }
            state.instance_versions = records
                .instances
                .iter()
                .map(|(n, (v, _))| (Arc::clone(n), *v))
                .collect();
            let mut members: Vec<_> = records.instances.into_values().map(|(_, m)| m).collect();
            members.sort_by(|a, b| a.id.cmp(&b.id));
            for member in &members {
                state.heard.entry(member.id.clone()).or_insert(now);
            }
            let holder = state.duty.holder().map(Arc::clone);
            let directory = &mut state.directory;
            directory.members = members;
            directory.duty_holder = holder;
            if let Some(secret) = records.secret {
                directory.peer_secret = Some(Arc::from(secret.key.as_bytes()));
            }
            if registered {
                directory.records_proved = asked;
            }
        }
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
        let version = self.state.borrow().instance_versions.get(me.id.as_str()).copied();
        let expect = version.map_or(Expect::Absent, Expect::Version);
        let value = serde_json::json!(me);
        match self.platform.put(&key, expect, &value).await {
            Ok(version) => log::info!(version:% = version; "registered"),
            Err(e) => {
                log::info!(error:% = e; "cannot register");
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }

    async fn create_secret(&self) {
        let bytes: [u8; 16] = rand::rng().random();
        let key = bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
        let value = serde_json::json!(SecretRecord { key: key.into() });
        if let Err(e) = self
            .platform
            .put(&records::secret_key(), Expect::Absent, &value)
            .await
        {
            log::info!(error:% = e; "the secret of the fleet was not written");
        }
    }

    async fn take_events(self: Rc<Self>) {
        while let Ok(event) = self.wiring.events.recv().await {
            let now = clock::now();
            match event {
                ControlEvent::Recorded { service, record } => {
                    let changed = self.state.borrow_mut().adopt(service, record);
                    if changed {
                        self.publish();
                    }
                }
                ControlEvent::Released {
                    from,
                    service,
                    epoch,
                } => {
                    let mut state = self.state.borrow_mut();
                    let known = state.released.entry((from, service)).or_default();
                    *known = epoch.max(*known);
                }
                ControlEvent::Report { from, unreachable } => {
                    let mut state = self.state.borrow_mut();
                    state.heard.insert(from.clone(), now);
                    state.reports.on_report(from, unreachable, now);
                }
            }
        }
    }

    async fn keep_duty(self: Rc<Self>) {
        let me: Arc<str> = Arc::from(self.settings.instance.id.as_str());
        let incarnation = self.settings.instance.incarnation;
        loop {
            Timer::after(TICK).await;
            let now = clock::now();
            let (due, expect) = {
                let state = self.state.borrow();
                if state.stopping || !state.directory.view_lease_holds(now) {
                    continue;
                }
                let rank = state
                    .directory
                    .members
                    .iter()
                    .position(|m| m.id.as_str() == &*me)
                    .unwrap_or(0);
                let due = state.duty.due(&me, incarnation, rank, RENEWAL_PERIOD, now);
                let version = state.duty.record().map(|(v, _)| *v);
                (due, version.map_or(Expect::Absent, Expect::Version))
            };
            let Some(record) = due else {
                continue;
            };
            let value = serde_json::json!(record);
            match self.platform.put(&records::duty_key(), expect, &value).await {
                Ok(version) => {
                    if record.renewals == 0 {
                        log::info!(fence = record.fence; "holds the failover duty");
                    }
                    let mut state = self.state.borrow_mut();
                    state.duty.on_written(version, record, now, clock::now());
                    self.tidy_members(&mut state, now);
                }
                Err(e) => {
                    log::info!(error:% = e; "the failover duty was not renewed or taken");
                    // The next reading of the records shows what holds.
                    Timer::after(RECORDS_PERIOD).await;
                }
            }
        }
    }

    fn tidy_members(&self, state: &mut State, now: Time) {
        let me = &self.settings.instance.id;
        state.heard.insert(me.clone(), now);
        let members: Vec<_> = state.directory.members.iter().map(|m| m.id.clone()).collect();
        state.heard.retain(|id, _| members.contains(id));
    }

    /// Silent instances are taken off the register, so that their part of rates and connections is free again.
    pub(super) async fn remove_silent_instances(&self) {
        let now = clock::now();
        let silent: Vec<_> = {
            let state = self.state.borrow();
            let heard = state.heard.iter();
            let silent = heard.filter(|(id, at)| {
                **id != self.settings.instance.id && now.saturating_since(**at) > SILENT_INSTANCE
            });
            silent
                .filter_map(|(id, _)| {
                    let version = state.instance_versions.get(id.as_str())?;
                    Some((id.clone(), *version))
                })
                .collect()
        };
        for (id, version) in silent {
            match self
                .platform
                .delete(&records::instance_key(id.as_str()), version)
                .await
            {
                Ok(()) => log::info!(instance:% = id; "silent instance taken off the register"),
                Err(e) => log::info!(instance:% = id, error:% = e; "silent instance stays on the register"),
            }
            self.state.borrow_mut().heard.insert(id, now);
        }
    }

    /// Gives up the duty and the registration.
    async fn sign_off(&self) {
        let me = &self.settings.instance;
        let (duty, version) = {
            let state = self.state.borrow();
            let duty = state.duty.record().cloned();
            let mine = duty.filter(|(_, r)| *r.holder == *me.id.as_str() && r.incarnation == me.incarnation);
            (mine, state.instance_versions.get(me.id.as_str()).copied())
        };
        if let Some((version, mut record)) = duty {
            record.released = true;
            let value = serde_json::json!(record);
            let key = records::duty_key();
            if let Err(e) = self.platform.put(&key, Expect::Version(version), &value).await {
                log::info!(error:% = e; "the failover duty was not given up");
            }
        }
        if let Some(version) = version {
            let key = records::instance_key(me.id.as_str());
            if let Err(e) = self.platform.delete(&key, version).await {
                log::info!(error:% = e; "this instance stays on the register");
            }
        }
    }

    /// Makes the present directory visible to the traffic thread.
    pub(super) fn publish(&self) {
        let directory = Arc::new(self.state.borrow().directory.clone());
        self.wiring.directory.store(directory);
        // A full channel means that a notice is under way.
        let _notified = self.wiring.changed.try_send(());
    }
}

impl State {
    /// Takes over a record unless a newer one is known. Returns whether it changed anything.
    pub(super) fn adopt(&mut self, service: Arc<str>, record: PrimaryRecord) -> bool {
        let known = self.directory.primaries.get(&service);
        if known.is_some_and(|k| k.epoch >= record.epoch) {
            return false;
        }
        log::info!(service:% = service, epoch = record.epoch, leadership:? = record.leadership; "primary record");
        self.directory.primaries.insert(service, record);
        true
    }
}

fn log_server_changes(directory: &Directory, servers: &[crate::BackendServer]) {
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

/// Time between the calls of one loop, and the log of a lost and regained dependency.
#[derive(Debug)]
struct Pace {
    period: Duration,
    what: &'static str,
    failures: u32,
    started: Time,
}

impl Pace {
    fn new(period: Duration, what: &'static str) -> Self {
        Self {
            period,
            what,
            failures: 0,
            started: clock::now(),
        }
    }

    fn settle<T>(&mut self, result: Result<T, PlatformError>) -> Option<T> {
        match result {
            Ok(value) => {
                if self.failures > 0 {
                    log::info!(what = self.what, failures = self.failures; "store answers again");
                }
                self.failures = 0;
                Some(value)
            }
            Err(e) => {
                if self.failures == 0 {
                    log::info!(what = self.what, error:% = e; "store does not answer");
                }
                self.failures += 1;
                None
            }
        }
    }

    async fn wait(&mut self) {
        let pause = if self.failures == 0 {
            let spent = clock::now().saturating_since(self.started);
            let jitter = self.period.mul_f64(0.1 * rand::random::<f64>());
            (self.period + jitter).saturating_sub(spent)
        } else {
            (RETRY_PAUSE * self.failures).min(MAX_RETRY_PAUSE)
        };
        Timer::after(pause.max(Duration::from_millis(20))).await;
        self.started = clock::now();
    }
}

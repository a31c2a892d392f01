//! Puts the parts of the daemon together, and takes them apart in order.

use crate::admin::{Admin, Metrics, MetricsError, StatusSource};
use crate::clock;
use crate::control::{
    self, ControlDependencies, ControlHandle, ControlSettings, ControlThread, Outbound, Recorder,
};
use crate::entry::{Boundary, CancelTable, Entry, Listener, TakeRate};
use crate::home::{Credential, HomeHandle, HomeSettings, Homes};
use crate::link::{Links, LocalPeer, ServeStream};
use crate::rates::{self, Peer, PeerSource, RateLimiterDependencies, RateLimiterHandle, RateLimiterSettings};
use crate::runtime::Runtime;
use crate::settings::Settings;
use crate::snapshot::SnapshotCell;
use crate::tls::{self, TlsError};
use async_io::Timer;
use futures_lite::future;
use miette::Diagnostic;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use wasabiyard_cluster::Identity;
use wasabiyard_model::Incarnation;
use wasabiyard_platform::HttpPlatform;

/// Control messages that wait for the control thread. Control is periodic, so a dropped message is made up for.
const MAX_INBOUND_CONTROL: usize = 4_096;
/// How often a stopping process looks whether its callers are gone.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);
/// Time without a stream of a peer after which peers are taken to use other homes. News of a leaving instance reach all
/// peers in fewer gossip rounds.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// Why the daemon could not start.
#[derive(Debug, Error, Diagnostic)]
pub enum StartError {
    /// A port cannot be opened.
    #[error("[listen] {key} = {address}: the port cannot be opened")]
    #[diagnostic(help("choose a free port and an address of this machine"))]
    Listen {
        /// Key of the setting.
        key: &'static str,
        /// Its value.
        address: SocketAddr,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("a thread cannot be started")]
    #[diagnostic(help("lower [traffic] threads or raise the limit of the process"))]
    Thread(#[from] io::Error),
    /// The control thread cannot be started.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Control(#[from] control::SpawnError),
    /// The thread of the rates cannot be started.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Rates(#[from] rates::SpawnError),
    /// Metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// TLS cannot be set up.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Tls(#[from] TlsError),
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    entry: Arc<Entry>,
    callers: Option<Listener>,
    links: Links,
    control: Arc<ControlHandle>,
    rates: Arc<RateLimiterHandle>,
    runtime: Runtime,
}

impl Daemon {
    /// Opens the ports and starts all parts.
    ///
    /// # Errors
    ///
    /// When a port or a thread cannot be had, or TLS cannot be set up.
    pub fn open(settings: Settings) -> Result<Self, StartError> {
        let settings = Arc::new(settings);
        let tls = tls::acceptor(&settings.tls)?;
        let runtime = Runtime::open(settings.traffic.threads)?;
        let executor = runtime.executor();
        let snapshots = Arc::new(SnapshotCell::default());
        let incarnation = incarnation(&settings);
        let platform = Arc::new(HttpPlatform::new(
            settings.platform.address,
            settings.platform.timeout,
        ));
        let home = Homes::spawn(
            &executor,
            home_settings(&settings, incarnation),
            Arc::clone(&snapshots),
            Arc::clone(&platform),
        );
        let serve_local = serve_stream(home);
        let (control_tx, control_rx) = async_channel::bounded(MAX_INBOUND_CONTROL);
        let (quota_tx, quota_rx) = async_channel::bounded(MAX_INBOUND_CONTROL);
        let recorder = Arc::new(Recorder::new(settings.instance.id.clone()));
        let local = LocalPeer {
            instance: settings.instance.id.clone(),
            incarnation,
            failure_domain: settings.instance.failure_domain.clone(),
            address: settings.listen.peers,
            secret: settings.fleet.secret.clone(),
        };
        let links = Links::new(local, Arc::clone(&executor), Arc::clone(&serve_local), control_tx);
        links
            .listen(settings.listen.peers)
            .map_err(listen_error("peers", settings.listen.peers))?;
        let outbound = links.clone();
        let outbound: Outbound = Arc::new(move |to, control| outbound.send_control(to, control));
        let deps = ControlDependencies {
            platform: Arc::clone(&platform),
            snapshots: Arc::clone(&snapshots),
            outbound: Arc::clone(&outbound),
            inbound: control_rx,
            quota: quota_tx,
            recorder: Arc::clone(&recorder),
        };
        let control = Arc::new(ControlThread::spawn(
            control_settings(&settings, incarnation),
            deps,
        )?);
        let deps = RateLimiterDependencies {
            platform,
            snapshots: Arc::clone(&snapshots),
            outbound,
            inbound: quota_rx,
            peer_source: peer_source(&control),
        };
        let rates = Arc::new(RateLimiterHandle::spawn(
            rates_settings(&settings, incarnation),
            deps,
        )?);
        let entry = Arc::new(Entry {
            settings: Arc::clone(&settings),
            snapshots,
            serve_local,
            links: links.clone(),
            take_rate: take_rate(&rates),
            cancels: Arc::new(CancelTable::default()),
            boundary: Arc::new(Boundary::default()),
            tls,
            executor: Arc::clone(&executor),
            callers: AtomicUsize::new(0),
            requests: AtomicU64::new(0),
        });
        executor.spawn(watch_boundary(Arc::clone(&entry))).detach();
        let admin = Admin {
            metrics: Metrics::new(&entry)?,
            entry: Arc::clone(&entry),
            status: status_source(&control),
            stocked: Arc::new(rates.stocked()),
            timeline: Arc::new(move || recorder.lines()),
        };
        admin
            .open(settings.listen.admin)
            .map_err(listen_error("admin", settings.listen.admin))?;
        let callers = Listener::open(&entry).map_err(listen_error("callers", settings.listen.callers))?;
        log::info!(
            instance:% = settings.instance.id,
            callers:% = settings.listen.callers,
            peers:% = settings.listen.peers,
            admin:% = settings.listen.admin;
            "the instance runs"
        );
        Ok(Self {
            entry,
            callers: Some(callers),
            links,
            control,
            rates,
            runtime,
        })
    }

    /// What callers' tasks share.
    pub const fn entry(&self) -> &Arc<Entry> {
        &self.entry
    }

    /// Stops gracefully: tells the peers, takes no new callers, ends callers between their transactions, and waits for
    /// the streams of callers and peers up to the drain timeout.
    pub async fn drain(&mut self) {
        let deadline = clock::now() + self.entry.settings.traffic.drain_timeout;
        log::info!(callers = self.entry.caller_count(); "the instance stops");
        self.control.leave();
        self.callers = None;
        self.entry.boundary.drain();
        let timeout = async {
            Timer::after(deadline.saturating_since(clock::now())).await;
            log::warn!(callers = self.entry.caller_count(); "the drain timeout passed");
        };
        future::or(self.quiesce(), timeout).await;
        log::info!("the instance has stopped");
    }

    /// Waits until nothing runs any more.
    async fn quiesce(&self) {
        while self.entry.caller_count() > 0 {
            Timer::after(DRAIN_INTERVAL).await;
        }
        // Peers still open streams here until they know that the homes have moved.
        let (mut quiet_since, mut seen) = (clock::now(), 0);
        while !self.links.is_empty() && clock::now() < quiet_since + QUIET_TIME {
            let (running, accepted) = self.links.home_streams();
            if running > 0 || accepted != seen {
                quiet_since = clock::now();
                seen = accepted;
            }
            Timer::after(DRAIN_INTERVAL).await;
        }
        // Units that are given away need not be reissued by the others.
        self.rates.leave();
        while !self.rates.is_drained() {
            Timer::after(DRAIN_INTERVAL).await;
        }
        self.links.flush().await;
    }

    /// Ends the threads.
    pub fn close(self) {
        drop(self.rates);
        drop(self.control);
        drop(self.runtime);
    }
}

async fn watch_boundary(entry: Arc<Entry>) {
    entry.boundary.watch(&entry.snapshots).await;
}

fn serve_stream(home: HomeHandle) -> ServeStream {
    Arc::new(move |id, open, end| home.serve(id, open, end))
}

fn home_settings(settings: &Settings, incarnation: Incarnation) -> HomeSettings {
    HomeSettings {
        instance: settings.instance.id.clone(),
        incarnation,
        credential: Credential {
            user: settings.backend.user.clone(),
            password: settings.backend.password.expose().to_owned(),
        },
    }
}

fn identity(settings: &Settings, incarnation: Incarnation) -> Identity {
    Identity {
        instance: settings.instance.id.clone(),
        incarnation,
        address: settings.listen.peers,
        failure_domain: settings.instance.failure_domain.clone(),
    }
}

fn rates_settings(settings: &Settings, incarnation: Incarnation) -> RateLimiterSettings {
    RateLimiterSettings {
        identity: identity(settings, incarnation),
        platform_timeout: settings.platform.timeout,
        random_seed: rand::random(),
    }
}

fn take_rate(rates: &RateLimiterHandle) -> TakeRate {
    let rates = Arc::clone(rates.rate_limiter());
    Arc::new(move |organisation, attempt, now| rates.try_take(organisation, attempt, now))
}

/// The members that the control thread knows.
fn peer_source(control: &Arc<ControlHandle>) -> PeerSource {
    let control = Arc::downgrade(control);
    Arc::new(move || {
        control
            .upgrade()
            .map_or_else(Vec::new, |control| Peer::from_status(&control.status()))
    })
}

fn control_settings(settings: &Settings, incarnation: Incarnation) -> ControlSettings {
    ControlSettings {
        identity: identity(settings, incarnation),
        seeds: settings.fleet.seeds.clone(),
        platform_timeout: settings.platform.timeout,
        random_seed: rand::random(),
    }
}

/// The control state as JSON, and whether every organisation has units of its rate here. Holds the handles weakly, so
/// that the daemon decides when their threads end.
fn status_source(control: &Arc<ControlHandle>) -> StatusSource {
    let control = Arc::downgrade(control);
    Arc::new(move || {
        let status = control.upgrade().map(|control| control.status());
        let status = status.and_then(|status| serde_json::to_value(status.as_ref()).ok());
        status.unwrap_or(Value::Null)
    })
}

/// The incarnation of the settings, or the milliseconds of the wall clock at the start, so that a later process of the
/// same name has a higher number.
fn incarnation(settings: &Settings) -> Incarnation {
    settings.instance.incarnation.unwrap_or_else(|| {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Incarnation(since.as_millis() as u64)
    })
}

fn listen_error(key: &'static str, address: SocketAddr) -> impl FnOnce(io::Error) -> StartError {
    move |source| StartError::Listen { key, address, source }
}

//! Starts the parts of the daemon and shuts them down in order.

use crate::admin::{AdminServer, Metrics, MetricsError, StatusSource};
use crate::clock;
use crate::control::{
    self, ControlDependencies, ControlHandle, ControlSettings, ControlThread, Outbound, Recorder,
};
use crate::entry::{CancelTable, DrainNotifier, Entry, Listener, TakeToken};
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

/// Capacity of the queues of received control and quota messages. They are periodic, so later ones make up for dropped
/// ones.
const INBOUND_QUEUE_CAPACITY: usize = 4_096;
/// Period in which a graceful shutdown checks for remaining callers, streams and share units.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Time without streams of peers after which a graceful shutdown assumes that all peers use other homes. Gossip
/// announces a leaving instance to all peers in less time.
const PEER_QUIET_PERIOD: Duration = Duration::from_secs(1);

/// Why the daemon could not start.
#[derive(Debug, Error, Diagnostic)]
pub enum StartError {
    /// A port cannot be opened.
    #[error("[listen] {key} = {address}: the port cannot be opened")]
    #[diagnostic(help("choose a free port and an address of this machine"))]
    Listen {
        /// Key of the setting.
        key: &'static str,
        /// Value of the setting.
        address: SocketAddr,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The operating system cannot start a traffic thread.
    #[error("a thread cannot be started")]
    #[diagnostic(help("lower [traffic] threads or raise the limit of the process"))]
    Thread(#[from] io::Error),
    /// The operating system cannot start the control thread.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Control(#[from] control::SpawnError),
    /// The operating system cannot start the rate limiter thread.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Rates(#[from] rates::SpawnError),
    /// The metrics cannot be set up.
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
    /// When a port cannot be opened, a thread cannot be started, or TLS or metrics cannot be set up.
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
        let (control_tx, control_rx) = async_channel::bounded(INBOUND_QUEUE_CAPACITY);
        let (quota_tx, quota_rx) = async_channel::bounded(INBOUND_QUEUE_CAPACITY);
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
            rate_limiter_settings(&settings, incarnation),
            deps,
        )?);
        let entry = Arc::new(Entry {
            settings: Arc::clone(&settings),
            snapshots,
            serve_local,
            links: links.clone(),
            take_token: take_token(&rates),
            cancels: Arc::new(CancelTable::default()),
            drain_notifier: Arc::new(DrainNotifier::default()),
            tls,
            executor: Arc::clone(&executor),
            callers: AtomicUsize::new(0),
            requests: AtomicU64::new(0),
        });
        executor.spawn(run_drain_notifier(Arc::clone(&entry))).detach();
        let admin = AdminServer {
            metrics: Metrics::new(&entry)?,
            entry: Arc::clone(&entry),
            status: status_source(&control),
            has_rate_shares: Arc::new(rates.has_rate_shares()),
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
            "instance started"
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

    /// State that the tasks of all callers share.
    pub const fn entry(&self) -> &Arc<Entry> {
        &self.entry
    }

    /// Shuts down gracefully: announces the departure to the peers, accepts no new callers, disconnects each caller
    /// between transactions, and waits up to the drain timeout until the streams of callers and peers have ended and
    /// the share units are transferred.
    pub async fn drain(&mut self) {
        let deadline = clock::now() + self.entry.settings.traffic.drain_timeout;
        log::info!(callers = self.entry.caller_count(); "graceful shutdown started");
        self.control.leave();
        self.callers = None;
        self.entry.drain_notifier.drain();
        let timeout = async {
            Timer::after(deadline.saturating_since(clock::now())).await;
            log::warn!(callers = self.entry.caller_count(); "drain timeout expired");
        };
        future::or(self.quiesce(), timeout).await;
        log::info!("graceful shutdown ended");
    }

    /// Waits until no caller is connected, peers open no more streams here, all share units are transferred and all
    /// queued messages are sent.
    async fn quiesce(&self) {
        while self.entry.caller_count() > 0 {
            Timer::after(DRAIN_POLL_PERIOD).await;
        }
        // Peers open streams here until they learn that the homes have moved.
        let (mut quiet_since, mut accepted_before) = (clock::now(), 0);
        while !self.links.is_empty() && clock::now() < quiet_since + PEER_QUIET_PERIOD {
            let (running, accepted) = self.links.home_streams();
            if running > 0 || accepted != accepted_before {
                quiet_since = clock::now();
                accepted_before = accepted;
            }
            Timer::after(DRAIN_POLL_PERIOD).await;
        }
        // The other instances need not reissue share units that are transferred to them.
        self.rates.leave();
        while !self.rates.is_drained() {
            Timer::after(DRAIN_POLL_PERIOD).await;
        }
        self.links.flush().await;
    }

    /// Stops the rate limiter, control and traffic threads.
    pub fn close(self) {
        drop(self.rates);
        drop(self.control);
        drop(self.runtime);
    }
}

async fn run_drain_notifier(entry: Arc<Entry>) {
    entry.drain_notifier.run(&entry.snapshots).await;
}

fn serve_stream(home: HomeHandle) -> ServeStream {
    Arc::new(move |id, open, endpoint| home.serve(id, open, endpoint))
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

fn rate_limiter_settings(settings: &Settings, incarnation: Incarnation) -> RateLimiterSettings {
    RateLimiterSettings {
        identity: identity(settings, incarnation),
        platform_timeout: settings.platform.timeout,
        random_seed: rand::random(),
    }
}

fn take_token(rates: &RateLimiterHandle) -> TakeToken {
    let rates = Arc::clone(rates.rate_limiter());
    Arc::new(move |organisation, attempt, now| rates.try_take(organisation, attempt, now))
}

/// Returns the live members that the control thread knows. Holds the handle weakly, as [`status_source`] does.
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

/// Returns the control state as JSON. Holds the handle weakly, so that [`Daemon::close`] decides when the control
/// thread ends.
fn status_source(control: &Arc<ControlHandle>) -> StatusSource {
    let control = Arc::downgrade(control);
    Arc::new(move || {
        let status = control.upgrade().map(|control| control.status());
        let status = status.and_then(|status| serde_json::to_value(status.as_ref()).ok());
        status.unwrap_or(Value::Null)
    })
}

/// The incarnation from the settings, or else the wall clock time at the start in milliseconds, so that a later process
/// of the same name has a higher incarnation.
fn incarnation(settings: &Settings) -> Incarnation {
    settings.instance.incarnation.unwrap_or_else(|| {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Incarnation(since.as_millis() as u64)
    })
}

fn listen_error(key: &'static str, address: SocketAddr) -> impl FnOnce(io::Error) -> StartError {
    move |source| StartError::Listen { key, address, source }
}

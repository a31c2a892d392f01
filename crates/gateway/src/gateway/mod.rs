//! A running instance: sessions of callers, messages between instances, and the handle of the control thread.

mod callers;
mod messages;
mod peers;
mod usage;

use crate::control::{
    ControlChannels, ControlEvent, ControlHandle, ControlSettings, ControlThread, UsageContext,
};
use crate::metrics::{Metrics, MetricsError};
use crate::peer::{PeerSocket, ReleaseTargets};
use crate::rate::RateLimiterState;
use crate::sharing::{ConnectionSharing, LeaseServer, SharingRule};
use crate::traffic::{OperationRateLimiter, Pool, PoolSettings, SessionContext, SessionSettings};
use crate::usage::{FleetClock, SharedFleetClock, UsageSettings};
use crate::{ClusterSnapshot, Connector, Discovery, Promoter, Regions, clock};
use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use miette::Diagnostic;
use peers::Peers;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use usage::UsageTraffic;
use wasabiyard_model::{InstanceId, Time, Version};
use wasabiyard_platform::{ListedInstance, Platform};

/// Capacity of the channels between the traffic and the control thread. Messages that do not fit are dropped, because
/// all of them are repeated.
const MAX_PENDING_MESSAGES: usize = 256;
/// Interval of checks for expired waits and leases.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Age of the configuration at which the instance stops being ready, because callers are better served by another one.
const MAX_READY_CONFIGURATION_AGE: Duration = Duration::from_millis(2_600);
/// How long a stopping instance still serves new callers after its readiness probe has begun to fail, so that the load
/// balancer notices before sessions are closed.
const READINESS_DRAIN_DELAY: Duration = Duration::from_millis(2_300);
/// Part of the grace period after which open transactions are ended.
const TRANSACTION_GRACE_FRACTION: f64 = 0.5;
/// Part of the grace period after which the process ends even with open sessions.
const SHUTDOWN_GRACE_FRACTION: f64 = 0.85;

/// Why an instance cannot start.
#[derive(Debug, Error, Diagnostic)]
pub enum OpenError {
    /// The peer port cannot be bound, or the control thread cannot be started.
    #[error("cannot bind the port for other instances or start the control thread")]
    #[diagnostic(help("choose a free port of this machine in [listen] peers"))]
    Io(#[from] io::Error),
    /// Metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Settings of an instance.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Registration of this instance, as other instances see it.
    pub instance: ListedInstance,
    /// Address of the datagram socket for peers.
    pub peers: SocketAddr,
    /// Regions of the failure domains.
    pub regions: Regions,
    /// When the connections of backend servers are shared through holders.
    pub sharing: SharingRule,
    /// Settings that can be changed while the instance runs.
    pub runtime: RuntimeSettings,
    /// Longest idle time inside a transaction when the configuration sets none.
    pub transaction_idle: Duration,
    /// Usage reports; `None` if none are required.
    pub usage: Option<UsageSettings>,
}

/// Settings that a running instance can reload.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RuntimeSettings {
    /// Age of the configuration at which its API keys stop being trusted.
    pub key_lifetime: Duration,
    /// Operations above rate and burst that the fleet may admit for each organisation.
    pub rate_tolerance: f64,
    /// Time from the stop signal to the forced end of the process.
    pub grace: Duration,
}

/// Answer to the load balancer's readiness probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// New callers should be sent to this instance.
    Ready,
    /// New callers should be sent elsewhere; the text is the reason.
    NotReady(&'static str),
}

/// Version of the configuration and registered instances that the rate limiter was configured with.
type RateInputs = (Option<Version>, Vec<InstanceId>);

/// A running instance. All its tasks run on the local executor of the traffic thread; the control thread is separate.
pub struct Gateway<C>
where
    C: Connector + 'static,
{
    settings: GatewaySettings,
    cx: Rc<SessionContext<C>>,
    pool: Rc<Pool<C>>,
    sharing: Rc<ConnectionSharing>,
    rate_limiter: Rc<OperationRateLimiter>,
    snapshot: Arc<ArcSwap<ClusterSnapshot>>,
    peers: Peers,
    events: Sender<ControlEvent>,
    executor: Rc<LocalExecutor<'static>>,
    control: RefCell<Option<ControlHandle>>,
    stop_control: Sender<()>,
    /// Closed to end sessions outside a transaction.
    close_idle_sessions: (Sender<()>, Receiver<()>),
    /// Closed to end sessions inside a transaction too.
    close_all_sessions: (Sender<()>, Receiver<()>),
    stopping: Cell<bool>,
    grace: Cell<Duration>,
    metrics: Rc<Metrics>,
    rate_inputs: RefCell<RateInputs>,
    release_targets: RefCell<ReleaseTargets>,
    usage: Option<UsageTraffic>,
}

impl<C> std::fmt::Debug for Gateway<C>
where
    C: Connector + 'static,
{
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gateway")
            .field("sessions", &self.sessions())
            .finish_non_exhaustive()
    }
}

impl<C> Gateway<C>
where
    C: Connector + 'static,
{
    /// Binds the peer socket and starts the control thread. `open_clients` is called on that thread and creates its
    /// clients of the store, service discovery, the promotion service and backend servers.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound or the thread cannot be started.
    pub fn open<P, D, M, K, F>(
        settings: GatewaySettings,
        connector: C,
        executor: &Rc<LocalExecutor<'static>>,
        open_clients: F,
    ) -> Result<Rc<Self>, OpenError>
    where
        P: Platform + 'static,
        D: Discovery + 'static,
        M: Promoter + 'static,
        K: Connector + 'static,
        F: FnOnce() -> (P, D, M, K) + Send + 'static,
    {
        let snapshot = Arc::new(ArcSwap::from_pointee(ClusterSnapshot::default()));
        let metrics = Metrics::open()?;
        let (changed_tx, changed) = async_channel::bounded(1);
        let (events, events_rx) = async_channel::bounded(MAX_PENDING_MESSAGES);
        let (outbound_tx, outbound_rx) = async_channel::bounded(MAX_PENDING_MESSAGES);
        let (stop_control, stop) = async_channel::bounded(1);
        let usage_cx = settings.usage.map(|usage| UsageContext {
            settings: usage,
            clock: SharedFleetClock::new(FleetClock::new(clock::wall(), clock::now())),
            reports: Arc::clone(metrics.usage_reports()),
        });
        let usage = usage_cx
            .as_ref()
            .map(|cx| UsageTraffic::new(cx, &settings.instance.id));
        let channels = ControlChannels {
            snapshot: Arc::clone(&snapshot),
            snapshot_changed: changed_tx,
            events: events_rx,
            outbound: outbound_tx,
            stop,
            store_calls: Arc::clone(metrics.store_calls()),
            usage: usage_cx,
        };
        let control_settings = ControlSettings {
            instance: settings.instance.clone(),
            regions: settings.regions.clone(),
        };
        let registration = &settings.instance;
        let socket = Rc::new(PeerSocket::bind(
            settings.peers,
            registration.id.clone(),
            registration.incarnation,
            settings.regions.are_several(),
        )?);
        let control = ControlThread::spawn(control_settings, channels, open_clients)?;
        let pool = Pool::new(
            connector,
            PoolSettings {
                domain: Arc::from(registration.domain.as_str()),
                regions: settings.regions.clone(),
                seed: registration.incarnation.0,
            },
            Rc::clone(&metrics),
            Rc::clone(executor),
        );
        let sharing = open_sharing(&settings, &pool, &snapshot, executor);
        let peers = Peers {
            socket,
            snapshot: Arc::clone(&snapshot),
            compact_readers: Rc::default(),
        };
        let position_peers = peers.clone();
        pool.enable_position_requests(Box::new(move |to, message| position_peers.send(to, &message)));
        let rate_limiter = open_rate_limiter(&settings, &peers, &pool);
        let cx = Rc::new(SessionContext {
            pool: Rc::clone(&pool),
            rate_limiter: Rc::clone(&rate_limiter),
            metrics: Rc::clone(&metrics),
            executor: Rc::clone(executor),
            usage: usage.as_ref().map(|usage| Rc::clone(&usage.counter)),
            settings: Cell::new(SessionSettings {
                key_lifetime: settings.runtime.key_lifetime,
            }),
        });
        let gateway = Rc::new(Self {
            grace: Cell::new(settings.runtime.grace),
            settings,
            cx,
            pool,
            sharing,
            rate_limiter,
            snapshot,
            peers,
            events,
            executor: Rc::clone(executor),
            control: RefCell::new(Some(control)),
            stop_control,
            close_idle_sessions: async_channel::bounded(1),
            close_all_sessions: async_channel::bounded(1),
            stopping: Cell::new(false),
            metrics,
            rate_inputs: RefCell::default(),
            release_targets: RefCell::default(),
            usage,
        });
        executor
            .spawn(Rc::clone(&gateway).follow_snapshots(changed))
            .detach();
        executor
            .spawn(Rc::clone(&gateway).send_outbound(outbound_rx))
            .detach();
        executor.spawn(Rc::clone(&gateway).receive_from_peers()).detach();
        executor.spawn(Rc::clone(&gateway).heartbeat_loop()).detach();
        executor.spawn(Rc::clone(&gateway).tick_loop()).detach();
        executor.spawn(Rc::clone(&gateway).usage_loop()).detach();
        Ok(gateway)
    }

    /// Whether new callers should be sent to this instance at `now`.
    pub fn readiness(&self, now: Time) -> Readiness {
        let snapshot = self.pool.snapshot();
        if self.stopping.get() {
            Readiness::NotReady("stopping")
        } else if snapshot.configuration.is_none() {
            Readiness::NotReady("no configuration")
        } else if !snapshot.keys_are_current(MAX_READY_CONFIGURATION_AGE, now) {
            Readiness::NotReady("configuration too old")
        } else if !snapshot.view_lease_holds(now) {
            Readiness::NotReady("primaries not proved")
        } else if snapshot.servers.is_empty() {
            Readiness::NotReady("no backend servers")
        } else {
            Readiness::Ready
        }
    }

    /// Applies reloaded settings.
    pub fn apply(&self, runtime: RuntimeSettings) {
        self.grace.set(runtime.grace);
        self.cx.settings.set(SessionSettings {
            key_lifetime: runtime.key_lifetime,
        });
        self.rate_limiter
            .state()
            .borrow_mut()
            .set_tolerance(runtime.rate_tolerance);
    }

    /// Metrics of the traffic thread.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Number of connected callers.
    pub fn sessions(&self) -> usize {
        self.metrics.sessions()
    }

    /// Shuts the instance down gracefully: the readiness probe fails at once, sessions outside a transaction are closed
    /// once the load balancer has had time to notice, and open transactions get a part of the grace period to end.
    pub async fn drain(&self) {
        let started = clock::now();
        log::info!(sessions = self.sessions(); "stopping");
        self.stopping.set(true);
        self.sharing.leave();
        let grace = self.grace.get();
        let transactions_end = started + grace.mul_f64(TRANSACTION_GRACE_FRACTION);
        let end = started + grace.mul_f64(SHUTDOWN_GRACE_FRACTION);
        Timer::after(READINESS_DRAIN_DELAY.min(grace / 2)).await;
        self.close_idle_sessions.0.close();
        self.wait_for_sessions(transactions_end).await;
        self.close_all_sessions.0.close();
        self.wait_for_sessions(end).await;
        while self.sharing.served_leases() > 0 && clock::now() < end {
            Timer::after(TICK_INTERVAL).await;
        }
        self.sharing.end_links();
        self.hand_over_usage().await;
        self.stop_control.close();
        if let Some(control) = self.control.take() {
            control.join();
        }
        log::info!(sessions = self.sessions(); "stopped");
    }

    pub(super) async fn wait_for_sessions(&self, end: Time) {
        while self.sessions() > 0 && clock::now() < end {
            Timer::after(TICK_INTERVAL).await;
        }
    }
}

/// Lets the pool use connections of other instances, and serves those that this instance holds.
fn open_sharing<C>(
    settings: &GatewaySettings,
    pool: &Rc<Pool<C>>,
    snapshot: &Arc<ArcSwap<ClusterSnapshot>>,
    executor: &Rc<LocalExecutor<'static>>,
) -> Rc<ConnectionSharing>
where
    C: Connector + 'static,
{
    let sharing = ConnectionSharing::new(
        settings.sharing,
        &settings.instance,
        Arc::clone(snapshot),
        Rc::clone(executor),
    );
    pool.enable_sharing(Rc::clone(&sharing));
    if let Err(e) = sharing.listen(settings.peers, Rc::clone(pool) as Rc<dyn LeaseServer>) {
        // The others use direct connections to the servers that this instance would hold.
        log::warn!(address:% = settings.peers, error:% = e; "cannot listen for links of other instances");
    }
    sharing
}

/// Creates the rate limiter, which sends its messages through `peers`.
fn open_rate_limiter<C>(
    settings: &GatewaySettings,
    peers: &Peers,
    pool: &Rc<Pool<C>>,
) -> Rc<OperationRateLimiter>
where
    C: Connector + 'static,
{
    let id = settings.instance.id.clone();
    let state = RateLimiterState::new(id, settings.runtime.rate_tolerance);
    let peers = peers.clone();
    let send_to = move |to: &InstanceId, message| peers.send(to, &message);
    let pool = Rc::clone(pool);
    let peer_delay = move |to: &InstanceId| pool.peer_delay(to, clock::now());
    let rate_limiter = OperationRateLimiter::new(state, Box::new(send_to));
    Rc::new(rate_limiter.with_peer_delay(Box::new(peer_delay)))
}

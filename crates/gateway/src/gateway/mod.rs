//! A running instance: the traffic of callers, messages between instances, and the control thread.

mod callers;
mod messages;
mod peers;

use crate::control::{ControlChannels, ControlEvent, ControlHandle, ControlSettings, ControlThread};
use crate::metrics::{Metrics, MetricsError};
use crate::peer::{PeerSocket, ReleaseTargets};
use crate::rate::RateBook;
use crate::traffic::{AdmissionGate, Pool, PoolSettings, SessionContext, SessionSettings};
use crate::{Connector, Directory, Discovery, Promoter, clock};
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
use wasabiyard_model::{InstanceId, Time, Version};
use wasabiyard_platform::{ListedInstance, Platform};

/// Messages between the threads that may wait. All of them are repeated.
const MAX_PENDING_MESSAGES: usize = 256;
/// Period of looking for what has expired.
const TICK: Duration = Duration::from_millis(20);
/// Age of the configuration above which callers are better served by another instance.
const READY_CONFIGURATION_AGE: Duration = Duration::from_millis(2_600);
/// How long a stopping instance still takes callers, so that the load balancer has noticed before they are turned away.
const BALANCER_DELAY: Duration = Duration::from_millis(2_300);
/// Part of the grace period that open transactions have to end.
const TRANSACTION_PART: f64 = 0.5;
/// Part of the grace period after which the process ends in any case.
const END_PART: f64 = 0.85;

/// Why an instance cannot start.
#[derive(Debug, Error, Diagnostic)]
pub enum OpenError {
    /// The port for peers or the control thread cannot be had.
    #[error("the port for other instances or the control thread cannot be had")]
    #[diagnostic(help("choose a free port of this machine in [listen] peers"))]
    Io(#[from] io::Error),
    /// Metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Settings of an instance.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// How the instance registers itself.
    pub instance: ListedInstance,
    /// Address of the datagram socket for peers.
    pub peers: SocketAddr,
    /// What can be changed while the instance runs.
    pub runtime: RuntimeSettings,
    /// Idle time after which a transaction is ended when the configuration gives none.
    pub transaction_idle: Duration,
}

/// Settings that a running instance takes over.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RuntimeSettings {
    /// Age of the configuration beyond which keys are not trusted any more.
    pub key_lifetime: Duration,
    /// Operations above rate and burst that the fleet may let pass.
    pub rate_tolerance: f64,
    /// Time between the order to stop and the forced end.
    pub grace: Duration,
}

/// Whether callers should be sent here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// Yes.
    Ready,
    /// No, for this reason.
    NotReady(&'static str),
}

/// Version of the configuration and the instances that the rates were computed from.
type RateInputs = (Option<Version>, Vec<InstanceId>);

/// An instance.
pub struct Gateway<C>
where
    C: Connector + 'static,
{
    settings: GatewaySettings,
    cx: Rc<SessionContext<C>>,
    pool: Rc<Pool<C>>,
    gate: Rc<AdmissionGate>,
    directory: Arc<ArcSwap<Directory>>,
    peers: Peers,
    events: Sender<ControlEvent>,
    executor: Rc<LocalExecutor<'static>>,
    control: RefCell<Option<ControlHandle>>,
    stop_control: Sender<()>,
    /// Closed when idle sessions shall end.
    end_idle: (Sender<()>, Receiver<()>),
    /// Closed when open transactions shall end too.
    end_all: (Sender<()>, Receiver<()>),
    stopping: Cell<bool>,
    grace: Cell<Duration>,
    metrics: Rc<Metrics>,
    configured: RefCell<RateInputs>,
    release_targets: RefCell<ReleaseTargets>,
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
    /// Opens the peer socket and starts the control thread, whose edges `open_edges` makes there.
    ///
    /// # Errors
    ///
    /// When the port or the thread cannot be had.
    pub fn open<P, D, M, K, F>(
        settings: GatewaySettings,
        connector: C,
        executor: &Rc<LocalExecutor<'static>>,
        open_edges: F,
    ) -> Result<Rc<Self>, OpenError>
    where
        P: Platform + 'static,
        D: Discovery + 'static,
        M: Promoter + 'static,
        K: Connector + 'static,
        F: FnOnce() -> (P, D, M, K) + Send + 'static,
    {
        let directory = Arc::new(ArcSwap::from_pointee(Directory::default()));
        let metrics = Metrics::open()?;
        let (changed_tx, changed) = async_channel::bounded(1);
        let (events, events_rx) = async_channel::bounded(MAX_PENDING_MESSAGES);
        let (outgoing_tx, outgoing) = async_channel::bounded(MAX_PENDING_MESSAGES);
        let (stop_control, stop) = async_channel::bounded(1);
        let wiring = ControlChannels {
            directory: Arc::clone(&directory),
            directory_changed: changed_tx,
            events: events_rx,
            outbound: outgoing_tx,
            stop,
        };
        let control_settings = ControlSettings {
            instance: settings.instance.clone(),
        };
        let me = &settings.instance;
        let socket = Rc::new(PeerSocket::bind(settings.peers, me.id.clone(), me.incarnation)?);
        let control = ControlThread::spawn(control_settings, wiring, open_edges)?;
        let pool = Pool::new(
            connector,
            PoolSettings {
                domain: Arc::from(me.domain.as_str()),
                seed: me.incarnation.0,
            },
            Rc::clone(&metrics),
            Rc::clone(executor),
        );
        let rates = RateBook::new(me.id.clone(), settings.runtime.rate_tolerance);
        let peers = Peers {
            socket,
            directory: Arc::clone(&directory),
        };
        let gate_peers = peers.clone();
        let send_to = move |to: &InstanceId, message| gate_peers.send(to, &message);
        let gate = Rc::new(AdmissionGate::new(rates, Box::new(send_to)));
        let cx = Rc::new(SessionContext {
            pool: Rc::clone(&pool),
            gate: Rc::clone(&gate),
            metrics: Rc::clone(&metrics),
            executor: Rc::clone(executor),
            settings: Cell::new(SessionSettings {
                key_lifetime: settings.runtime.key_lifetime,
            }),
        });
        let gateway = Rc::new(Self {
            grace: Cell::new(settings.runtime.grace),
            settings,
            cx,
            pool,
            gate,
            directory,
            peers,
            events,
            executor: Rc::clone(executor),
            control: RefCell::new(Some(control)),
            stop_control,
            end_idle: async_channel::bounded(1),
            end_all: async_channel::bounded(1),
            stopping: Cell::new(false),
            metrics,
            configured: RefCell::default(),
            release_targets: RefCell::default(),
        });
        executor
            .spawn(Rc::clone(&gateway).follow_directory(changed))
            .detach();
        executor
            .spawn(Rc::clone(&gateway).send_outgoing(outgoing))
            .detach();
        executor.spawn(Rc::clone(&gateway).receive_from_peers()).detach();
        executor.spawn(Rc::clone(&gateway).report()).detach();
        executor.spawn(Rc::clone(&gateway).tick()).detach();
        Ok(gateway)
    }

    /// Whether callers should be sent here at `now`.
    pub fn readiness(&self, now: Time) -> Readiness {
        let directory = self.pool.directory();
        if self.stopping.get() {
            Readiness::NotReady("stopping")
        } else if directory.configuration.is_none() {
            Readiness::NotReady("no configuration")
        } else if !directory.keys_are_current(READY_CONFIGURATION_AGE, now) {
            Readiness::NotReady("configuration too old")
        } else if !directory.view_lease_holds(now) {
            Readiness::NotReady("primaries not proved")
        } else if directory.servers.is_empty() {
            Readiness::NotReady("no backend servers")
        } else {
            Readiness::Ready
        }
    }

    /// Takes over settings that may change while the instance runs.
    pub fn apply(&self, runtime: RuntimeSettings) {
        self.grace.set(runtime.grace);
        self.cx.settings.set(SessionSettings {
            key_lifetime: runtime.key_lifetime,
        });
        self.gate
            .rates()
            .borrow_mut()
            .set_tolerance(runtime.rate_tolerance);
    }

    /// Counters and histograms.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Number of callers.
    pub fn sessions(&self) -> usize {
        self.metrics.sessions()
    }

    /// Stops without cutting a request: callers are turned away, idle ones are closed, transactions may end.
    pub async fn drain(&self) {
        let started = clock::now();
        log::info!(sessions = self.sessions(); "stopping");
        self.stopping.set(true);
        let grace = self.grace.get();
        let transactions_end = started + grace.mul_f64(TRANSACTION_PART);
        let end = started + grace.mul_f64(END_PART);
        Timer::after(BALANCER_DELAY.min(grace / 2)).await;
        self.end_idle.0.close();
        self.wait_for_sessions(transactions_end).await;
        self.end_all.0.close();
        self.wait_for_sessions(end).await;
        self.stop_control.close();
        if let Some(control) = self.control.take() {
            control.join();
        }
        log::info!(sessions = self.sessions(); "stopped");
    }

    pub(super) async fn wait_for_sessions(&self, end: Time) {
        while self.sessions() > 0 && clock::now() < end {
            Timer::after(TICK).await;
        }
    }
}

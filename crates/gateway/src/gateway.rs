//! A running instance: the traffic of callers, messages between instances, and the control thread.

use crate::control::{Control, ControlEvent, ControlHandle, ControlSettings, ControlWiring, Outgoing};
use crate::metrics::{Metrics, MetricsError};
use crate::peer::{Envelope, PeerSocket};
use crate::rate::RateBook;
use crate::traffic::{AdmissionGate, Pool, PoolSettings, Session, SessionContext, SessionSettings};
use crate::{
    CallerLink, ConnectionError, Connector, Directory, Discovery, PeerMessage, Phase, Promoter, clock,
};
use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use miette::Diagnostic;
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
/// Shortest period of reporting to the instance that replaces primaries.
const REPORT_PERIOD: Duration = Duration::from_millis(200);
/// Period of reporting for each instance of the fleet, so that one instance can take all reports.
const REPORT_PERIOD_PER_INSTANCE: Duration = Duration::from_millis(4);
/// Period of looking for what has expired.
const TICK: Duration = Duration::from_millis(20);
/// Longest time for a caller to say who it is.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait of a caller for the first configuration.
const FIRST_CONFIGURATION_WAIT: Duration = Duration::from_millis(1_500);
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
        let wiring = ControlWiring {
            directory: Arc::clone(&directory),
            changed: changed_tx,
            events: events_rx,
            outgoing: outgoing_tx,
            stop,
        };
        let control_settings = ControlSettings {
            instance: settings.instance.clone(),
        };
        let me = &settings.instance;
        let socket = Rc::new(PeerSocket::bind(settings.peers, me.id.clone(), me.incarnation)?);
        let control = Control::spawn(control_settings, wiring, open_edges)?;
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

    /// Serves a caller until it leaves.
    pub fn admit<L>(self: &Rc<Self>, link: L)
    where
        L: CallerLink + 'static,
    {
        let gateway = Rc::clone(self);
        let task = async move {
            gateway.metrics.on_session_opened();
            if let Err(e) = gateway.serve(link).await {
                log::debug!(error:% = e; "a caller's connection ended");
            }
            gateway.metrics.on_session_closed();
        };
        self.executor.spawn(task).detach();
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

    async fn wait_for_sessions(&self, end: Time) {
        while self.sessions() > 0 && clock::now() < end {
            Timer::after(TICK).await;
        }
    }

    async fn serve<L>(self: &Rc<Self>, mut link: L) -> Result<(), ConnectionError>
    where
        L: CallerLink,
    {
        let login = within(LOGIN_TIMEOUT, link.login()).await?;
        self.await_configuration().await;
        let mut session = match Session::open(Rc::clone(&self.cx), login) {
            Ok(session) => session,
            Err(answer) => return link.reject(&answer).await,
        };
        link.welcome().await?;
        let result = self.exchange(&mut link, &mut session).await;
        session.close();
        result
    }

    async fn exchange<L>(&self, link: &mut L, session: &mut Session<C>) -> Result<(), ConnectionError>
    where
        L: CallerLink,
    {
        loop {
            let req = match self.next_request(link, session).await? {
                Next::Request(req) => req,
                Next::End => return Ok(()),
                Next::Idle => {
                    session.on_idle();
                    continue;
                }
            };
            let answer = session.handle(&req).await;
            link.send(&answer).await?;
        }
    }

    async fn next_request<L>(&self, link: &mut L, session: &Session<C>) -> Result<Next, ConnectionError>
    where
        L: CallerLink,
    {
        let received = async {
            Ok(match link.receive().await? {
                Some(req) => Next::Request(req),
                None => Next::End,
            })
        };
        match session.phase() {
            Phase::Idle => received.or(ended(&self.end_idle.1)).await,
            Phase::InTransaction => {
                let idle = async {
                    Timer::after(self.transaction_idle()).await;
                    Ok(Next::Idle)
                };
                received.or(ended(&self.end_all.1)).or(idle).await
            }
            Phase::Failed => received.or(ended(&self.end_all.1)).await,
        }
    }

    fn transaction_idle(&self) -> Duration {
        let directory = self.pool.directory();
        let configured = directory.configuration.as_ref().and_then(|c| c.transaction_idle);
        configured.unwrap_or(self.settings.transaction_idle)
    }

    async fn await_configuration(&self) {
        let end = clock::now() + FIRST_CONFIGURATION_WAIT;
        while self.pool.directory().configuration.is_none() && clock::now() < end {
            Timer::after(TICK).await;
        }
    }

    async fn follow_directory(self: Rc<Self>, changed: Receiver<()>) {
        while changed.recv().await.is_ok() {
            let directory = self.directory.load_full();
            let now = clock::now();
            self.configure_rates(&directory, now);
            self.pool.update(&directory, now);
        }
    }

    fn configure_rates(&self, directory: &Directory, now: Time) {
        let Some(configuration) = &directory.configuration else {
            return;
        };
        let members: Vec<_> = directory.members.iter().map(|m| m.id.clone()).collect();
        let new = (Some(configuration.version), members);
        if *self.configured.borrow() == new {
            return;
        }
        let rules = configuration.organisations.values();
        let mut rates = self.gate.rates().borrow_mut();
        rates.configure(rules, &new.1, now);
        *self.configured.borrow_mut() = new;
    }

    async fn send_outgoing(self: Rc<Self>, outgoing: Receiver<Outgoing>) {
        while let Ok(outgoing) = outgoing.recv().await {
            match outgoing {
                Outgoing::One(to, message) => self.peers.send(&to, &message),
                Outgoing::Many(to, message) => {
                    let me = &self.settings.instance.id;
                    for to in to.iter().filter(|id| *id != me) {
                        self.peers.send(to, &message);
                    }
                }
            }
        }
    }

    /// Sends a message to the instance that replaces primaries.
    fn tell_duty_holder(&self, message: &PeerMessage) {
        let directory = self.pool.directory();
        if let Some(holder) = &directory.duty_holder
            && **holder != *self.settings.instance.id.as_str()
        {
            self.peers.send(&InstanceId::from(&**holder), message);
        }
    }

    async fn receive_from_peers(self: Rc<Self>) {
        let mut buf = Vec::new();
        loop {
            if let Err(e) = self.peers.socket.receive(&mut buf).await {
                log::warn!(error:% = e; "the peer socket failed");
                Timer::after(TICK).await;
                continue;
            }
            let directory = self.pool.directory();
            let Some(secret) = &directory.peer_secret else {
                continue;
            };
            match Envelope::open(&buf, secret) {
                Ok(envelope) => self.on_peer(envelope),
                Err(e) => log::debug!(error:% = e; "a datagram was dropped"),
            }
        }
    }

    fn on_peer(&self, envelope: Envelope) {
        let from = envelope.from;
        match envelope.message {
            PeerMessage::Report { unreachable } => {
                self.tell_control(ControlEvent::Report { from, unreachable });
            }
            PeerMessage::RateAsk {
                question,
                organisation,
                wish,
            } => self.gate.on_ask(&from, question, &organisation, wish),
            PeerMessage::RateAnswer { question, answer } => self.gate.on_answer(question, answer),
            PeerMessage::ViewAsk { question, mark } => {
                self.tell_control(ControlEvent::ViewAsk { from, question, mark });
            }
            PeerMessage::ViewAnswer { question, page } => {
                self.tell_control(ControlEvent::ViewAnswer { question, page });
            }
            PeerMessage::Recorded { service, record } => {
                self.tell_control(ControlEvent::Recorded { service, record });
            }
            PeerMessage::Released { service, epoch } => {
                self.tell_control(ControlEvent::Released { from, service, epoch });
            }
        }
    }

    fn tell_control(&self, event: ControlEvent) {
        if let Err(e) = self.events.try_send(event) {
            log::debug!(error:% = e; "the control thread is behind");
        }
    }

    async fn report(self: Rc<Self>) {
        loop {
            let fleet = self.pool.directory().fleet_size() as u32;
            Timer::after(REPORT_PERIOD.max(REPORT_PERIOD_PER_INSTANCE * fleet)).await;
            let now = clock::now();
            let unreachable = self.pool.unreachable(now);
            self.tell_duty_holder(&PeerMessage::Report {
                unreachable: unreachable.clone(),
            });
            self.tell_control(ControlEvent::Report {
                from: self.settings.instance.id.clone(),
                unreachable,
            });
            self.repeat_releases(now);
        }
    }

    /// While a primary is replaced, says again that this instance does not use the old one.
    fn repeat_releases(&self, now: Time) {
        for (service, epoch) in self.pool.released(now) {
            self.tell_released(&service, epoch);
        }
    }

    fn tell_released(&self, service: &Arc<str>, epoch: u64) {
        self.tell_duty_holder(&PeerMessage::Released {
            service: Arc::clone(service),
            epoch,
        });
        self.tell_control(ControlEvent::Released {
            from: self.settings.instance.id.clone(),
            service: Arc::clone(service),
            epoch,
        });
    }

    async fn tick(self: Rc<Self>) {
        loop {
            Timer::after(TICK).await;
            let now = clock::now();
            self.pool.tick(now);
            for (service, epoch) in self.pool.take_released() {
                self.tell_released(&service, epoch);
            }
        }
    }
}

/// Sends messages to registered instances.
#[derive(Debug, Clone)]
struct Peers {
    socket: Rc<PeerSocket>,
    directory: Arc<ArcSwap<Directory>>,
}

impl Peers {
    fn send(&self, to: &InstanceId, message: &PeerMessage) {
        let directory = self.directory.load();
        let member = directory.members.binary_search_by(|m| m.id.cmp(to));
        let (Ok(member), Some(secret)) = (member, &directory.peer_secret) else {
            log::debug!(instance:% = to; "a message to an instance that is not registered was dropped");
            return;
        };
        let member = &directory.members[member];
        match member.address.parse() {
            Ok(address) => self.socket.send(address, message.clone(), secret),
            Err(e) => log::warn!(instance:% = to, error:% = e; "unreadable address of an instance"),
        }
    }
}

enum Next {
    Request(crate::Request),
    End,
    Idle,
}

/// Ends when the channel is closed; it carries nothing.
async fn ended(channel: &Receiver<()>) -> Result<Next, ConnectionError> {
    let _closed = channel.recv().await;
    Ok(Next::End)
}

async fn within<T, F>(limit: Duration, f: F) -> Result<T, ConnectionError>
where
    F: Future<Output = Result<T, ConnectionError>>,
{
    let expired = async {
        Timer::after(limit).await;
        Err(ConnectionError::Silent)
    };
    f.or(expired).await
}

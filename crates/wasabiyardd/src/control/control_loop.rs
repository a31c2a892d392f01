//! Event loop of the control thread.

mod peers;
mod platform_updates;
mod publish;

use crate::clock;
use crate::control::groups::GroupCache;
use crate::control::platform_reader::PlatformReader;
use crate::control::platform_update::{Document, PlatformUpdate};
use crate::control::status::admission_name;
use crate::control::{ControlDependencies, ControlSettings, Inbound, Outbound, Status, stamped};
use crate::snapshot::AdmissionState;
use arc_swap::ArcSwap;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::{StreamExt as _, future};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_cluster::{Cluster, Command};
use wasabiyard_model::Time;
use wasabiyard_platform::{ManifestIndex, Platform, ReplicationGroup};
use wasabiyard_timeline::{Event, InstanceState, Timestamp};
use wasabiyard_wire::{ControlMessage, MemberState};

const TICK_PERIOD: Duration = Duration::from_millis(100);
/// Time after a tick during which the traffic threads rely on the published admission. It allows for ticks that a busy
/// machine delays; a longer gap means that the process was paused or that the thread hangs.
const ADMISSION_LEASE: Duration = Duration::from_secs(2);
const STATUS_PERIOD: Duration = Duration::from_secs(1);
const UPDATE_QUEUE_CAPACITY: usize = 256;

/// Requests of other threads to the control thread.
#[derive(Debug)]
pub enum Request {
    /// Announce to the peers that this process is shutting down.
    Leave,
    /// Read the replication group of a database from the platform again.
    RefreshGroup(String),
}

enum WakeReason {
    Tick,
    Inbound(Inbound),
    PlatformUpdate(PlatformUpdate),
    Request(Request),
    Stop,
}

/// The state of the control thread.
pub struct ControlLoop<P> {
    settings: ControlSettings,
    deps: ControlDependencies<P>,
    /// Sends control messages that carry a time line stamp.
    outbound: Outbound,
    reader: Rc<PlatformReader<P>>,
    executor: Rc<LocalExecutor<'static>>,
    rng: Pcg64Mcg,
    cluster: Cluster,
    groups: GroupCache,
    session_key: Arc<[u8]>,
    /// Manifest index whose version is newer than the one in force.
    pending_index: Option<ManifestIndex>,
    /// Manifest version whose sections are being read from the platform.
    version_being_read: Option<u64>,
    leaving: bool,
    /// Whether the state has changed since the last snapshot was published.
    snapshot_dirty: bool,
    admission: AdmissionState,
    status: Arc<ArcSwap<Status>>,
    next_status: Time,
    longest_tick: Duration,
}

impl<P> ControlLoop<P>
where
    P: Platform + 'static,
{
    /// Runs until `requests` is closed.
    pub fn run(
        settings: ControlSettings,
        deps: ControlDependencies<P>,
        requests: Receiver<Request>,
        status: Arc<ArcSwap<Status>>,
    ) {
        let (tx, updates) = async_channel::bounded(UPDATE_QUEUE_CAPACITY);
        let mut rng = Pcg64Mcg::seed_from_u64(settings.random_seed);
        let reader = Rc::new(PlatformReader {
            platform: Arc::clone(&deps.platform),
            updates: tx,
            timeout: settings.platform_timeout,
            relay: Cell::new(false),
            rng: RefCell::new(Pcg64Mcg::from_rng(&mut rng)),
        });
        let executor = Rc::new(LocalExecutor::new());
        let cluster = Cluster::new(&settings.identity, settings.seeds.clone(), clock::now());
        let mut state = Self {
            outbound: stamped(&deps.outbound, &deps.recorder),
            settings,
            deps,
            reader,
            executor: Rc::clone(&executor),
            rng,
            cluster,
            groups: GroupCache::default(),
            session_key: Arc::from([]),
            pending_index: None,
            version_being_read: None,
            leaving: false,
            snapshot_dirty: true,
            admission: AdmissionState::NotReady,
            status,
            next_status: Time::ZERO,
            longest_tick: Duration::ZERO,
        };
        state.spawn_readers();
        async_io::block_on(executor.run(state.serve(updates, requests)));
    }

    fn spawn_readers(&self) {
        let reader = || Rc::clone(&self.reader);
        self.executor
            .spawn(reader().watch_document(Document::Manifest))
            .detach();
        self.executor
            .spawn(reader().watch_document(Document::OutOfService))
            .detach();
        self.executor.spawn(reader().poll_instances()).detach();
        self.executor.spawn(reader().load_session_key()).detach();
    }

    async fn serve(&mut self, updates: Receiver<PlatformUpdate>, requests: Receiver<Request>) {
        let mut ticks = Timer::interval(TICK_PERIOD);
        let inbound = self.deps.inbound.clone();
        loop {
            let tick = async { ticks.next().await.map_or(WakeReason::Stop, |_| WakeReason::Tick) };
            let control = async { next_inbound(&inbound).await };
            let update = async {
                updates
                    .recv()
                    .await
                    .map_or(WakeReason::Stop, WakeReason::PlatformUpdate)
            };
            let request = async {
                requests
                    .recv()
                    .await
                    .map_or(WakeReason::Stop, WakeReason::Request)
            };
            // `race` polls in random order, so a flood of messages cannot starve the ticks.
            let wake = future::race(future::race(tick, control), future::race(update, request)).await;
            let mut out = Vec::new();
            match wake {
                WakeReason::Tick => self.tick(&mut out),
                WakeReason::Inbound(inbound) => self.on_inbound(inbound, &mut out),
                WakeReason::PlatformUpdate(update) => self.on_platform_update(update, &mut out),
                WakeReason::Request(request) => self.on_request(request),
                WakeReason::Stop => return,
            }
            self.execute(out);
            self.publish();
        }
    }

    fn tick(&mut self, out: &mut Vec<Command>) {
        let now = clock::now();
        self.cluster.tick(now, &mut self.rng, out);
        // A traffic thread closes admission in the published snapshot when the admission lease expires. A tick
        // publishes the current admission again.
        self.snapshot_dirty |= self.deps.snapshots.load().admission != self.admission;
        self.reader.relay.set(self.cluster.is_relay(now));
        for database in self.groups.start_due_reads(now) {
            self.executor
                .spawn(Rc::clone(&self.reader).read_group(database))
                .detach();
        }
        self.longest_tick = self.longest_tick.max(clock::now().saturating_since(now));
        if now >= self.next_status {
            self.next_status = now + STATUS_PERIOD;
            self.pull_from_peers();
            let mut status =
                Status::from_cluster(&self.settings.identity.instance, &self.cluster, &self.groups);
            admission_name(self.admission).clone_into(&mut status.admission);
            status.relay = self.reader.relay.get();
            status.tick_micros = self.longest_tick.as_micros() as u64;
            self.status.store(Arc::new(status));
            self.longest_tick = Duration::ZERO;
        }
    }

    fn on_inbound(&mut self, (from, address, control): Inbound, out: &mut Vec<Command>) {
        let control = match control {
            ControlMessage::Stamped(stamp, control) => {
                self.deps.recorder.observe(Timestamp(stamp));
                *control
            }
            other => other,
        };
        if is_quota_message(&control) {
            if self.deps.quota.try_send((from, address, control)).is_err() {
                log::debug!("quota message dropped: the queue to the rate limiter is full");
            }
            return;
        }
        if let Some(control) = self.on_fallback_message(address, control) {
            self.cluster
                .on_control((&from, address), control, clock::now(), &mut self.rng, out);
        }
    }

    fn on_request(&mut self, request: Request) {
        let now = clock::now();
        match request {
            Request::Leave => {
                self.leaving = true;
                self.cluster.leave(now);
            }
            Request::RefreshGroup(database) => self.groups.refresh(&database, now),
        }
    }

    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send { to, control } => {
                    (self.outbound)(to, control);
                }
                Command::ManifestInForce { version } => {
                    self.snapshot_dirty = true;
                    self.deps.recorder.record(Event::ConfigurationInForce { version });
                }
                Command::OutOfServiceChanged => {
                    self.snapshot_dirty = true;
                    self.record_out_of_service_changes();
                }
                Command::MemberChanged {
                    instance,
                    incarnation,
                    state,
                } => {
                    let event = Event::InstanceChanged {
                        subject: instance,
                        incarnation,
                        state: timeline_state(state),
                    };
                    self.deps.recorder.record(event);
                }
            }
        }
    }
}

/// Waits for the next message of a peer. When the links have closed the channel, this never returns, so that the loop
/// goes on: the last snapshot of a control thread that has ended would stay in force.
async fn next_inbound(inbound: &Receiver<Inbound>) -> WakeReason {
    match inbound.recv().await {
        Ok(inbound) => WakeReason::Inbound(inbound),
        Err(_closed) => future::pending().await,
    }
}

fn term_changed(database: &str, group: &ReplicationGroup) -> Event {
    Event::TermChanged {
        database: database.to_owned(),
        term: group.term,
        primary: group.primary.clone(),
    }
}

const fn is_quota_message(control: &ControlMessage) -> bool {
    matches!(
        control,
        ControlMessage::ShareAsk { .. }
            | ControlMessage::ShareTransfer(_)
            | ControlMessage::ShareAck { .. }
            | ControlMessage::ShareReturn { .. }
            | ControlMessage::TokenLoan { .. }
            | ControlMessage::RoundFreeze { .. }
            | ControlMessage::RoundReport(_)
            | ControlMessage::RoundDone { .. }
    )
}

const fn timeline_state(state: MemberState) -> InstanceState {
    match state {
        MemberState::Alive => InstanceState::Alive,
        MemberState::Suspect => InstanceState::Suspect,
        MemberState::Leaving => InstanceState::Leaving,
        MemberState::Dead => InstanceState::Dead,
    }
}

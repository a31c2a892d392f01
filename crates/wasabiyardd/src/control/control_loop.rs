//! The loop of the control thread and its state.

mod findings;
mod peers;
mod publish;

use crate::clock;
use crate::control::finding::{Document, Finding};
use crate::control::groups::Groups;
use crate::control::reader::Reader;
use crate::control::status::admission_name;
use crate::control::{ControlSettings, Inbound, Outbound, Status, Wiring, stamped};
use crate::snapshot::Admission;
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

const TICK: Duration = Duration::from_millis(100);
/// Admission is trusted for this long after a tick. A busy machine may delay ticks; a longer gap is a pause.
const TRUST: Duration = Duration::from_secs(2);
const STATUS_PERIOD: Duration = Duration::from_secs(1);
const FINDINGS: usize = 256;

/// What other threads ask of the control thread.
#[derive(Debug)]
pub enum Request {
    /// Announce that this process stops.
    Leave,
    /// Read the group of a database again.
    RefreshGroup(String),
}

enum Wake {
    Tick,
    Inbound(Inbound),
    Finding(Finding),
    Request(Request),
    Stop,
}

/// The state of the control thread.
pub struct ControlLoop<P> {
    settings: ControlSettings,
    wiring: Wiring<P>,
    /// Sends with a stamp.
    outbound: Outbound,
    reader: Rc<Reader<P>>,
    executor: Rc<LocalExecutor<'static>>,
    rng: Pcg64Mcg,
    cluster: Cluster,
    groups: Groups,
    session_key: Arc<[u8]>,
    /// Index of a version that is not in force yet.
    index: Option<ManifestIndex>,
    /// Version whose sections are being read.
    reading_version: Option<u64>,
    leaving: bool,
    /// Whether the next snapshot differs from the published one.
    changed: bool,
    admission: Admission,
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
        wiring: Wiring<P>,
        requests: Receiver<Request>,
        status: Arc<ArcSwap<Status>>,
    ) {
        let (tx, findings) = async_channel::bounded(FINDINGS);
        let mut rng = Pcg64Mcg::seed_from_u64(settings.random_seed);
        let reader = Rc::new(Reader {
            platform: Arc::clone(&wiring.platform),
            findings: tx,
            timeout: settings.platform_timeout,
            relay: Cell::new(false),
            rng: RefCell::new(Pcg64Mcg::from_rng(&mut rng)),
        });
        let executor = Rc::new(LocalExecutor::new());
        let cluster = Cluster::new(&settings.identity, settings.seeds.clone(), clock::now());
        let mut state = Self {
            outbound: stamped(&wiring.outbound, &wiring.recorder),
            settings,
            wiring,
            reader,
            executor: Rc::clone(&executor),
            rng,
            cluster,
            groups: Groups::default(),
            session_key: Arc::from([]),
            index: None,
            reading_version: None,
            leaving: false,
            changed: true,
            admission: Admission::NotReady,
            status,
            next_status: Time::ZERO,
            longest_tick: Duration::ZERO,
        };
        state.spawn_readers();
        async_io::block_on(executor.run(state.serve(findings, requests)));
    }

    fn spawn_readers(&self) {
        let reader = || Rc::clone(&self.reader);
        self.executor
            .spawn(reader().watch_document(Document::Manifest))
            .detach();
        self.executor
            .spawn(reader().watch_document(Document::OutOfService))
            .detach();
        self.executor.spawn(reader().watch_list()).detach();
        self.executor.spawn(reader().session_key()).detach();
    }

    async fn serve(&mut self, findings: Receiver<Finding>, requests: Receiver<Request>) {
        let mut ticks = Timer::interval(TICK);
        let inbound = self.wiring.inbound.clone();
        loop {
            let tick = async { ticks.next().await.map_or(Wake::Stop, |_| Wake::Tick) };
            let control = async { next_inbound(&inbound).await };
            let finding = async { findings.recv().await.map_or(Wake::Stop, Wake::Finding) };
            let request = async { requests.recv().await.map_or(Wake::Stop, Wake::Request) };
            // A random order of polling, so that a flood of messages does not keep ticks from running.
            let wake = future::race(future::race(tick, control), future::race(finding, request)).await;
            let mut out = Vec::new();
            match wake {
                Wake::Tick => self.tick(&mut out),
                Wake::Inbound(inbound) => self.on_inbound(inbound, &mut out),
                Wake::Finding(finding) => self.on_finding(finding, &mut out),
                Wake::Request(request) => self.on_request(request),
                Wake::Stop => return,
            }
            self.execute(out);
            self.publish();
        }
    }

    fn tick(&mut self, out: &mut Vec<Command>) {
        let now = clock::now();
        self.cluster.tick(now, &mut self.rng, out);
        // A reader may have closed admission while ticks were missing; the state of this tick replaces that.
        self.changed |= self.wiring.snapshots.load().admission != self.admission;
        self.reader.relay.set(self.cluster.is_relay(now));
        for database in self.groups.due(now) {
            self.executor
                .spawn(Rc::clone(&self.reader).group(database))
                .detach();
        }
        self.longest_tick = self.longest_tick.max(clock::now().saturating_since(now));
        if now >= self.next_status {
            self.next_status = now + STATUS_PERIOD;
            self.ask_peers();
            let mut status = Status::of(&self.settings.identity.instance, &self.cluster, &self.groups);
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
                self.wiring.recorder.observe(Timestamp(stamp));
                *control
            }
            other => other,
        };
        if is_quota(&control) {
            if self.wiring.quota.try_send((from, address, control)).is_err() {
                log::debug!("a message of rate shares was dropped");
            }
            return;
        }
        if let Some(control) = self.on_substitute(address, control) {
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
                    self.changed = true;
                    self.wiring
                        .recorder
                        .record(Event::ConfigurationInForce { version });
                }
                Command::OutOfServiceChanged => {
                    self.changed = true;
                    self.record_service();
                }
                Command::MemberChanged {
                    instance,
                    incarnation,
                    state,
                } => {
                    let event = Event::InstanceChanged {
                        subject: instance,
                        incarnation,
                        state: shown(state),
                    };
                    self.wiring.recorder.record(event);
                }
            }
        }
    }
}

/// The next message of a peer. Without links the loop goes on: a thread that ended would leave its last snapshot in
/// force for ever.
async fn next_inbound(inbound: &Receiver<Inbound>) -> Wake {
    match inbound.recv().await {
        Ok(inbound) => Wake::Inbound(inbound),
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

const fn is_quota(control: &ControlMessage) -> bool {
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

const fn shown(state: MemberState) -> InstanceState {
    match state {
        MemberState::Alive => InstanceState::Alive,
        MemberState::Suspect => InstanceState::Suspect,
        MemberState::Leaving => InstanceState::Leaving,
        MemberState::Dead => InstanceState::Dead,
    }
}

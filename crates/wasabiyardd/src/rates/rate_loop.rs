//! The loop that runs the state machine of the rates.

use crate::clock;
use crate::control::Inbound;
use crate::rates::caller::Caller;
use crate::rates::handle::Progress;
use crate::rates::{Rates, RatesSettings, RatesWiring};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::{StreamExt as _, future};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};
use wasabiyard_platform::Platform;
use wasabiyard_quota::{Command, Event, Holder, PlatformResponse, Quota};
use wasabiyard_wire::ControlMessage;

const TICK: Duration = Duration::from_millis(100);
/// The control thread renews its table of members once a second.
const MEMBERS_PERIOD: Duration = Duration::from_millis(500);
/// Answers that wait for the loop. At most one call of each kind and bucket is under way.
const MAX_ANSWERS: usize = 256;

/// What other threads ask of the loop.
#[derive(Debug)]
pub(super) enum Request {
    /// Give all units away.
    Leave,
}

enum Wake {
    Tick,
    Message(Inbound),
    Answer(PlatformResponse),
    Request(Request),
    Stop,
}

/// The state of the thread.
pub(super) struct RateLoop<P> {
    wiring: RatesWiring<P>,
    rates: Arc<Rates>,
    progress: Arc<Progress>,
    executor: Rc<LocalExecutor<'static>>,
    caller: Rc<Caller<P>>,
    answers: Sender<PlatformResponse>,
    quota: Quota,
    rng: Pcg64Mcg,
    addresses: HashMap<InstanceId, SocketAddr>,
    manifest_version: u64,
    last_tick: Time,
    next_members: Time,
}

impl<P> RateLoop<P>
where
    P: Platform + 'static,
{
    /// Runs until `requests` is closed.
    pub(super) fn run(
        settings: &RatesSettings,
        wiring: RatesWiring<P>,
        rates: Arc<Rates>,
        progress: Arc<Progress>,
        requests: Receiver<Request>,
    ) {
        let (tx, answers) = async_channel::bounded(MAX_ANSWERS);
        let executor = Rc::new(LocalExecutor::new());
        let identity = &settings.identity;
        let me = Holder::new(identity.instance.clone(), identity.incarnation);
        let mut state = Self {
            rates,
            progress,
            executor: Rc::clone(&executor),
            caller: Rc::new(Caller {
                platform: Arc::clone(&wiring.platform),
                identity: identity.clone(),
                timeout: settings.platform_timeout,
            }),
            answers: tx,
            quota: Quota::new(me),
            rng: Pcg64Mcg::seed_from_u64(settings.random_seed),
            addresses: HashMap::new(),
            manifest_version: 0,
            last_tick: clock::now(),
            next_members: Time::ZERO,
            wiring,
        };
        async_io::block_on(executor.run(state.serve(answers, requests)));
    }

    async fn serve(&mut self, answers: Receiver<PlatformResponse>, requests: Receiver<Request>) {
        let mut ticks = Timer::interval(TICK);
        let inbound = self.wiring.inbound.clone();
        loop {
            let tick = async { ticks.next().await.map_or(Wake::Stop, |_| Wake::Tick) };
            let message = async {
                match inbound.recv().await {
                    Ok(message) => Wake::Message(message),
                    // The control thread has ended; the rates go on until they are stopped themselves.
                    Err(_) => future::pending().await,
                }
            };
            let answer = async { answers.recv().await.map_or(Wake::Stop, Wake::Answer) };
            let request = async { requests.recv().await.map_or(Wake::Stop, Wake::Request) };
            // A random order of polling, so that a flood of messages does not keep ticks from running.
            match future::race(future::race(tick, message), future::race(answer, request)).await {
                Wake::Tick => self.tick(),
                Wake::Message((from, address, message)) => self.on_message(from, address, message),
                Wake::Answer(answer) => {
                    let commands = self.quota.on_event(Event::PlatformResponse(answer), clock::now());
                    self.execute(commands);
                }
                Wake::Request(Request::Leave) => self.quota.start_draining(),
                Wake::Stop => return,
            }
        }
    }

    fn tick(&mut self) {
        let now = clock::now();
        let elapsed = now.saturating_since(self.last_tick);
        self.last_tick = now;
        self.follow_manifest(now);
        self.follow_members(now);
        let names: Vec<Arc<str>> = self.quota.organisations().cloned().collect();
        for name in &names {
            self.settle(name, elapsed, now);
        }
        let commands = self.quota.tick(now, &mut self.rng);
        self.execute(commands);
        for name in &names {
            self.publish(name);
        }
        self.progress
            .drained
            .store(self.quota.is_drained(), Ordering::Release);
        self.progress
            .stocked
            .store(self.quota.is_stocked(), Ordering::Release);
    }

    fn on_message(&mut self, from: InstanceId, address: SocketAddr, message: ControlMessage) {
        let now = clock::now();
        self.addresses.insert(from.clone(), address);
        // Only what is settled can be given: the traffic threads cannot reach it any more.
        let concerned: Option<Arc<str>> = match &message {
            ControlMessage::ShareAsk { organisation, .. }
            | ControlMessage::TokenLoan { organisation, .. } => self
                .quota
                .organisations()
                .find(|name| ***name == **organisation)
                .cloned(),
            _ => None,
        };
        if let Some(name) = &concerned {
            self.settle(name, Duration::ZERO, now);
        }
        let commands = self.quota.on_event(Event::Message(from, message), now);
        self.execute(commands);
        if let Some(name) = &concerned {
            self.publish(name);
        }
    }

    fn settle(&mut self, name: &Arc<str>, elapsed: Duration, now: Time) {
        let reserve = self.quota.reserve(name);
        let settlement = self.rates.level(name).settle(reserve, !elapsed.is_zero());
        self.quota.settle(name, settlement, elapsed, now);
    }

    fn publish(&mut self, name: &Arc<str>) {
        self.rates.level(name).publish(self.quota.publish(name));
    }

    fn follow_manifest(&mut self, now: Time) {
        let snapshot = self.wiring.snapshots.load();
        if snapshot.manifest_version != self.manifest_version {
            self.manifest_version = snapshot.manifest_version;
            let declared = snapshot.manifest.organisations.values();
            self.quota
                .set_organisations(declared.map(|o| (o.name.as_str(), o.rate, o.burst)), now);
        }
    }

    fn follow_members(&mut self, now: Time) {
        if now < self.next_members {
            return;
        }
        self.next_members = now + MEMBERS_PERIOD;
        let members = (self.wiring.members)();
        for peer in &members {
            self.addresses.insert(peer.holder.instance.clone(), peer.address);
        }
        self.quota
            .set_peers(members.into_iter().map(|peer| peer.holder).collect(), now);
    }

    fn execute(&self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send(to, message) => {
                    // Without an address the message counts as lost, which the state machine expects.
                    if let Some(address) = self.addresses.get(&to) {
                        (self.wiring.outbound)(*address, message);
                    }
                }
                Command::CallPlatform(call) => {
                    let (caller, answers) = (Rc::clone(&self.caller), self.answers.clone());
                    let task = async move {
                        // The receiver is gone only when the thread ends, and this task with it.
                        drop(answers.send(caller.call(call).await).await);
                    };
                    self.executor.spawn(task).detach();
                }
                Command::Loan {
                    organisation,
                    micro_tokens,
                    expires,
                } => {
                    self.rates
                        .level(&organisation)
                        .lend(micro_tokens, expires, clock::now());
                }
            }
        }
    }
}

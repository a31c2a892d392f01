//! Event loop of the rate limiter thread, which runs the quota state machine.

use crate::clock;
use crate::control::Inbound;
use crate::rates::handle::Progress;
use crate::rates::platform_client::PlatformClient;
use crate::rates::{RateLimiter, RateLimiterDependencies, RateLimiterSettings};
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

const TICK_PERIOD: Duration = Duration::from_millis(100);
/// Period in which the list of peers is refreshed. The control thread updates it once per second.
const PEERS_REFRESH_PERIOD: Duration = Duration::from_millis(500);
/// Capacity of the queue of platform responses. At most one call of each kind and bucket is in progress.
const RESPONSE_QUEUE_CAPACITY: usize = 256;

/// Requests of other threads to the loop.
#[derive(Debug)]
pub(super) enum Request {
    /// Transfer all share units to other holders.
    Leave,
}

enum WakeReason {
    Tick,
    Message(Inbound),
    Response(PlatformResponse),
    Request(Request),
    Stop,
}

/// State of the rate limiter thread.
pub(super) struct RateLoop<P> {
    deps: RateLimiterDependencies<P>,
    rate_limiter: Arc<RateLimiter>,
    progress: Arc<Progress>,
    executor: Rc<LocalExecutor<'static>>,
    platform_client: Rc<PlatformClient<P>>,
    responses: Sender<PlatformResponse>,
    quota: Quota,
    rng: Pcg64Mcg,
    /// Peer listeners of the instances that are members or have sent a message.
    addresses: HashMap<InstanceId, SocketAddr>,
    manifest_version: u64,
    last_tick: Time,
    next_peers_refresh: Time,
}

impl<P> RateLoop<P>
where
    P: Platform + 'static,
{
    /// Runs until `requests` is closed.
    pub(super) fn run(
        settings: &RateLimiterSettings,
        deps: RateLimiterDependencies<P>,
        rate_limiter: Arc<RateLimiter>,
        progress: Arc<Progress>,
        requests: Receiver<Request>,
    ) {
        let (tx, responses) = async_channel::bounded(RESPONSE_QUEUE_CAPACITY);
        let executor = Rc::new(LocalExecutor::new());
        let identity = &settings.identity;
        let local_holder = Holder::new(identity.instance.clone(), identity.incarnation);
        let mut state = Self {
            rate_limiter,
            progress,
            executor: Rc::clone(&executor),
            platform_client: Rc::new(PlatformClient {
                platform: Arc::clone(&deps.platform),
                identity: identity.clone(),
                timeout: settings.platform_timeout,
            }),
            responses: tx,
            quota: Quota::new(local_holder),
            rng: Pcg64Mcg::seed_from_u64(settings.random_seed),
            addresses: HashMap::new(),
            manifest_version: 0,
            last_tick: clock::now(),
            next_peers_refresh: Time::ZERO,
            deps,
        };
        async_io::block_on(executor.run(state.serve(responses, requests)));
    }

    async fn serve(&mut self, responses: Receiver<PlatformResponse>, requests: Receiver<Request>) {
        let mut ticks = Timer::interval(TICK_PERIOD);
        let inbound = self.deps.inbound.clone();
        loop {
            let tick = async { ticks.next().await.map_or(WakeReason::Stop, |_| WakeReason::Tick) };
            let message = async {
                match inbound.recv().await {
                    Ok(message) => WakeReason::Message(message),
                    // The control thread has ended. Rate limiting goes on until `requests` is closed.
                    Err(_) => future::pending().await,
                }
            };
            let response = async {
                responses
                    .recv()
                    .await
                    .map_or(WakeReason::Stop, WakeReason::Response)
            };
            let request = async {
                requests
                    .recv()
                    .await
                    .map_or(WakeReason::Stop, WakeReason::Request)
            };
            // `race` polls in random order, so a flood of messages cannot starve the ticks.
            match future::race(future::race(tick, message), future::race(response, request)).await {
                WakeReason::Tick => self.tick(),
                WakeReason::Message((from, address, message)) => self.on_message(from, address, message),
                WakeReason::Response(response) => {
                    let commands = self
                        .quota
                        .on_event(Event::PlatformResponse(response), clock::now());
                    self.execute(commands);
                }
                WakeReason::Request(Request::Leave) => self.quota.start_draining(),
                WakeReason::Stop => return,
            }
        }
    }

    fn tick(&mut self) {
        let now = clock::now();
        let elapsed = now.saturating_since(self.last_tick);
        self.last_tick = now;
        self.apply_manifest(now);
        self.refresh_peers(now);
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
            .has_rate_shares
            .store(self.quota.has_units_of_every_organisation(), Ordering::Release);
    }

    fn on_message(&mut self, from: InstanceId, address: SocketAddr, message: ControlMessage) {
        let now = clock::now();
        self.addresses.insert(from.clone(), address);
        // Only settled tokens can be given away, because the traffic threads cannot take them any more.
        let organisation_to_settle: Option<Arc<str>> = match &message {
            ControlMessage::ShareAsk { organisation, .. }
            | ControlMessage::TokenLoan { organisation, .. } => self
                .quota
                .organisations()
                .find(|name| ***name == **organisation)
                .cloned(),
            _ => None,
        };
        if let Some(name) = &organisation_to_settle {
            self.settle(name, Duration::ZERO, now);
        }
        let commands = self.quota.on_event(Event::Message(from, message), now);
        self.execute(commands);
        if let Some(name) = &organisation_to_settle {
            self.publish(name);
        }
    }

    /// Withdraws the tokens above the reserve of an organisation from its pool, and reports the rest and the demand to
    /// the state machine. Attempts are reported only if `elapsed`, the time since the last tick, is not zero.
    fn settle(&mut self, name: &Arc<str>, elapsed: Duration, now: Time) {
        let reserve = self.quota.reserve(name);
        let settlement = self.rate_limiter.pool(name).settle(reserve, !elapsed.is_zero());
        self.quota.settle(name, settlement, elapsed, now);
    }

    /// Makes the settled tokens of an organisation available to the traffic threads.
    fn publish(&mut self, name: &Arc<str>) {
        self.rate_limiter.pool(name).add_tokens(self.quota.publish(name));
    }

    fn apply_manifest(&mut self, now: Time) {
        let snapshot = self.deps.snapshots.load();
        if snapshot.manifest_version != self.manifest_version {
            self.manifest_version = snapshot.manifest_version;
            let declared = snapshot.manifest.organisations.values();
            self.quota
                .set_organisations(declared.map(|o| (o.name.as_str(), o.rate, o.burst)), now);
        }
    }

    fn refresh_peers(&mut self, now: Time) {
        if now < self.next_peers_refresh {
            return;
        }
        self.next_peers_refresh = now + PEERS_REFRESH_PERIOD;
        let peers = (self.deps.peer_source)();
        for peer in &peers {
            self.addresses.insert(peer.holder.instance.clone(), peer.address);
        }
        self.quota
            .set_peers(peers.into_iter().map(|peer| peer.holder).collect(), now);
    }

    fn execute(&self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send(to, message) => {
                    // Without a known address the message counts as lost, which the state machine tolerates.
                    if let Some(address) = self.addresses.get(&to) {
                        (self.deps.outbound)(*address, message);
                    }
                }
                Command::CallPlatform(call) => {
                    let (platform_client, responses) =
                        (Rc::clone(&self.platform_client), self.responses.clone());
                    let task = async move {
                        // The receiver is dropped only when the thread ends, which ends this task too.
                        drop(responses.send(platform_client.call(call).await).await);
                    };
                    self.executor.spawn(task).detach();
                }
                Command::Loan {
                    organisation,
                    micro_tokens,
                    expires,
                } => {
                    self.rate_limiter
                        .pool(&organisation)
                        .add_loan(micro_tokens, expires, clock::now());
                }
            }
        }
    }
}

//! Requesting the view from relays as a follower, and serving it to followers as a relay.

use super::control_loop::{ControlThread, OutboundMessage};
use crate::view::{ViewAges, ViewCursor, ViewPage, ViewProgress, ViewScope, instances_to_query, is_relay};
use crate::{Connector, Discovery, PeerMessage, Promoter, clock};
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time, Version};
use wasabiyard_platform::Platform;

/// Period of requesting changes from a relay; jittered by 10 % either way.
const VIEW_REFRESH_PERIOD: Duration = Duration::from_millis(600);
/// Longest wait for one page from a relay.
const PAGE_TIMEOUT: Duration = Duration::from_millis(200);
/// Age of a relay's data from which the next relay is queried as well.
const MAX_RELAY_DATA_AGE: Duration = Duration::from_millis(1_500);
/// Most pages that one refresh requests from a relay.
const MAX_PAGES_PER_REFRESH: usize = 40;

/// View requests that await a response, by correlation number.
#[derive(Debug, Default)]
pub(super) struct PendingViewRequests {
    next_id: u64,
    pending: HashMap<u64, Sender<ViewPage>>,
}

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Whether this instance reads the store for itself and others.
    pub(super) fn is_relay(&self) -> bool {
        let state = self.state.borrow();
        let snapshot = &state.snapshot;
        is_relay(
            &self.settings.instance.id,
            &snapshot.members,
            snapshot.failover_lease_holder.as_deref(),
            &self.settings.regions,
        )
    }

    /// Refreshes the view from relays periodically while this instance is not a relay itself.
    pub(super) async fn follow_relays(self: Rc<Self>) {
        loop {
            Timer::after(VIEW_REFRESH_PERIOD.mul_f64(0.9 + 0.2 * rand::random::<f64>())).await;
            if self.is_relay() || !self.has_read_store() {
                continue;
            }
            for relay in self.relays_to_query() {
                if self.refresh_from(&relay).await {
                    break;
                }
            }
        }
    }

    /// Whether this instance has registered and read the records from the store once. Only then does it know the other
    /// instances and the secret that authenticates messages to them.
    fn has_read_store(&self) -> bool {
        let state = self.state.borrow();
        state.snapshot.peer_secret.is_some() && state.snapshot.records_as_of > Time::ZERO
    }

    fn relays_to_query(&self) -> Vec<InstanceId> {
        let own = &self.settings.instance;
        let state = self.state.borrow();
        let snapshot = &state.snapshot;
        let holder = snapshot.failover_lease_holder.as_deref();
        let age = snapshot.age(clock::now());
        let regions = &self.settings.regions;
        let instances = instances_to_query(own, &snapshot.members, holder, regions, age, own.incarnation.0);
        instances.into_iter().map(|m| m.id.clone()).collect()
    }

    /// Requests pages from one relay until the view is complete, and applies it. Returns whether the relay's data was
    /// recent enough that no other relay needs to be queried.
    async fn refresh_from(&self, relay: &InstanceId) -> bool {
        for _ in 0..MAX_PAGES_PER_REFRESH {
            let sent_at = clock::now();
            let Some(page) = self.request_page(relay).await else {
                return false;
            };
            let (ages, configuration) = (page.ages, page.configuration);
            let progress = self.state.borrow_mut().view.apply(page);
            if let ViewProgress::Complete { changed } = progress {
                self.apply_view(&changed, ages, sent_at);
                self.on_configuration_version(configuration, sent_at - ages.configuration)
                    .await;
                self.report_unstored_primary_records();
                self.publish_snapshot();
                return ages.records < MAX_RELAY_DATA_AGE && ages.configuration < MAX_RELAY_DATA_AGE;
            }
        }
        false
    }

    async fn request_page(&self, relay: &InstanceId) -> Option<ViewPage> {
        let (tx, rx) = async_channel::bounded(1);
        let (request_id, cursor) = {
            let mut state = self.state.borrow_mut();
            let cursor = state.view.cursor_for(relay);
            let request_id = state.view_requests.next_id;
            state.view_requests.next_id += 1;
            state.view_requests.pending.insert(request_id, tx);
            (request_id, cursor)
        };
        self.send_to_peers(OutboundMessage::Unicast(
            relay.clone(),
            PeerMessage::ViewRequest { request_id, cursor },
        ));
        let response = async { rx.recv().await.ok() };
        let timeout = async {
            Timer::after(PAGE_TIMEOUT).await;
            None
        };
        let page = response.or(timeout).await;
        self.state.borrow_mut().view_requests.pending.remove(&request_id);
        page
    }

    /// Passes a relay's response to the task that awaits it. A response after the timeout is dropped.
    pub(super) fn on_view_response(&self, request_id: u64, page: ViewPage) {
        let response_tx = self.state.borrow_mut().view_requests.pending.remove(&request_id);
        if let Some(response_tx) = response_tx {
            let _delivered = response_tx.try_send(page);
        }
    }

    /// Responds to a follower with a page of the view. Sends nothing until this instance has read the configuration,
    /// the records and the server list.
    pub(super) fn serve_view(&self, from: InstanceId, request_id: u64, cursor: &ViewCursor) {
        let now = clock::now();
        let page = {
            let state = self.state.borrow();
            let snapshot = &state.snapshot;
            let Some(configuration) = &snapshot.configuration else {
                return;
            };
            if snapshot.records_as_of == Time::ZERO || snapshot.servers_as_of == Time::ZERO {
                return;
            }
            let ages = ViewAges {
                configuration: now.saturating_since(snapshot.configuration_as_of),
                records: now.saturating_since(snapshot.records_as_of),
                servers: now.saturating_since(snapshot.servers_as_of),
                domains: now.saturating_since(snapshot.domains_as_of),
            };
            state.view.page(cursor, ages, configuration.version)
        };
        self.send_to_peers(OutboundMessage::Unicast(
            from,
            PeerMessage::ViewResponse { request_id, page },
        ));
    }

    /// Applies the changed scopes of the view. `ages` count from `sent_at`, when the request was sent, so that data never
    /// appears fresher than it is. The view lease is renewed only if the view contains the live entry of this instance.
    fn apply_view(&self, changed: &[ViewScope], ages: ViewAges, sent_at: Time) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        state.observe_generation(now);
        for scope in changed {
            state.on_view_changed(*scope, sent_at - ages.records, now);
        }
        state.registry.on_read_at(sent_at - ages.records);
        let registered = self.is_registered(&state);
        let snapshot = &mut state.snapshot;
        if registered {
            // Also the relay counts only confirmed records in this age.
            snapshot.records_as_of = snapshot.records_as_of.max(sent_at - ages.records);
        }
        snapshot.servers_as_of = snapshot.servers_as_of.max(sent_at - ages.servers);
        snapshot.domains_as_of = snapshot.domains_as_of.max(sent_at - ages.domains);
        if registered {
            state.registered_as_of = state.registered_as_of.max(sent_at - ages.records);
        }
    }

    /// Handles the configuration version that a relay had as of a time. Pages carry only the version, so a configuration
    /// newer than the known one is read from the store.
    async fn on_configuration_version(&self, version: Version, as_of: Time) {
        let known = {
            let state = self.state.borrow();
            state.snapshot.configuration.as_ref().map(|c| c.version)
        };
        if known.is_none_or(|known| known < version) {
            self.read_newer_configuration(version, as_of).await;
        } else if known == Some(version) {
            let mut state = self.state.borrow_mut();
            let snapshot = &mut state.snapshot;
            snapshot.configuration_as_of = snapshot.configuration_as_of.max(as_of);
        }
    }
}

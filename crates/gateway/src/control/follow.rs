//! Asking relays for what they read from the store, and answering as a relay.

use super::control_loop::{Control, Outgoing};
use super::poll::{CONFIGURATION_PERIOD, RECORDS_PERIOD};
use crate::view::{
    ViewAges, ViewCursor, ViewKey, ViewPage, ViewProgress, ViewValue, is_relay, select_relays,
};
use crate::{Connector, Discovery, PeerMessage, Promoter, clock};
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time, Version};
use wasabiyard_platform::{ListedInstance, Platform};

/// Period of asking a relay.
const FOLLOW_PERIOD: Duration = Duration::from_millis(600);
/// Longest wait for a relay's answer.
const ANSWER_WAIT: Duration = Duration::from_millis(120);
/// Age of a relay's reading above which another relay is asked, too.
const USEFUL_AGE: Duration = Duration::from_millis(1_500);
/// Pages of one view that are asked for in a row.
const MAX_PAGES: usize = 40;

/// Questions that wait for an answer.
#[derive(Debug, Default)]
pub(super) struct Questions {
    next: u64,
    waiting: HashMap<u64, Sender<ViewPage>>,
}

impl<P, D, M, C> Control<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Whether this instance reads the store for itself and others.
    pub(super) fn is_relay(&self) -> bool {
        let state = self.state.borrow();
        let directory = &state.directory;
        is_relay(
            &self.settings.instance.id,
            &directory.members,
            directory.duty_holder.as_deref(),
        )
    }

    /// Asks relays in a loop while this instance is not one itself.
    pub(super) async fn follow_relays(self: Rc<Self>) {
        loop {
            Timer::after(FOLLOW_PERIOD.mul_f64(0.9 + 0.2 * rand::random::<f64>())).await;
            if self.is_relay() || !self.is_known() {
                continue;
            }
            for relay in self.relays() {
                if self.follow(&relay).await {
                    break;
                }
            }
        }
    }

    /// Whether the first reading of the store was made, which tells the peers and the secret.
    fn is_known(&self) -> bool {
        let state = self.state.borrow();
        state.directory.peer_secret.is_some() && state.directory.records_as_of > Time::ZERO
    }

    /// The relays, beginning with one that depends on this instance, so that their load is even.
    fn relays(&self) -> Vec<ListedInstance> {
        let state = self.state.borrow();
        let directory = &state.directory;
        let mut relays: Vec<_> = select_relays(&directory.members, directory.duty_holder.as_deref())
            .into_iter()
            .cloned()
            .collect();
        let first = self.settings.instance.incarnation.0 as usize;
        let len = relays.len().max(1);
        relays.rotate_left(first % len);
        relays
    }

    /// Brings the view up to date from one relay. Returns whether it is recent now.
    async fn follow(&self, relay: &ListedInstance) -> bool {
        for _ in 0..MAX_PAGES {
            let asked = clock::now();
            let Some(page) = self.ask_for_view(&relay.id).await else {
                return false;
            };
            let (ages, configuration) = (page.ages, page.configuration);
            let followed = self.state.borrow_mut().follower.apply(page);
            if let ViewProgress::Complete { changed } = followed {
                self.take_view(changed, ages, asked);
                self.take_configuration_version(configuration, asked - ages.configuration)
                    .await;
                self.publish();
                return ages.records < USEFUL_AGE && ages.configuration < USEFUL_AGE;
            }
        }
        false
    }

    async fn ask_for_view(&self, relay: &InstanceId) -> Option<ViewPage> {
        let (tx, rx) = async_channel::bounded(1);
        let (request_id, cursor) = {
            let mut state = self.state.borrow_mut();
            let cursor = state.follower.cursor_for(relay);
            let request_id = state.questions.next;
            state.questions.next += 1;
            state.questions.waiting.insert(request_id, tx);
            (request_id, cursor)
        };
        self.send(Outgoing::One(
            relay.clone(),
            PeerMessage::ViewRequest { request_id, cursor },
        ));
        let answered = async { rx.recv().await.ok() };
        let expired = async {
            Timer::after(ANSWER_WAIT).await;
            None
        };
        let page = answered.or(expired).await;
        self.state.borrow_mut().questions.waiting.remove(&request_id);
        page
    }

    /// Handles an answer of a relay.
    pub(super) fn on_view_answer(&self, request_id: u64, page: ViewPage) {
        let waiting = self.state.borrow_mut().questions.waiting.remove(&request_id);
        if let Some(waiting) = waiting {
            let _delivered = waiting.try_send(page);
        }
    }

    /// Answers a follower, if this instance has read the store.
    pub(super) fn on_view_ask(&self, from: InstanceId, request_id: u64, cursor: ViewCursor) {
        let now = clock::now();
        let page = {
            let state = self.state.borrow();
            let directory = &state.directory;
            let Some(configuration) = &directory.configuration else {
                return;
            };
            if directory.records_as_of == Time::ZERO || directory.servers_as_of == Time::ZERO {
                return;
            }
            let ages = ViewAges {
                configuration: now.saturating_since(directory.configuration_as_of),
                records: now.saturating_since(directory.records_as_of),
                servers: now.saturating_since(directory.servers_as_of),
                domains: now.saturating_since(directory.domains_as_of),
            };
            state.view.page(cursor, ages, configuration.version)
        };
        self.send(Outgoing::One(
            from,
            PeerMessage::ViewResponse { request_id, page },
        ));
    }

    /// Takes over a whole view, as far as it is newer than what this instance has.
    fn take_view(&self, changed: bool, ages: ViewAges, asked: Time) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if changed {
            let mut members = Vec::new();
            let mut primaries = Vec::new();
            let mut servers = HashMap::new();
            let mut domains = Vec::new();
            let mut duty = None;
            for (key, value) in state.follower.parts() {
                match (key, value) {
                    (ViewKey::Member(_), ViewValue::Member(m)) => members.push(m.clone()),
                    (ViewKey::Primary(service), ViewValue::Primary(r)) => {
                        primaries.push((Arc::clone(service), r.clone()));
                    }
                    (ViewKey::Duty, ViewValue::Duty(version, record)) => {
                        duty = Some((*version, record.clone()));
                    }
                    (ViewKey::Server(id), ViewValue::Server(s)) => {
                        servers.insert(Arc::clone(id), Arc::new(s.clone()));
                    }
                    (ViewKey::DomainOut(name), ViewValue::DomainOut) => domains.push(Arc::clone(name)),
                    _ => log::warn!(key:? = key; "a part of the view does not fit its key"),
                }
            }
            if asked - ages.records > state.directory.records_as_of {
                for (service, record) in primaries {
                    state.adopt(service, record);
                }
                state.duty.on_read(duty, now);
                state.register.on_view(members, now);
                state.on_register();
            }
            if asked - ages.servers > state.directory.servers_as_of {
                state.directory.servers = servers;
                state.reports.on_listed(&state.directory, now);
            }
            if asked - ages.domains > state.directory.domains_as_of {
                state.directory.domains_out = domains;
            }
        }
        let me = &self.settings.instance;
        let directory = &mut state.directory;
        if directory.members.contains(me) {
            directory.records_as_of = directory.records_as_of.max(asked - ages.records);
        }
        directory.servers_as_of = directory.servers_as_of.max(asked - ages.servers);
        directory.domains_as_of = directory.domains_as_of.max(asked - ages.domains);
    }

    /// A relay has the configuration `version`, read at `proved`. A newer one is read from the store.
    async fn take_configuration_version(&self, version: Version, proved: Time) {
        let known = {
            let state = self.state.borrow();
            state.directory.configuration.as_ref().map(|c| c.version)
        };
        if known.is_none_or(|known| known < version) {
            self.read_configuration().await;
        } else if known == Some(version) {
            let mut state = self.state.borrow_mut();
            let directory = &mut state.directory;
            directory.configuration_as_of = directory.configuration_as_of.max(proved);
        }
    }

    /// Whether a part that was read at `proved` and is read every `period` is kept up to date by relays.
    pub(super) fn is_followed(&self, proved: Time, period: Duration) -> bool {
        let grace = CONFIGURATION_PERIOD.max(RECORDS_PERIOD);
        !self.is_relay() && clock::now() < proved + period + grace
    }
}

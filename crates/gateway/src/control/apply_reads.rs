//! Application of what this instance has read from the store to its view and its cluster snapshot.

use super::control_loop::{ControlThread, OutboundMessage};
use super::records::Records;
use crate::view::{ViewKey, ViewScope, ViewValue};
use crate::{BackendServer, Configuration, Connector, Discovery, Entries, PeerMessage, Promoter, clock};
use std::sync::Arc;
use wasabiyard_model::{InstanceId, Time};
use wasabiyard_platform::{Generation, Platform};

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Applies a configuration that was read at `revision`. After a restore of the store, it proves nothing until it can
    /// be told that operators have written again what was lost.
    pub(super) fn apply_configuration(
        &self,
        revision: u64,
        configuration: Option<Arc<Configuration>>,
        as_of: Time,
    ) {
        let mut state = self.state.borrow_mut();
        let known = state.snapshot.configuration.as_ref().map(|c| c.version);
        let read = configuration.as_ref().map(|c| c.version);
        let now = clock::now();
        let is_current = Generation::of(revision) == state.generation.current();
        let is_proof = (is_current && state.is_confirmed() && state.has_settled(now))
            || read.is_some_and(|read| {
                let generation = &state.generation;
                generation.has_rewritten_configuration(revision, read, known, now)
            });
        let snapshot = &mut state.snapshot;
        if let Some(new) = configuration.filter(|new| known.is_none_or(|v| v < new.version)) {
            log::info!(
                version:% = new.version, routes = new.routes.len(), overload_order:? = new.overload_order;
                "configuration in force"
            );
            snapshot.configuration = Some(new);
        }
        if is_proof {
            snapshot.configuration_as_of = snapshot.configuration_as_of.max(as_of);
        }
    }

    pub(super) fn apply_servers(&self, revision: u64, servers: Entries<BackendServer>, as_of: Time) {
        let parts = servers.into_iter().map(|(version, s)| {
            (
                version.0,
                ViewKey::Server(Arc::clone(&s.id)),
                ViewValue::Server(s),
            )
        });
        let parts = parts.collect();
        let mut state = self.state.borrow_mut();
        if state.view.replace(ViewScope::Servers, revision, parts) {
            state.on_view_changed(ViewScope::Servers, as_of, clock::now());
        }
        state.snapshot.servers_as_of = state.snapshot.servers_as_of.max(as_of);
    }

    pub(super) fn apply_domains(&self, revision: u64, domains: Entries<Arc<str>>, as_of: Time) {
        let parts = domains
            .into_iter()
            .map(|(version, name)| (version.0, ViewKey::DomainOut(name), ViewValue::DomainOut));
        let parts = parts.collect();
        let mut state = self.state.borrow_mut();
        if state.view.replace(ViewScope::Domains, revision, parts) {
            state.on_view_changed(ViewScope::Domains, as_of, clock::now());
        }
        state.snapshot.domains_as_of = state.snapshot.domains_as_of.max(as_of);
    }

    /// Applies the records. They renew the view lease only if they contain the entry of this instance, because the
    /// holder of the failover lease waits only for registered instances when it replaces a primary, and only if they are
    /// confirmed.
    pub(super) fn apply_records(&self, revision: u64, records: &Records, as_of: Time) -> bool {
        let mut state = self.state.borrow_mut();
        if revision >= state.view.revision(ViewScope::Records) {
            state
                .view
                .replace(ViewScope::Records, revision, record_parts(records));
            // Also when nothing has changed: the registry waits for versions and for reads after a moment.
            state.on_view_changed(ViewScope::Records, as_of, clock::now());
        }
        if let Some(secret) = &records.secret_record {
            state.snapshot.peer_secret = Some(Arc::from(secret.key.as_bytes()));
        }
        let registered = self.is_registered(&state);
        if registered {
            state.registered_as_of = state.registered_as_of.max(as_of);
        }
        if registered && state.is_confirmed() {
            state.snapshot.records_as_of = state.snapshot.records_as_of.max(as_of);
        }
        drop(state);
        self.report_unstored_primary_records();
        self.publish_snapshot();
        registered
    }

    /// Tells the holder of the failover lease which primary records a restored store has lost, and which conflict with those
    /// in the store.
    pub(super) fn report_unstored_primary_records(&self) {
        let (holder, unstored) = {
            let state = self.state.borrow();
            let holder = state.snapshot.failover_lease_holder.clone();
            (holder, state.unstored_primary_records())
        };
        let own_id = self.settings.instance.id.as_str();
        let Some(holder) = holder.filter(|holder| **holder != *own_id) else {
            return;
        };
        for (service, record) in unstored {
            let message = PeerMessage::PrimaryRecordChanged { service, record };
            self.send_to_peers(OutboundMessage::Unicast(InstanceId::from(&*holder), message));
        }
    }
}

fn record_parts(records: &Records) -> Vec<(u64, ViewKey, ViewValue)> {
    let members = records.instances.iter().map(|(name, (version, m))| {
        (
            version.0,
            ViewKey::Member(Arc::clone(name)),
            ViewValue::Member(m.clone()),
        )
    });
    let primaries = records.primaries.iter().map(|(service, (version, r))| {
        (
            version.0,
            ViewKey::Primary(Arc::clone(service)),
            ViewValue::Primary(r.clone()),
        )
    });
    let lease = records.failover_lease.iter().map(|(version, r)| {
        (
            version.0,
            ViewKey::FailoverLease,
            ViewValue::FailoverLease(r.clone()),
        )
    });
    members.chain(primaries).chain(lease).collect()
}

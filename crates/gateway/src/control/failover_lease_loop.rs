//! Acquiring, renewing and releasing the failover lease, and pruning the instance registry.

use super::control_loop::ControlThread;
use super::failover_lease::FailoverLeaseRecord;
use super::records;
use super::store_calls::StoreCallKind;
use crate::view::rank_instances;
use crate::{Connector, Discovery, Promoter, VIEW_LEASE, clock};
use async_io::Timer;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Time, Version};
use wasabiyard_platform::{ListedInstance, ListedState, Platform, Precondition};

/// Period at which the holder renews the lease.
const LEASE_RENEWAL_PERIOD: Duration = Duration::from_secs(1);
/// Pause after a failed write of the lease.
const RETRY_PERIOD: Duration = Duration::from_millis(900);
/// Period of checking whether an acquisition or renewal is due.
const LEASE_CHECK_PERIOD: Duration = Duration::from_millis(60);

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Acquires and renews the failover lease whenever that is due. Does nothing while this instance is stopping or
    /// has not found itself registered lately.
    pub(super) async fn maintain_failover_lease(self: Rc<Self>) {
        let own_id: Arc<str> = Arc::from(self.settings.instance.id.as_str());
        let incarnation = self.settings.instance.incarnation;
        loop {
            Timer::after(LEASE_CHECK_PERIOD).await;
            let now = clock::now();
            let (due_write, precondition) = {
                let state = self.state.borrow();
                if state.stopping || now >= state.registered_as_of + VIEW_LEASE {
                    continue;
                }
                let snapshot = &state.snapshot;
                let ranked = rank_instances(&snapshot.members);
                let rank = ranked.iter().position(|m| m.id.as_str() == &*own_id);
                let rank = rank.unwrap_or(ranked.len());
                let due_write = state.failover_lease.due_write(
                    &own_id,
                    incarnation,
                    rank,
                    LEASE_RENEWAL_PERIOD,
                    state.lease_terms(now),
                    now,
                );
                let version = state.failover_lease.record().map(|(v, _)| *v);
                (
                    due_write,
                    version.map_or(Precondition::Absent, Precondition::Version),
                )
            };
            let Some(record) = due_write else {
                continue;
            };
            let value = serde_json::json!(record);
            self.store_calls.on_call(StoreCallKind::Lease);
            match self
                .platform
                .put(&records::failover_lease_key(), precondition, &value)
                .await
            {
                Ok(version) => {
                    let acquired = record.renewals == 0;
                    if acquired {
                        log::info!(fence = record.fence; "acquired the failover lease");
                        self.state.borrow_mut().registry.on_lease_acquired(now);
                    }
                    self.on_lease_written(version, record, now);
                    if acquired {
                        // Conditional writes need the current versions of the records, which a follower lacks.
                        self.read_records().await;
                    }
                    // A full channel means that the polling loop has not seen the last renewal yet.
                    let _notified = self.lease_renewed.0.try_send(());
                }
                Err(e) => {
                    log::info!(error:% = e; "could not acquire or renew the failover lease");
                    // The next read of the records shows who holds the lease.
                    Timer::after(RETRY_PERIOD).await;
                }
            }
        }
    }

    fn on_lease_written(&self, version: Version, record: FailoverLeaseRecord, sent: Time) {
        let mut state = self.state.borrow_mut();
        state.proofs.add(version.0, sent);
        state
            .failover_lease
            .on_written(version, record, sent, clock::now());
        state.snapshot.failover_lease_holder = state.failover_lease.holder().map(Arc::clone);
        drop(state);
        self.publish_snapshot();
    }

    /// Marks instances without heartbeats as silent, which frees their share of rates and connections, and deletes the
    /// entries of instances that can no longer use a primary.
    pub(super) async fn prune_registry(&self) {
        let now = clock::now();
        let (silent, removable) = {
            let mut state = self.state.borrow_mut();
            state.registry.on_heartbeat(&self.settings.instance.id, now);
            (state.registry.newly_silent(now), state.registry.removable(now))
        };
        for (version, marked) in silent {
            // The writes before may have taken seconds.
            let is_unheard = self.state.borrow().registry.is_unheard(&marked.id, clock::now());
            if !is_unheard || self.held_fence().is_none() {
                continue;
            }
            self.store_calls.on_call(StoreCallKind::Failover);
            let key = records::instance_key(marked.id.as_str());
            let value = serde_json::json!(marked);
            match self
                .platform
                .put(&key, Precondition::Version(version), &value)
                .await
            {
                Ok(_) => log::info!(instance:% = marked.id; "instance marked as silent"),
                Err(e) => log::info!(instance:% = marked.id, error:% = e; "could not mark silent instance"),
            }
            self.state
                .borrow_mut()
                .registry
                .on_prune_attempted(&marked.id, now);
        }
        for (version, id) in removable {
            self.store_calls.on_call(StoreCallKind::Failover);
            match self
                .platform
                .delete(&records::instance_key(id.as_str()), version)
                .await
            {
                Ok(()) => log::info!(instance:% = id; "removed ended instance from the registry"),
                Err(e) => log::info!(instance:% = id, error:% = e; "could not remove ended instance"),
            }
            self.state.borrow_mut().registry.on_prune_attempted(&id, now);
        }
    }

    /// Releases the failover lease if this process holds it, and marks this instance as leaving in the registry, so that
    /// replacing a primary need not wait for its view lease. Called last in the shutdown, when the traffic thread
    /// sends nothing more to a primary; a statement that it has sent before may still run there.
    pub(super) async fn deregister(&self) {
        let entry = &self.settings.instance;
        let (lease, version) = {
            let state = self.state.borrow();
            let lease = state.failover_lease.record().cloned();
            let own_lease =
                lease.filter(|(_, r)| *r.holder == *entry.id.as_str() && r.incarnation == entry.incarnation);
            (own_lease, state.registry.version_of_process(entry))
        };
        if let Some((version, mut record)) = lease {
            record.released = true;
            let value = serde_json::json!(record);
            let key = records::failover_lease_key();
            self.store_calls.on_call(StoreCallKind::Lease);
            if let Err(e) = self
                .platform
                .put(&key, Precondition::Version(version), &value)
                .await
            {
                log::info!(error:% = e; "could not release the failover lease");
            }
        }
        if let Some(version) = version {
            let key = records::instance_key(entry.id.as_str());
            let leaving = ListedInstance {
                state: ListedState::Leaving,
                ..entry.clone()
            };
            let value = serde_json::json!(leaving);
            self.store_calls.on_call(StoreCallKind::Registration);
            if let Err(e) = self
                .platform
                .put(&key, Precondition::Version(version), &value)
                .await
            {
                log::info!(error:% = e; "could not mark this instance as leaving");
            }
        }
    }
}

//! Registration of this instance in the store, and creation of the peer secret.

use super::control_loop::ControlThread;
use super::poll_health::RETRY_BACKOFF;
use super::records::{self, PeerSecretRecord, Records};
use super::state::ControlState;
use super::store_calls::StoreCallKind;
use crate::{Connector, Discovery, Promoter, clock};
use async_io::Timer;
use rand::Rng;
use std::time::Duration;
use wasabiyard_model::{Time, Version};
use wasabiyard_platform::{Platform, PlatformError, Precondition};

/// Longest random pause before an instance creates the peer secret. All instances of a new fleet start at once.
const SECRET_STAGGER: Duration = Duration::from_millis(400);

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Applies records that reflect `revision`, then creates the peer secret and registers this instance if either is
    /// missing. Returns whether the records contained the current entry of this instance.
    pub(super) async fn process_records(&self, revision: u64, records: &Records, as_of: Time) -> bool {
        let has_secret = records.secret_record.is_some();
        self.on_stored_counts(records);
        let registered = self.apply_records(revision, records, as_of);
        if !has_secret {
            self.create_peer_secret().await;
        }
        if !registered && self.registration_is_due(revision) {
            self.register_instance().await;
        }
        registered && has_secret
    }

    /// Whether records that reflect `revision` and lack the entry of this instance call for its registration.
    fn registration_is_due(&self, revision: u64) -> bool {
        let state = self.state.borrow();
        !state.stopping && revision >= state.registration_revision
    }

    /// Whether the view contains the live entry of this process.
    pub(super) fn is_registered(&self, state: &ControlState) -> bool {
        state.snapshot.members.contains(&self.settings.instance)
    }

    async fn register_instance(&self) {
        let own_entry = &self.settings.instance;
        let key = records::instance_key(own_entry.id.as_str());
        let version = self.state.borrow().registry.version(&own_entry.id);
        let precondition = version.map_or(Precondition::Absent, Precondition::Version);
        let value = serde_json::json!(own_entry);
        self.store_calls.on_call(StoreCallKind::Registration);
        let sent_at = clock::now();
        match self.platform.put(&key, precondition, &value).await {
            Ok(version) => {
                log::info!(version:% = version; "registered");
                let mut state = self.state.borrow_mut();
                state.registration_revision = version.0;
                state.proofs.add(version.0, sent_at);
            }
            Err(PlatformError::Conflict { found, .. }) if found != Version(0) => {
                // An earlier process with this id left its entry; the next attempt replaces that version.
                self.state.borrow_mut().registry.on_conflict(&own_entry.id, found);
            }
            Err(e) => {
                log::info!(error:% = e; "could not register this instance");
                Timer::after(RETRY_BACKOFF).await;
            }
        }
    }

    /// Creates the key that authenticates messages between instances, unless another instance does so in a random
    /// pause. The first one that writes it wins; the others read that key with their next list.
    async fn create_peer_secret(&self) {
        Timer::after(SECRET_STAGGER.mul_f64(rand::random::<f64>())).await;
        self.store_calls.on_call(StoreCallKind::StaleRead);
        match self.platform.list_stale(records::KEY_PREFIX).await {
            Ok(listed) if Records::from_objects(&listed.objects).secret_record.is_some() => return,
            Ok(_) => {}
            Err(e) => {
                log::info!(error:% = e; "could not look for the peer secret");
                return;
            }
        }
        let bytes: [u8; 16] = rand::rng().random();
        let key = format!("{:032x}", u128::from_le_bytes(bytes));
        let value = serde_json::json!(PeerSecretRecord { key: key.into() });
        self.store_calls.on_call(StoreCallKind::Registration);
        if let Err(e) = self
            .platform
            .put(&records::peer_secret_key(), Precondition::Absent, &value)
            .await
        {
            log::info!(error:% = e; "could not create the peer secret");
        }
    }
}

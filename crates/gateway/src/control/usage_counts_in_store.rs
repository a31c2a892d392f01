//! Usage counts by way of the store, for an instance whose messages do not reach the holder of the failover lease.
//!
//! Each instance writes one object. The holder finds it when it reads the records, and removes it once its windows are reported.

use super::control_loop::ControlThread;
use super::records::{self, Records};
use super::store_calls::StoreCallKind;
use crate::usage::{StoredCounts, WindowCounts};
use crate::{Connector, Discovery, Promoter, clock};
use std::sync::Arc;
use wasabiyard_model::{InstanceId, Version};
use wasabiyard_platform::{Platform, PlatformError, Precondition};

/// Counts to write, and objects to remove.
#[derive(Debug, Default)]
pub(super) struct CountsInStore {
    /// Counts of this instance that are to be written.
    pending: Option<Vec<WindowCounts>>,
    /// Version of the object of this instance, as far as it is known.
    version: Option<Version>,
    /// Objects of instances whose windows are all reported.
    removable: Vec<(Arc<str>, Version)>,
}

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Keeps counts that are to be written to the store.
    pub(super) fn store_counts_later(&self, windows: Vec<WindowCounts>) {
        if let Some(usage) = &self.usage {
            usage.borrow_mut().in_store.pending = Some(windows);
        }
    }

    /// Writes the counts that the holder has not acknowledged. A failed write is not repeated: the next one has the same windows too.
    pub(super) async fn write_counts_to_store(&self) {
        let Some(usage) = &self.usage else {
            return;
        };
        let (windows, version) = {
            let in_store = &mut usage.borrow_mut().in_store;
            (in_store.pending.take(), in_store.version)
        };
        let Some(windows) = windows else {
            return;
        };
        if !self.state.borrow_mut().store_breaker.allows_call(clock::now()) {
            return;
        }
        let own = &self.settings.instance;
        let newest = windows.last().map_or(0, |w| w.window.0);
        let record = StoredCounts {
            incarnation: own.incarnation,
            windows,
        };
        let value = serde_json::json!(record);
        let key = records::usage_counts_key(own.id.as_str());
        let precondition = version.map_or(Precondition::Absent, Precondition::Version);
        self.store_calls.on_call(StoreCallKind::Usage);
        let written = self.platform.put(&key, precondition, &value).await;
        let in_store = &mut usage.borrow_mut().in_store;
        match written {
            Ok(version) => {
                log::info!(window = newest; "left usage counts in the store, because the holder of the failover lease does not receive them");
                in_store.version = Some(version);
            }
            Err(PlatformError::Conflict { found, .. }) => {
                // Removed by the holder, or written by an earlier process.
                in_store.version = (found != Version(0)).then_some(found);
                in_store.pending.get_or_insert(record.windows);
            }
            Err(e) => {
                log::info!(window = newest, error:% = e; "could not leave usage counts in the store");
                self.state.borrow_mut().store_breaker.on_failure(clock::now());
            }
        }
    }

    /// Applies counts that instances have left in the store, and notes which objects are no longer needed.
    pub(super) fn on_stored_counts(&self, records: &Records) {
        let Some(usage) = &self.usage else {
            return;
        };
        let mut usage = usage.borrow_mut();
        usage.in_store.removable.clear();
        let Some(unix_now) = usage.unix_time(clock::now()) else {
            return;
        };
        let window_now = usage.cx.settings.window_of(unix_now);
        for (instance, (version, stored)) in &records.usage_counts {
            let id = InstanceId::from(&**instance);
            for counts in &stored.windows {
                usage
                    .collector
                    .on_counts(&id, stored.incarnation, counts, window_now);
            }
            let newest = stored.windows.last().map(|counts| counts.window);
            if newest <= usage.collector.recorded() {
                usage.in_store.removable.push((Arc::clone(instance), *version));
            }
        }
    }

    /// Removes objects whose windows are all reported, as the holder of the failover lease.
    pub(super) async fn remove_stored_counts(&self) {
        let Some(usage) = &self.usage else {
            return;
        };
        let removable = std::mem::take(&mut usage.borrow_mut().in_store.removable);
        for (instance, version) in removable {
            self.store_calls.on_call(StoreCallKind::Usage);
            let key = records::usage_counts_key(&instance);
            if let Err(e) = self.platform.delete(&key, version).await {
                log::debug!(instance:% = instance, error:% = e; "could not remove usage counts from the store");
            }
        }
    }
}

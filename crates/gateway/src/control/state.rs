//! What the control thread knows.

use super::duty::DutyView;
use super::failover::Reports;
use crate::{Directory, PrimaryRecord};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use wasabiyard_model::{InstanceId, Time, Version};

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) directory: Directory,
    pub(super) duty: DutyView,
    pub(super) versions: HashMap<Arc<str>, Version>,
    pub(super) instance_versions: HashMap<Arc<str>, Version>,
    pub(super) reports: Reports,
    pub(super) released: HashMap<(InstanceId, Arc<str>), u64>,
    pub(super) heard: HashMap<InstanceId, Time>,
    pub(super) moving: HashSet<Arc<str>>,
    pub(super) stopping: bool,
}

impl State {
    /// Takes over a record unless a newer one is known. Returns whether it changed anything.
    pub(super) fn adopt(&mut self, service: Arc<str>, record: PrimaryRecord) -> bool {
        let known = self.directory.primaries.get(&service);
        if known.is_some_and(|k| k.epoch >= record.epoch) {
            return false;
        }
        log::info!(service:% = service, epoch = record.epoch, leadership:? = record.leadership; "primary record");
        self.directory.primaries.insert(service, record);
        true
    }
}

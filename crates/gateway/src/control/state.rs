//! What the control thread knows.

use super::duty::DutyView;
use super::failover::Reports;
use super::follow::Questions;
use super::register::Register;
use super::store_gate::StoreGate;
use crate::view::{Follower, ViewTable};
use crate::{Directory, PrimaryRecord};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use wasabiyard_model::Version;

#[derive(Debug)]
pub(super) struct State {
    pub(super) directory: Directory,
    pub(super) duty: DutyView,
    pub(super) versions: HashMap<Arc<str>, Version>,
    pub(super) register: Register,
    pub(super) reports: Reports,
    pub(super) moving: HashSet<Arc<str>>,
    pub(super) view: ViewTable,
    pub(super) follower: Follower,
    pub(super) questions: Questions,
    pub(super) store_gate: StoreGate,
    pub(super) stopping: bool,
}

impl State {
    pub(super) fn new(incarnation: u64) -> Self {
        Self {
            directory: Directory::default(),
            duty: DutyView::default(),
            versions: HashMap::new(),
            register: Register::default(),
            reports: Reports::default(),
            moving: HashSet::new(),
            view: ViewTable::new(incarnation),
            follower: Follower::default(),
            questions: Questions::default(),
            store_gate: StoreGate::default(),
            stopping: false,
        }
    }

    /// Makes what the register and the duty say visible in the directory.
    pub(super) fn on_register(&mut self) {
        self.directory.duty_holder = self.duty.holder().map(Arc::clone);
        self.directory.members = self.register.live();
    }

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

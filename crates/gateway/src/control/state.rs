//! What the control thread knows.

use super::duty::DutyView;
use super::failover::Reports;
use super::follow::Questions;
use crate::view::{Follower, ViewTable};
use crate::{Directory, PrimaryRecord, VIEW_LEASE};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time, Version};
use wasabiyard_platform::ListedInstance;

/// Added to the view lease before an instance that did not answer counts as stopped.
pub(super) const LEASE_MARGIN: Duration = Duration::from_millis(250);

#[derive(Debug)]
pub(super) struct State {
    pub(super) directory: Directory,
    pub(super) duty: DutyView,
    pub(super) versions: HashMap<Arc<str>, Version>,
    pub(super) instance_versions: HashMap<Arc<str>, Version>,
    pub(super) reports: Reports,
    pub(super) released: HashMap<(InstanceId, Arc<str>), u64>,
    pub(super) heard: HashMap<InstanceId, Time>,
    pub(super) moving: HashSet<Arc<str>>,
    /// Instances that left the register without giving up their view first, until their view lease has ended.
    pub(super) departed: HashMap<InstanceId, Time>,
    pub(super) view: ViewTable,
    pub(super) follower: Follower,
    pub(super) questions: Questions,
    pub(super) stopping: bool,
}

impl State {
    pub(super) fn new(incarnation: u64) -> Self {
        Self {
            directory: Directory::default(),
            duty: DutyView::default(),
            versions: HashMap::new(),
            instance_versions: HashMap::new(),
            reports: Reports::default(),
            released: HashMap::new(),
            heard: HashMap::new(),
            moving: HashSet::new(),
            departed: HashMap::new(),
            view: ViewTable::new(incarnation),
            follower: Follower::default(),
            questions: Questions::default(),
            stopping: false,
        }
    }

    /// Takes over the register. An instance that has left it may still hold a view lease.
    pub(super) fn take_members(&mut self, mut members: Vec<ListedInstance>, now: Time) {
        members.sort_by(|a, b| a.id.cmp(&b.id));
        for old in &self.directory.members {
            if !members.iter().any(|m| m.id == old.id) {
                self.departed
                    .insert(old.id.clone(), now + VIEW_LEASE + LEASE_MARGIN);
            }
        }
        self.departed.retain(|_, until| now < *until);
        for member in &members {
            self.heard.entry(member.id.clone()).or_insert(now);
        }
        self.directory.duty_holder = self.duty.holder().map(Arc::clone);
        self.directory.members = members;
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
